package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/quic-go/quic-go"

	"github.com/fireflytray/fireflytray/internal/stacks"
	"github.com/fireflytray/fireflytray/wire"
)

const (
	// recvQueueLen bounds the decoded messages that wait for Recv.
	recvQueueLen   = 32
	readBufferSize = 2 << 10 // bytes
	// closeCode closes a connection for the reason given in the close frame's
	// text; shutdownAckCode acknowledges the end of the peer's stream.
	closeCode       = quic.ApplicationErrorCode(0)
	shutdownAckCode = quic.ApplicationErrorCode(1)
	// maxRetainedBuffer is the capacity in bytes of the largest write buffer that
	// is reused for the next write.
	maxRetainedBuffer = 64 << 10
)

var (
	// errPeerShutdown means that the peer has shut down the connection.
	errPeerShutdown = fmt.Errorf("shut down by peer: %w", ErrClosed)
	// errShutdownComplete means that this side shut down the connection and the
	// peer has read the whole stream.
	errShutdownComplete = fmt.Errorf("shut down: %w", ErrClosed)
)

// Conn is a connection to one peer. It is safe for concurrent use.
type Conn struct {
	opts   Options
	meter  *meter
	qc     *quic.Conn
	stream *quic.Stream
	peer   Peer
	dialed bool

	mu      sync.Mutex
	pending []byte
	// shuttingDown is set by Shutdown; no further messages are queued.
	shuttingDown bool
	wake         chan struct{}

	received chan frame
	probe    *prober

	err  atomic.Pointer[error]
	done chan struct{}
	once sync.Once
}

func newConn(qc *quic.Conn, stream *quic.Stream, o Options, m *meter, dialed bool) (*Conn, error) {
	name, err := o.Identity.PeerName(qc.ConnectionState().TLS)
	if err != nil {
		return nil, err
	}
	c := &Conn{
		opts:     o,
		meter:    m,
		qc:       qc,
		stream:   stream,
		peer:     Peer{Name: name, Addr: qc.RemoteAddr().String()},
		dialed:   dialed,
		wake:     make(chan struct{}, 1),
		received: make(chan frame, recvQueueLen),
		done:     make(chan struct{}),
	}
	c.probe = newProber(c)
	go c.readLoop()
	go c.writeLoop()
	return c, nil
}

// Peer returns the other end as named by its certificate.
func (c *Conn) Peer() Peer { return c.peer }

// RemoteAddr returns the other end's host:port.
func (c *Conn) RemoteAddr() string { return c.peer.Addr }

// LocalAddr returns this end's host:port.
func (c *Conn) LocalAddr() string { return c.qc.LocalAddr().String() }

// Done is closed once the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Err returns why the connection ended, or nil while it has not.
func (c *Conn) Err() error {
	if p := c.err.Load(); p != nil {
		return *p
	}
	return nil
}

// Send encodes m and queues it; it never blocks. The caller may reuse m
// afterwards. An error means that m was not queued. A sent message starts the
// progress deadline only on the dialling side: the other side's messages are
// mostly answers, and the dialling side has to detect a silent connection and
// dial again.
func (c *Conn) Send(m wire.Message) error {
	if err := c.enqueue(m); err != nil {
		return err
	}
	if c.dialed {
		c.probe.sent()
	}
	return nil
}

func (c *Conn) enqueue(m wire.Message) error {
	if err := c.Err(); err != nil {
		return fmt.Errorf("transport: send %T to %s: %w", m, c.peer, err)
	}
	stamp := c.opts.Stamp()
	c.mu.Lock()
	size, err := c.appendLocked(m, stamp)
	c.mu.Unlock()
	if err != nil {
		return fmt.Errorf("transport: send to %s: %w", c.peer, err)
	}
	c.meter.sent[m.Kind()].add(size)
	c.wakeWriter()
	return nil
}

func (c *Conn) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// appendLocked appends the frame of m to the queue. An empty queue accepts a frame
// that is larger than SendQueue.
func (c *Conn) appendLocked(m wire.Message, s wire.Stamp) (int, error) {
	if c.shuttingDown {
		return 0, fmt.Errorf("%T after shutdown: %w", m, ErrClosed)
	}
	before := len(c.pending)
	out, err := appendFrame(c.pending, m, s, c.opts.MaxFrame)
	if err != nil {
		c.pending = out
		return 0, err
	}
	if before > 0 && len(out) > c.opts.SendQueue {
		c.pending = out[:before]
		return 0, fmt.Errorf("%T with %d bytes waiting, limit %d: %w", m, before, c.opts.SendQueue, ErrQueueFull)
	}
	c.pending = out
	return len(out) - before, nil
}

