package transport

import (
	"fmt"
	"sync"
	"time"

	"github.com/fireflytray/fireflytray/wire"
)

const (
	// probeSteps is how many checks fit into Options.Silence.
	probeSteps = 4
	// stallFactor times Options.Silence is how long an answer may take while
	// packets still arrive.
	stallFactor = 5
)

// prober enforces the progress deadline of a connection. It sends a ping when
// something was sent, or is expected, and nothing has come back; a ping that
// stays without an answer ends the connection.
type prober struct {
	c     *Conn
	start time.Time
	// first is closed when the first frame has come in.
	first chan struct{}

	mu    sync.Mutex
	timer *time.Timer
	// fast is set while the timer runs at the short interval.
	fast     bool
	stopped  bool
	expected bool
	stuck    bool
	nonce    uint64
	// Times since start; zero means unset.
	unanswered time.Duration
	pinged     time.Duration
	heard      time.Duration
	// packets is the count at the last check, and moved when it last grew.
	packets uint64
	moved   time.Duration
}

func newProber(c *Conn) *prober {
	p := &prober{c: c, start: time.Now(), first: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(c.opts.KeepAlive, p.check)
	return p
}

func (p *prober) now() time.Duration { return max(1, time.Since(p.start)) }

// sent notes that a message went out.
func (p *prober) sent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unanswered == 0 {
		p.unanswered = p.now()
	}
	p.hurryLocked()
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
	if p.heard == 0 {
		close(p.first)
	}
	p.unanswered, p.pinged = 0, 0
	p.heard = p.now()
}

// blocked notes whether the reader waits for the caller of Recv; answers that
// queue behind it are not missing.
func (p *prober) blocked(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stuck = on
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
	if p.fast || p.stopped {
		return
	}
	p.fast = true
	p.timer.Reset(p.c.opts.Silence / probeSteps)
}

func (p *prober) check() {
	packets := p.c.qc.ConnectionStats().PacketsReceived
	p.mu.Lock()
	now := p.now()
	if packets != p.packets {
		p.packets, p.moved = packets, now
	}
	err := p.judgeLocked(now)
	ping := err == nil && p.dueLocked(now)
	if ping {
		p.nonce++
		p.pinged = now
	}
	nonce := p.nonce
	p.mu.Unlock()
	if err == nil && ping {
		err = p.c.enqueue(&wire.Ping{Nonce: nonce, SentAt: now})
	}
	if err != nil {
		p.c.fail(err)
		return
	}
	p.rearm()
}

// judgeLocked returns an error once the connection counts as silent.
func (p *prober) judgeLocked(now time.Duration) error {
	if p.pinged == 0 || p.stuck {
		return nil
	}
	step := p.c.opts.Silence / probeSteps
	waited := now - p.pinged
	quiet := now - max(p.pinged, p.moved)
	if quiet >= p.c.opts.Silence-2*step || waited >= stallFactor*p.c.opts.Silence {
		return fmt.Errorf("no answer for %v: %w", waited.Round(time.Millisecond), ErrSilent)
	}
	return nil
}

// dueLocked reports whether to send a ping.
func (p *prober) dueLocked(now time.Duration) bool {
	if p.pinged != 0 || p.stuck {
		return false
	}
	step := p.c.opts.Silence / probeSteps
	if p.unanswered != 0 && now-p.unanswered >= step {
		return true
	}
	quiet := now - p.heard
	if p.expected && quiet >= step {
		return true
	}
	return p.c.dialed && quiet >= p.c.opts.KeepAlive
}

func (p *prober) rearm() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return
	}
	p.fast = p.pinged != 0 || p.unanswered != 0 || p.expected
	if p.fast {
		p.timer.Reset(p.c.opts.Silence / probeSteps)
		return
	}
	p.timer.Reset(p.c.opts.KeepAlive)
}
