// Package loop drives a reducer: it passes events to it one at a time and
// carries out the effects that it returns. It is the only place that supplies
// a reducer with the time.
package loop

import (
	"context"
	"sync"
	"time"

	"github.com/fireflytray/fireflytray/internal/steadyclock"
)

// eventBacklog is how many events may be queued before Post blocks.
const eventBacklog = 4096

// Reducer is a state machine without I/O. Step appends the effects of an event
// to out and returns it. Now is the time since the loop was created.
type Reducer[Ev, Eff any] interface {
	Step(now time.Duration, ev Ev, out []Eff) []Eff
	// Next returns when the next tick is due; ok is false if none is.
	Next() (at time.Duration, ok bool)
}

// Loop runs one reducer on one goroutine. Every event that Post accepts is passed
// to the reducer, also while the loop ends.
type Loop[Ev, Eff any] struct {
	reducer Reducer[Ev, Eff]
	tick    Ev
	exec    func(Eff)
	events  chan Ev
	clock   steadyclock.Clock

	// mu is held for reading while an event is queued, and for writing to set
	// closed.
	mu     sync.RWMutex
	closed bool
}

// New returns a loop over reducer. Tick is the event passed to the reducer when
// the time returned by Next has come; exec carries out one effect and must not
// block.
func New[Ev, Eff any](reducer Reducer[Ev, Eff], tick Ev, exec func(Eff)) *Loop[Ev, Eff] {
	return &Loop[Ev, Eff]{
		reducer: reducer,
		tick:    tick,
		exec:    exec,
		events:  make(chan Ev, eventBacklog),
		clock:   steadyclock.New(),
	}
}

// Now returns the time since the loop was created, suspended time included.
func (l *Loop[Ev, Eff]) Now() time.Duration { return l.clock.Now() }

// Post queues an event for the reducer. It returns false once the loop is ending;
// the event is then not handled. It must not be called from exec.
func (l *Loop[Ev, Eff]) Post(ev Ev) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.closed {
		return false
	}
	l.events <- ev
	return true
}

// Run steps the reducer until ctx ends and the events queued until then are
// handled.
func (l *Loop[Ev, Eff]) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, l.close)
	defer stop()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var out []Eff
	for {
		l.arm(timer)
		var ev Ev
		open := true
		select {
		case ev, open = <-l.events:
		case <-timer.C:
			if !l.tickDue() {
				continue
			}
			ev = l.tick
		}
		if !open {
			return
		}
		out = l.reducer.Step(l.Now(), ev, out[:0])
		for _, eff := range out {
			l.exec(eff)
		}
		clear(out)
	}
}

// close makes Post refuse events. Events that Post has accepted stay queued.
func (l *Loop[Ev, Eff]) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	close(l.events)
}

// arm sets the timer to the time of the next tick, or to when to look at the clock
// again. Without a next tick it does not matter how much time has passed.
func (l *Loop[Ev, Eff]) arm(timer *time.Timer) {
	at, ok := l.reducer.Next()
	if !ok {
		timer.Reset(time.Hour)
		return
	}
	timer.Reset(min(max(0, at-l.Now()), steadyclock.MaxSleep))
}

// tickDue reports whether the time of the next tick has come.
func (l *Loop[Ev, Eff]) tickDue() bool {
	at, ok := l.reducer.Next()
	return ok && l.Now() >= at
}
