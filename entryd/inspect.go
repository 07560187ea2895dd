package entryd

import (
	"time"

	"github.com/fireflytray/fireflytray/entry"
)

// viewRequest is an event that asks for a copy of the state. It embeds a Tick to
// count as an event of the reducer.
type viewRequest struct {
	entry.Tick
	reply chan<- entry.View
}

// viewServer answers inspect events and hands all others to the reducer.
type viewServer struct{ *entry.Entry }

// Step is part of loop.Reducer.
func (i *viewServer) Step(now time.Duration, ev entry.Event, out []entry.Effect) []entry.Effect {
	if q, ok := ev.(viewRequest); ok {
		q.reply <- i.View()
		return out
	}
	return i.Entry.Step(now, ev, out)
}
