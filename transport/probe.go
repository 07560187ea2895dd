package transport

import (
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/fireflytray/fireflytray/wire"
)

const (
	// checksPerPeerTimeout is the number of check intervals within
	// Options.PeerTimeout.
	checksPerPeerTimeout = 4
	// quietChecks is the number of check intervals without a frame after which a
	// ping is sent, if one is expected.
	quietChecks = 2
	// silentChecks is the number of check intervals without any packet after a
	// ping that make a connection silent.
	silentChecks = checksPerPeerTimeout - quietChecks
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

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	// awaitingReply is set while the caller awaits a message from the peer, since
	// awaitingSince.
	awaitingReply bool
	// frameReceived is set once a frame has arrived.
	frameReceived bool
	// receiverBlocked is set while the read loop waits for a call of Recv.
	receiverBlocked bool
	nonce           uint64

	// Times since startedAt; zero means unset.

	// nextCheck is when the timer should fire, notDue if it is stopped.
	nextCheck     time.Duration
	awaitingSince time.Duration
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
	p.armLocked()
	return p
}

func (p *prober) now() time.Duration { return max(1, time.Since(p.startedAt)) }

// sent records that a message was sent.
func (p *prober) sent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unansweredSince == 0 {
		p.unansweredSince = p.now()
		p.armEarlierLocked()
	}
}

// setAwaitingReply records whether the caller awaits a message from the peer.
func (p *prober) setAwaitingReply(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on && !p.awaitingReply {
		p.awaitingSince = p.now()
	}
	p.awaitingReply = on
	if on {
		p.armEarlierLocked()
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
	p.armEarlierLocked()
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

// armEarlierLocked sets the timer if it would fire after a ping is due. The next check
// of a connection that was pinged stays where it is: a caller that awaits reply after
// reply must not put it off.
func (p *prober) armEarlierLocked() {
	if p.stopped || p.pingedSince != 0 || p.pingDueLocked() >= p.nextCheck {
		return
	}
	p.armLocked()
}

// armLocked sets the timer to when the next ping is due, or to the next check of a
// connection that was pinged.
func (p *prober) armLocked() {
	now := p.now()
	p.nextCheck = p.pingDueLocked()
	if p.pingedSince != 0 {
		p.nextCheck = now + p.interval
	}
	if p.nextCheck == notDue {
		p.timer.Stop()
		return
	}
	p.timer.Reset(max(0, p.nextCheck-now))
}

// notDue is the time of a check that is not due.
const notDue = time.Duration(math.MaxInt64)

// pingDueLocked returns when the next ping is due unless a frame arrives before.
// Only the dialling side sends keepalives.
func (p *prober) pingDueLocked() time.Duration {
	due := notDue
	if p.receiverBlocked {
		return due
	}
	if p.unansweredSince != 0 {
		due = min(due, p.unansweredSince+quietChecks*p.interval)
	}
	if p.awaitingReply {
		due = min(due, max(p.awaitingSince, p.lastFrameAt)+quietChecks*p.interval)
	}
	if p.c.dialed {
		due = min(due, p.lastFrameAt+p.c.opts.KeepAlive)
	}
	return due
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
	if p.receiverBlocked {
		return false
	}
	return p.pingedSince != 0 || now >= p.pingDueLocked()
}

func (p *prober) rearm() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stopped {
		p.armLocked()
	}
}
