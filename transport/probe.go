package transport

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fireflytray/fireflytray/wire"
)

const (
	// probeSteps is how many checks fit into Options.Silence.
	probeSteps = 4
	// quietSteps is how many steps after a ping without any packet make a
	// connection silent.
	quietSteps = 2
	// stallFactor times Options.Silence is how long an answer may take while
	// packets still arrive.
	stallFactor = 5
)

// prober enforces the progress deadline of a connection. It pings when
// something was sent, or is expected, and nothing has come back. A connection
// is silent when no packet at all follows a ping; one on which packets arrive
// without answers gets more time, as its peer may only be slow.
type prober struct {
	c     *Conn
	start time.Time
	step  time.Duration
	// first is closed when the first frame has come in.
	first chan struct{}

	mu    sync.Mutex
	timer *time.Timer
	// fast is set while the timer runs at the short interval.
	fast    bool
	stopped bool
	// expected is set while the caller awaits something.
	expected bool
	// answered is set once a frame has come in.
	answered bool
	// stuck is set while the reader waits for the caller of Recv.
	stuck bool
	nonce uint64

	// Times since start; zero means unset.

	// due is when the timer should fire.
	due time.Duration
	// unanswered is the first send since a frame came in.
	unanswered time.Duration
	// pinged is the first ping since a frame came in.
	pinged time.Duration
	// heard is when the last frame came in, or the connection began.
	heard time.Duration
	// moved is the check at which packets, the count received, had grown.
	moved   time.Duration
	packets uint64
}

func newProber(c *Conn) *prober {
	p := &prober{
		c:     c,
		start: time.Now(),
		step:  c.opts.Silence / probeSteps,
		first: make(chan struct{}),
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard = p.now()
	p.timer = time.AfterFunc(c.opts.KeepAlive, p.check)
	p.armLocked(false)
	return p
}

func (p *prober) now() time.Duration { return max(1, time.Since(p.start)) }

// sent notes that a message went out.
func (p *prober) sent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unanswered == 0 {
		p.unanswered = p.now()
		p.hurryLocked()
	}
}

// expect notes whether the caller awaits something.
func (p *prober) expect(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expected = on
	if on {
		p.hurryLocked()
	}
}

// received notes that a frame came in.
func (p *prober) received() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.answered {
		p.answered = true
		close(p.first)
	}
	p.progressLocked()
}

// blocked notes whether the reader waits for the caller of Recv; answers that
// queue behind it are not missing.
func (p *prober) blocked(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stuck = on
	p.progressLocked()
}

func (p *prober) progressLocked() {
	p.unanswered, p.pinged = 0, 0
	p.heard = p.now()
}

func (p *prober) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	p.timer.Stop()
}

func (p *prober) hurryLocked() {
	if !p.fast && !p.stopped {
		p.armLocked(true)
	}
}

// armLocked sets the timer: a step ahead if fast, else to when a connection
// that stays quiet has to be kept alive. Only the dialling side does that.
func (p *prober) armLocked(fast bool) {
	p.fast = fast
	now := p.now()
	switch {
	case fast:
		p.due = now + p.step
	case p.c.dialed:
		p.due = p.heard + p.c.opts.KeepAlive
	default:
		p.timer.Stop()
		return
	}
	p.timer.Reset(max(0, p.due-now))
}

// check runs when the timer fires.
func (p *prober) check() {
	packets := p.c.qc.ConnectionStats().PacketsReceived
	ping, err := p.decide(packets)
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

// decide returns the ping to send, if any, or why the connection has failed.
func (p *prober) decide(packets uint64) (*wire.Ping, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if packets != p.packets {
		p.packets, p.moved = packets, now
	}
	if now-p.due > p.step {
		p.forgiveLocked(now)
	}
	if err := p.judgeLocked(now); err != nil {
		return nil, err
	}
	if !p.shouldPingLocked(now) {
		return nil, nil
	}
	if p.pinged == 0 {
		p.pinged = now
	}
	p.nonce++
	return &wire.Ping{Nonce: p.nonce, SentAt: now}, nil
}

// forgiveLocked starts the deadline anew after this process was held up: what
// came in meanwhile may not have been read yet.
func (p *prober) forgiveLocked(now time.Duration) {
	if p.pinged != 0 {
		p.pinged = now
	}
}

// judgeLocked returns an error once the connection counts as silent.
func (p *prober) judgeLocked(now time.Duration) error {
	if p.pinged == 0 || p.stuck {
		return nil
	}
	quiet := now - max(p.pinged, p.moved)
	waited := now - p.pinged
	switch {
	case quiet >= quietSteps*p.step:
		return fmt.Errorf("no packet for %v after a ping: %w", quiet.Round(time.Millisecond), ErrSilent)
	case waited >= stallFactor*p.c.opts.Silence:
		return fmt.Errorf("no answer for %v to a ping: %w", waited.Round(time.Millisecond), ErrSilent)
	}
	return nil
}

func (p *prober) shouldPingLocked(now time.Duration) bool {
	quiet := now - p.heard
	switch {
	case p.stuck:
		return false
	case p.pinged != 0:
		return true
	case p.unanswered != 0:
		return now-p.unanswered >= p.step
	case p.expected:
		return quiet >= p.step
	}
	return p.c.dialed && quiet >= p.c.opts.KeepAlive
}

func (p *prober) rearm() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stopped {
		p.armLocked(p.pinged != 0 || p.unanswered != 0 || p.expected)
	}
}