// Recv returns the next message in the order of sending. Messages that arrived
// before the connection ended are returned before the error.
func (c *Conn) Recv(ctx context.Context) (wire.Message, wire.Stamp, error) {
	select {
	case f, ok := <-c.received:
		if !ok {
			<-c.done
			return nil, wire.Stamp{}, fmt.Errorf("transport: receive from %s: %w", c.peer, c.Err())
		}
		return f.msg, f.stamp, nil
	case <-ctx.Done():
		return nil, wire.Stamp{}, fmt.Errorf("transport: receive from %s: %w", c.peer, ctx.Err())
	}
}

// SetAwaitingReply sets whether the caller awaits a message from the peer. While
// it does, a quiet connection is probed at the short interval, so that silence is
// detected within the progress deadline.
func (c *Conn) SetAwaitingReply(on bool) { c.probe.setAwaitingReply(on) }

// Shutdown sends the queued messages, then ends the connection. It returns nil
// once the peer has read all of them. Messages from the peer may be lost.
func (c *Conn) Shutdown(ctx context.Context) error {
	c.mu.Lock()
	c.shuttingDown = true
	c.mu.Unlock()
	c.wakeWriter()
	select {
	case <-c.done:
	case <-ctx.Done():
		c.Close("shutdown timed out")
		return fmt.Errorf("transport: shut down connection to %s: %w", c.peer, ctx.Err())
	}
	if err := c.Err(); !errors.Is(err, errShutdownComplete) {
		return fmt.Errorf("transport: shut down connection to %s: %w", c.peer, err)
	}
	return nil
}

// Close ends the connection immediately and sends the reason to the peer.
// Queued messages are lost.
func (c *Conn) Close(reason string) {
	c.fail(fmt.Errorf("%s: %w", reason, ErrClosed))
}

// fail ends the connection; only the first call's error is kept.
func (c *Conn) fail(err error) {
	c.once.Do(func() {
		c.err.Store(&err)
		c.probe.stop()
		close(c.done)
		code := closeCode
		if errors.Is(err, errPeerShutdown) {
			code = shutdownAckCode
		}
		c.qc.CloseWithError(code, err.Error())
	})
}

func (c *Conn) readLoop() {
	defer close(c.received)
	defer func() {
		if v := recover(); v != nil {
			c.fail(stacks.Recovered("decode message from "+c.peer.String(), v))
		}
	}()
	d := &decoder{r: bufio.NewReaderSize(c.stream, readBufferSize), maxFrame: c.opts.MaxFrame}
	var last wire.Stamp
	first := true
	for {
		f, err := d.next()
		if err != nil {
			c.fail(c.translateError(err))
			return
		}
		c.meter.received[f.msg.Kind()].add(f.size)
		if first || f.stamp != last {
			first, last = false, f.stamp
			c.opts.OnStamp(c.peer, f.stamp)
		}
		if !c.handle(f) {
			return
		}
	}
}

// handle answers pings, consumes pongs, and passes all other messages to Recv.
// It returns false once the connection has ended.
func (c *Conn) handle(f frame) bool {
	c.probe.received()
	switch m := f.msg.(type) {
	case *wire.Ping:
		if err := c.enqueue(&wire.Pong{Nonce: m.Nonce, SentAt: m.SentAt}); errors.Is(err, ErrQueueFull) {
			c.fail(err)
		}
		return true
	case *wire.Pong:
		return true
	}
	select {
	case c.received <- f:
		return true
	default:
	}
	c.probe.setReceiverBlocked(true)
	defer c.probe.setReceiverBlocked(false)
	select {
	case c.received <- f:
		return true
	case <-c.done:
		return false
	}
}

func (c *Conn) translateError(err error) error {
	var app *quic.ApplicationError
	var idle *quic.IdleTimeoutError
	switch {
	case errors.As(err, &app) && app.Remote && app.ErrorCode == shutdownAckCode:
		return errShutdownComplete
	case errors.As(err, &app) && app.Remote:
		return fmt.Errorf("closed by peer (%s): %w", app.ErrorMessage, ErrClosed)
	case errors.As(err, &idle):
		return fmt.Errorf("%w: %w", ErrSilent, err)
	case errors.Is(err, io.EOF):
		return errPeerShutdown
	}
	return err
}

// writeLoop writes everything queued since the last write as one batch.
func (c *Conn) writeLoop() {
	var spare []byte
	for {
		select {
		case <-c.wake:
		case <-c.done:
			return
		}
		batch, shuttingDown := c.takePending(spare)
		if err := c.write(batch, shuttingDown); err != nil {
			c.fail(c.translateError(err))
			return
		}
		spare = batch
		if cap(spare) > maxRetainedBuffer {
			spare = nil
		}
	}
}

// takePending returns the queued bytes and replaces them by an empty buffer.
func (c *Conn) takePending(spare []byte) (batch []byte, shuttingDown bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch = c.pending
	c.pending = spare[:0]
	return batch, c.shuttingDown
}

// write writes a batch and closes the stream after the last one.
func (c *Conn) write(batch []byte, last bool) error {
	if len(batch) > 0 {
		if _, err := c.stream.Write(batch); err != nil {
			return err
		}
	}
	if last {
		return c.stream.Close()
	}
	return nil
}
