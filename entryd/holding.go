package entryd

import (
	"net"
	"sync"
	"time"

	"github.com/fireflytray/fireflytray/entry"
	"github.com/fireflytray/fireflytray/entryd/hold"
	"github.com/fireflytray/fireflytray/fleet"
	"github.com/fireflytray/fireflytray/internal/httpserve"
)

const (
	// maxHeldRequests and maxHeldBytes bound the requests that are held at a time.
	maxHeldRequests = 2048
	maxHeldBytes    = 16 << 20
	// firstTurns is the number of released requests that are in progress at first. Each
	// answer admits one more than before: a small host that admits all of them at once
	// is late for all and for its peers, while a larger one soon has no bound.
	firstTurns = 8
)

// holding keeps the requests that a hold.Gate holds. It is safe for concurrent
// use.
type holding struct {
	mu   sync.Mutex
	gate *hold.Gate
	// turns has an entry for each request held.
	turns map[*hold.Request]*turn
	// room has an element for each released request that may be admitted now.
	room chan struct{}
	// endsAt is when the last request is released; none is held after it.
	endsAt time.Duration
}

// turn is that of one held request: released requests are admitted one after the
// other, so that they keep their order.
type turn struct {
	until                       time.Duration // when the hold ends at the latest
	begins, submitted, answered chan struct{}
}

func newTurn(until time.Duration) *turn {
	return &turn{until: until, begins: make(chan struct{}), submitted: make(chan struct{}), answered: make(chan struct{})}
}

// over reports whether the request was answered before its turn.
func (t *turn) over() bool {
	select {
	case <-t.answered:
		return true
	default:
		return false
	}
}

func newHolding(wait, runReserve time.Duration) *holding {
	g := hold.New(0, hold.Limits{Wait: wait, Count: maxHeldRequests, Bytes: maxHeldBytes, RunReserve: runReserve})
	return &holding{
		gate: g, turns: make(map[*hold.Request]*turn), room: newRoom(),
		endsAt: g.Until(&hold.Request{ArrivedAt: 1 << 62}),
	}
}

// newRoom returns a channel with room for the first turns.
func newRoom() chan struct{} {
	room := make(chan struct{}, maxHeldRequests)
	for range firstTurns {
		room <- struct{}{}
	}
	return room
}

// addRoom admits another released request.
func (h *holding) addRoom() {
	select {
	case h.room <- struct{}{}:
	default: // no bound any more
	}
}

// arrive returns the turn for which a request has to wait, nil if it is not held.
func (h *holding) arrive(now time.Duration, r *hold.Request) *turn {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gate.Arrive(now, r) == hold.Pass {
		return nil
	}
	t := newTurn(h.gate.Until(r))
	h.turns[r] = t
	return t
}

// leave ends the hold of a request whose time is over or whose caller has left. It
// reports whether the request was held until now, and not released before.
func (h *holding) leave(r *hold.Request) (held bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held = h.gate.Leave(r)
	if held {
		delete(h.turns, r)
	}
	return held
}

// release starts the turns of the requests that choose returns, one after the
// other.
func (h *holding) release(choose func(*hold.Gate) []*hold.Request) (count int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var turns []*turn
	for _, r := range choose(h.gate) {
		turns = append(turns, h.turns[r])
		delete(h.turns, r)
	}
	if len(turns) > 0 {
		go h.runTurns(turns)
	}
	return len(turns)
}

func (h *holding) runTurns(turns []*turn) {
	for _, t := range turns {
		select {
		case <-t.answered:
			continue
		case <-h.room:
		}
		if t.over() {
			h.addRoom()
			continue
		}
		close(t.begins)
		<-t.submitted
		go func() {
			<-t.answered
			h.addRoom()
			h.addRoom()
		}()
	}
}

func (h *holding) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.gate.Held()
}

// Hold blocks while this entry is too new to serve a request for a job, within the
// bounds of package hold. The requests that arrived later wait for the turn.
func (d *Daemon) Hold(r *hold.Request, conn net.Conn) hold.Turn {
	pass := hold.Turn{Submitted: func() {}, Answered: func() {}}
	now := d.loop.Now()
	if now >= d.holding.endsAt {
		return pass
	}
	r.ArrivedAt = now - httpserve.UnreadTime(conn)
	t := d.holding.arrive(now, r)
	if t == nil {
		return pass
	}
	d.meter.metrics.Held.Inc(1)
	left := make(chan struct{})
	stopWatch := httpserve.Watch(conn, func() { close(left) })
	defer stopWatch()
	expired := time.NewTimer(t.until - now)
	defer expired.Stop()
	outcome := "released"
	select {
	case <-t.begins:
	case <-left:
		outcome = "caller left"
	case <-expired.C:
		outcome = "expired"
		d.meter.metrics.HeldInVain.Inc(1)
	}
	held := d.holding.leave(r)
	d.logHold(r, outcome, now)
	return hold.Turn{
		Missed:    outcome == "expired" && !held,
		Submitted: sync.OnceFunc(func() { close(t.submitted) }),
		Answered:  sync.OnceFunc(func() { close(t.answered) }),
	}
}

func (d *Daemon) logHold(r *hold.Request, outcome string, since time.Duration) {
	if !d.opts.Trace {
		return
	}
	now := d.loop.Now()
	d.logDecision(entry.Decision{Message: "held a request", At: now, Incomplete: outcome != "released", Inputs: []any{
		"path", r.Path, "outcome", outcome, "held", now - since, "unread", since - r.ArrivedAt, "left", r.Left, "configured", d.configured.Load(),
	}}, now)
}

// holdConfigured releases the requests that a configuration makes servable.
func (d *Daemon) holdConfigured(cfg *fleet.Config) {
	d.release("the configuration is in force", func(g *hold.Gate) []*hold.Request {
		return g.Configured(func(r *hold.Request) (string, bool) {
			route, _ := cfg.Routes.Find(r.Host, r.Path)
			if route == nil {
				return "", false
			}
			return route.Service, true
		})
	})
}

// holdReached releases the requests for a service of which an agent is connected.
func (d *Daemon) holdReached(service string) {
	d.release("an agent is connected", func(g *hold.Gate) []*hold.Request { return g.Reached(service) })
}

// endHolds releases all requests, because this entry drains.
func (d *Daemon) endHolds() { d.release("draining", (*hold.Gate).Close) }

func (d *Daemon) release(why string, choose func(*hold.Gate) []*hold.Request) {
	if n := d.holding.release(choose); n > 0 {
		d.log.Info("releasing held requests", "why", why, "count", n, "held", d.holding.count())
	}
}
