package entryd

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/fireflytray/fireflytray/entry"
	"github.com/fireflytray/fireflytray/task"
)

// cancellationTimeout bounds the wait for the outcome of a cancellation, which the reducer
// of package entry decides sooner while it runs.
const cancellationTimeout = 2 * time.Second

// cancellations are those of jobs that other entries may hold, by request. It is safe for
// concurrent use.
type cancellations struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan task.Cancellation
}

// passOn passes on the cancellation of a job and returns its outcome.
func (c *cancellations) passOn(ref string, post func(entry.Event) bool, l *log.Logger) task.Cancellation {
	outcome := make(chan task.Cancellation, 1)
	c.mu.Lock()
	c.last++
	request := c.last
	if c.waiting == nil {
		c.waiting = make(map[uint64]chan task.Cancellation)
	}
	c.waiting[request] = outcome
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.waiting, request)
		c.mu.Unlock()
	}()
	if !post(entry.CancelJob{Request: request, Ref: ref}) {
		l.Warn("cancellation not passed on: the entry has shut down", "job", ref)
		return task.CancellationUnknown
	}
	select {
	case o := <-outcome:
		return o
	case <-time.After(cancellationTimeout):
		l.Warn("cancellation not decided in time", "job", ref, "request", request)
		return task.CancellationUnknown
	}
}

// answer passes an outcome to the caller that waits for it.
func (c *cancellations) answer(o entry.JobCancelled) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.waiting[o.Request]; w != nil {
		w <- o.Outcome
	}
}
