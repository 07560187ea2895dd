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
	// stepTime is the time of the last step. Only the goroutine of Run uses it.
	stepTime time.Duration

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

// StepTime returns the time of the step whose effect is carried out. Only exec may call
// it. Unlike Now it reads no clock.
func (l *Loop[Ev, Eff]) StepTime() time.Duration { return l.stepTime }

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
	tick := newTickTimer()
	defer tick.timer.Stop()
	var out []Eff
	now, readAt := l.Now(), time.Now()
	for {
		at, ok := l.reducer.Next()
		tick.arm(at, ok, now, readAt)
		var ev Ev
		open := true
		select {
		case ev, open = <-l.events:
			now, readAt = l.Now(), time.Now()
		case <-tick.timer.C:
			tick.armed = false
			now, readAt = l.Now(), time.Now()
			if !ok || now < at {
				continue
			}
			ev = l.tick
		}
		if !open {
			return
		}
		l.stepTime = now
		out = l.reducer.Step(now, ev, out[:0])
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
