package transport

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fireflytray/fireflytray/wire"
)

const (
	// checksPerPeerTimeout is the number of checks within
	// Options.PeerTimeout.
	checksPerPeerTimeout = 4
	// silentChecks is the number of check intervals without any packet after a
	// ping that make a connection silent.
	silentChecks = 2
	// stallFactor times Options.PeerTimeout bounds the time to an answer while
	// packets still arrive.
	stallFactor = 5
)

// prober enforces the progress deadline of a connection. It sends pings when a
// message was sent, or a reply is awaited, and no frame has arrived since. A
// connection is silent if no packet at all arrives after a ping. A connection on
// which packets arrive without answers has a longer deadline, as its peer may
// only be slow.
type prober struct {
	c         *Conn
	startedAt time.Time
	// interval is the short check interval, a fraction of Options.PeerTimeout.
	interval time.Duration
	// firstFrame is closed when the first frame has arrived.
	firstFrame chan struct{}

	mu    sync.Mutex
	timer *time.Timer
	// shortInterval is set while the timer runs at interval instead of the
	// keepalive period.
	shortInterval bool
	stopped       bool
	// awaitingReply is set while the caller awaits a message from the peer.
	awaitingReply bool
	// frameReceived is set once a frame has arrived.
	frameReceived bool
	// receiverBlocked is set while the read loop waits for a call of Recv.
	receiverBlocked bool
	nonce           uint64

	// Times since startedAt; zero means unset.

	// nextCheck is when the timer should fire.
	nextCheck time.Duration
	// unansweredSince is the time of the first send since the last frame
	// arrived.
	unansweredSince time.Duration
	// pingedSince is the time of the first ping since the last frame arrived.
	pingedSince time.Duration
	// lastFrameAt is when the last frame arrived, or else when the connection
	// was opened.
	lastFrameAt time.Duration
	// lastPacketAt is the time of the last check that found packetsReceived
	// increased.
	lastPacketAt    time.Duration
	packetsReceived uint64
}

func newProber(c *Conn) *prober {
	p := &prober{
		c:          c,
		startedAt:  time.Now(),
		interval:   c.opts.PeerTimeout / checksPerPeerTimeout,
		firstFrame: make(chan struct{}),
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastFrameAt = p.now()
	p.timer = time.AfterFunc(c.opts.KeepAlive, p.check)
	p.armLocked(false)
	return p
}

func (p *prober) now() time.Duration { return max(1, time.Since(p.startedAt)) }

// sent records that a message was sent.
func (p *prober) sent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unansweredSince == 0 {
		p.unansweredSince = p.now()
		p.armShortIntervalLocked()
	}
}

// setAwaitingReply records whether the caller awaits a message from the peer.
func (p *prober) setAwaitingReply(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.awaitingReply = on
	if on {
		p.armShortIntervalLocked()
	}
}

// received records that a frame arrived.
func (p *prober) received() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.frameReceived {
		p.frameReceived = true
		close(p.firstFrame)
	}
	p.resetDeadlineLocked()
}

// setReceiverBlocked records whether the read loop waits for a call of Recv.
// Answers may then be queued behind the blocked message, so they don't count as
// missing.
func (p *prober) setReceiverBlocked(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.receiverBlocked = on
	p.resetDeadlineLocked()
}

func (p *prober) resetDeadlineLocked() {
	p.unansweredSince, p.pingedSince = 0, 0
	p.lastFrameAt = p.now()
}

func (p *prober) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	p.timer.Stop()
}

func (p *prober) armShortIntervalLocked() {
	if !p.shortInterval && !p.stopped {
		p.armLocked(true)
	}
}

// armLocked sets the timer: one check interval ahead if short, otherwise to the
// time of the next keepalive. Only the dialling side sends keepalives.
func (p *prober) armLocked(short bool) {
	p.shortInterval = short
	now := p.now()
	switch {
	case short:
		p.nextCheck = now + p.interval
	case p.c.dialed:
		p.nextCheck = p.lastFrameAt + p.c.opts.KeepAlive
	default:
		p.timer.Stop()
		return
	}
	p.timer.Reset(max(0, p.nextCheck-now))
}

// check runs when the timer fires.
func (p *prober) check() {
	packets := p.c.qc.ConnectionStats().PacketsReceived
	ping, err := p.nextPing(packets)
	if err == nil && ping != nil {
		err = p.c.enqueue(ping)
	}
	switch {
	case err == nil, errors.Is(err, ErrQueueFull):
		p.rearm()
	case !errors.Is(err, ErrClosed):
		p.c.fail(err)
	}
}

// nextPing returns the ping to send, if any, or an error if the connection has
// failed.
func (p *prober) nextPing(packets uint64) (*wire.Ping, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if packets != p.packetsReceived {
		p.packetsReceived, p.lastPacketAt = packets, now
	}
	if now-p.nextCheck > p.interval {
		p.restartDeadlineLocked(now)
	}
	if err := p.checkSilenceLocked(now); err != nil {
		return nil, err
	}
	if !p.shouldPingLocked(now) {
		return nil, nil
	}
	if p.pingedSince == 0 {
		p.pingedSince = now
	}
	p.nonce++
	return &wire.Ping{Nonce: p.nonce, SentAt: now}, nil
}

// restartDeadlineLocked restarts the deadline after this process was delayed:
// frames that arrived in the meantime may not have been read yet.
func (p *prober) restartDeadlineLocked(now time.Duration) {
	if p.pingedSince != 0 {
		p.pingedSince = now
	}
}

// checkSilenceLocked returns an error if the connection is silent.
func (p *prober) checkSilenceLocked(now time.Duration) error {
	if p.pingedSince == 0 || p.receiverBlocked {
		return nil
	}
	quiet := now - max(p.pingedSince, p.lastPacketAt)
	waited := now - p.pingedSince
	switch {
	case quiet >= silentChecks*p.interval:
		return fmt.Errorf("no packet for %v after a ping: %w", quiet.Round(time.Millisecond), ErrSilent)
	case waited >= stallFactor*p.c.opts.PeerTimeout:
		return fmt.Errorf("no answer for %v to a ping: %w", waited.Round(time.Millisecond), ErrSilent)
	}
	return nil
}

func (p *prober) shouldPingLocked(now time.Duration) bool {
	quiet := now - p.lastFrameAt
	switch {
	case p.receiverBlocked:
		return false
	case p.pingedSince != 0:
		return true
	case p.unansweredSince != 0:
		return now-p.unansweredSince >= p.interval
	case p.awaitingReply:
		return quiet >= p.interval
	}
	return p.c.dialed && quiet >= p.c.opts.KeepAlive
}

func (p *prober) rearm() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stopped {
		p.armLocked(p.pingedSince != 0 || p.unansweredSince != 0 || p.awaitingReply)
	}
}
