package entryd

import (
	"time"

	"github.com/fireflytray/fireflytray/entry"
)

// inspect is an event that asks for a copy of the state. It embeds a Tick to
// count as an event of the reducer.
type inspect struct {
	entry.Tick
	got chan<- entry.View
}

// inspected answers inspect events and hands all others to the reducer.
type inspected struct{ *entry.Entry }

// Step is part of loop.Reducer.
func (i *inspected) Step(now time.Duration, ev entry.Event, out []entry.Effect) []entry.Effect {
	if q, ok := ev.(inspect); ok {
		q.got <- i.View()
		return out
	}
	return i.Entry.Step(now, ev, out)
}
