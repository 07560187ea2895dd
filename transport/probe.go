package transport

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fireflytray/fireflytray/wire"
)

const (
	// checksPerSilence is how many checks fit into Options.Silence.
	checksPerSilence = 4
	// silentChecks is how many steps after a ping without any packet make a
	// connection silent.
	silentChecks = 2
	// stallFactor times Options.Silence is how long an answer may take while
	// packets still arrive.
	stallFactor = 5
)

// prober enforces the progress deadline of a connection. It pings when
// something was sent, or is expected, and nothing has come back. A connection
// is silent when no packet at all follows a ping; one on which packets arrive
// without answers gets more time, as its peer may only be slow.
type prober struct {
	c         *Conn
	startedAt time.Time
	interval  time.Duration
	// firstFrame is closed when the first frame has come in.
	firstFrame chan struct{}

	mu    sync.Mutex
	timer *time.Timer
	// shortInterval is set while the timer runs at the short interval.
	shortInterval bool
	stopped       bool
	// awaitingReply is set while the caller awaits something.
	awaitingReply bool
	// frameReceived is set once a frame has come in.
	frameReceived bool
	// receiverBlocked is set while the reader waits for the caller of Recv.
	receiverBlocked bool
	nonce           uint64

	// Times since start; zero means unset.

	// nextCheck is when the timer should fire.
	nextCheck time.Duration
	// unansweredSince is the first send since a frame came in.
	unansweredSince time.Duration
	// pingedSince is the first ping since a frame came in.
	pingedSince time.Duration
	// lastFrameAt is when the last frame came in, or the connection began.
	lastFrameAt time.Duration
	// lastPacketAt is the check at which packets, the count received, had grown.
	lastPacketAt    time.Duration
	packetsReceived uint64
}

func newProber(c *Conn) *prober {
	p := &prober{
		c:          c,
		startedAt:  time.Now(),
		interval:   c.opts.Silence / checksPerSilence,
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

// sent notes that a message went out.
func (p *prober) sent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unansweredSince == 0 {
		p.unansweredSince = p.now()
		p.armFastLocked()
	}
}

// setAwaitingReply notes whether the caller awaits something.
func (p *prober) setAwaitingReply(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.awaitingReply = on
	if on {
		p.armFastLocked()
	}
}

// received notes that a frame came in.
func (p *prober) received() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.frameReceived {
		p.frameReceived = true
		close(p.firstFrame)
	}
	p.resetDeadlineLocked()
}

// setReceiverBlocked notes whether the reader waits for the caller of Recv; answers that
// queue behind it are not missing.
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

func (p *prober) armFastLocked() {
	if !p.shortInterval && !p.stopped {
		p.armLocked(true)
	}
}

// armLocked sets the timer: a step ahead if fast, else to when a connection
// that stays quiet has to be kept alive. Only the dialling side does that.
func (p *prober) armLocked(fast bool) {
	p.shortInterval = fast
	now := p.now()
	switch {
	case fast:
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

// nextPing returns the ping to send, if any, or why the connection has failed.
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

// restartDeadlineLocked starts the deadline anew after this process was held up: what
// came in meanwhile may not have been read yet.
func (p *prober) restartDeadlineLocked(now time.Duration) {
	if p.pingedSince != 0 {
		p.pingedSince = now
	}
}

// checkSilenceLocked returns an error once the connection counts as silent.
func (p *prober) checkSilenceLocked(now time.Duration) error {
	if p.pingedSince == 0 || p.receiverBlocked {
		return nil
	}
	quiet := now - max(p.pingedSince, p.lastPacketAt)
	waited := now - p.pingedSince
	switch {
	case quiet >= silentChecks*p.interval:
		return fmt.Errorf("no packet for %v after a ping: %w", quiet.Round(time.Millisecond), ErrSilent)
	case waited >= stallFactor*p.c.opts.Silence:
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
