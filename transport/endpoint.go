package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/fireflytray/fireflytray/wire"
)

const (
	// acceptBacklog bounds the new connections that wait for Accept.
	acceptBacklog = 64
	// openNonce is the nonce of the first ping, which opens the stream at the
	// peer.
	openNonce = 0
)

// Listener accepts connections on one UDP port.
type Listener struct {
	opts  Options
	meter *meter
	ql    *quic.Listener
	conns chan *Conn
	ctx   context.Context
	stop  context.CancelFunc
	wg    sync.WaitGroup
}

// Listen listens on a UDP host:port and accepts peers of the roles in o.Accept.
func Listen(addr string, o Options) (*Listener, error) {
	o = o.withDefaults()
	conf := o.Identity.ServerTLS(o.Accept...)
	conf.NextProtos = []string{protocol}
	ql, err := quic.ListenAddr(addr, conf, o.quicConfig())
	if err != nil {
		return nil, fmt.Errorf("transport: listen %s: %w", addr, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	l := &Listener{
		opts:  o,
		meter: newMeter(o.Scope),
		ql:    ql,
		conns: make(chan *Conn, acceptBacklog),
		ctx:   ctx,
		stop:  stop,
	}
	l.wg.Add(1)
	go l.run()
	return l, nil
}

// Addr returns the listener's host:port.
func (l *Listener) Addr() string { return l.ql.Addr().String() }

// Accept returns the next connection whose peer's role has been verified.
func (l *Listener) Accept(ctx context.Context) (*Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("transport: accept %s: %w", l.Addr(), ctx.Err())
	case <-l.ctx.Done():
		return nil, fmt.Errorf("transport: accept %s: %w", l.Addr(), ErrClosed)
	}
}

// Close stops listening. Connections that Accept has returned stay open.
func (l *Listener) Close() error {
	l.stop()
	err := l.ql.Close()
	l.wg.Wait()
	for {
		select {
		case c := <-l.conns:
			c.Close("listener closed")
		default:
			return err
		}
	}
}

func (l *Listener) run() {
	defer l.wg.Done()
	for {
		qc, err := l.ql.Accept(l.ctx)
		if err != nil {
			return
		}
		l.wg.Add(1)
		go l.open(qc)
	}
}

// open waits for the peer's stream and passes the connection to Accept.
func (l *Listener) open(qc *quic.Conn) {
	defer l.wg.Done()
	ctx, cancel := context.WithTimeout(l.ctx, l.opts.PeerTimeout)
	defer cancel()
	stream, err := qc.AcceptStream(ctx)
	if err != nil {
		qc.CloseWithError(closeCode, "no stream opened")
		return
	}
	c, err := newConn(qc, stream, l.opts, l.meter, false)
	if err != nil {
		qc.CloseWithError(closeCode, err.Error())
		return
	}
	select {
	case l.conns <- c:
	case <-l.ctx.Done():
		c.Close("listener closed")
	}
}

// Dial connects to a peer of role want from a new local port. It returns once
// the peer has also accepted this side's certificate.
func Dial(ctx context.Context, addr string, want wire.Role, o Options) (*Conn, error) {
	o = o.withDefaults()
	c, err := dial(ctx, addr, want, o)
	if err != nil {
		return nil, fmt.Errorf("transport: dial %s %s: %w", want, addr, err)
	}
	return c, nil
}

func dial(ctx context.Context, addr string, want wire.Role, o Options) (*Conn, error) {
	conf := o.Identity.ClientTLS(want)
	conf.NextProtos = []string{protocol}
	qc, err := quic.DialAddr(ctx, addr, conf, o.quicConfig())
	if err != nil {
		return nil, dialError(err)
	}
	stream, err := qc.OpenStreamSync(ctx)
	if err != nil {
		qc.CloseWithError(closeCode, "no stream")
		return nil, dialError(err)
	}
	c, err := newConn(qc, stream, o, newMeter(o.Scope), true)
	if err != nil {
		qc.CloseWithError(closeCode, err.Error())
		return nil, err
	}
	if err := c.confirm(ctx); err != nil {
		c.Close("not confirmed")
		return nil, dialError(err)
	}
	return c, nil
}

// confirm waits for the first frame from the peer, which proves that the peer
// accepted this side's certificate.
func (c *Conn) confirm(ctx context.Context) error {
	if err := c.enqueue(&wire.Ping{Nonce: openNonce}); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.PeerTimeout)
	defer cancel()
	select {
	case <-c.probe.firstFrame:
		return nil
	case <-c.done:
		return c.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// dialError wraps time-outs in ErrSilent.
func dialError(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return fmt.Errorf("%w: %w", ErrSilent, err)
	}
	return err
}

// Bounds of the exponential backoff between dial attempts, before jitter.
const (
	redialMin = 50 * time.Millisecond
	redialMax = 2 * time.Second
)

// RedialDelay returns the delay before a dial attempt, counted from 0, to a peer
// that could not be reached. Jitter is in the range 0 to 1 and varies the delay
// from half of the backoff to all of it.
func RedialDelay(attempt int, jitter float64) time.Duration {
	if attempt <= 0 {
		return 0
	}
	d := redialMax
	if attempt < 7 {
		d = min(redialMax, redialMin<<(attempt-1))
	}
	return d/2 + time.Duration(jitter*float64(d/2))
}
