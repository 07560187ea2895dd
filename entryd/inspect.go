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
func (s *viewServer) Step(now time.Duration, ev entry.Event, out []entry.Effect) []entry.Effect {
	if req, ok := ev.(viewRequest); ok {
		req.reply <- s.View()
		return out
	}
	return s.Entry.Step(now, ev, out)
}
