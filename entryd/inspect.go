package entryd

import (
	"time"

	"github.com/fireflytray/fireflytray/entry"
)

// viewRequest is an event that requests a copy of the state. It embeds a Tick to
// implement entry.Event, whose method is unexported.
type viewRequest struct {
	entry.Tick
	reply chan<- entry.View
}

// viewServer answers viewRequest events and passes all others to the reducer.
type viewServer struct{ *entry.Entry }

// Step implements loop.Reducer.
func (i *viewServer) Step(now time.Duration, ev entry.Event, out []entry.Effect) []entry.Effect {
	if q, ok := ev.(viewRequest); ok {
		q.reply <- i.View()
		return out
	}
	return i.Entry.Step(now, ev, out)
}
