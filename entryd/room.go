package entryd

import (
	"fmt"
	"sync"
	"time"

	"github.com/fireflytray/fireflytray/entry"
	"github.com/fireflytray/fireflytray/task"
)

// noRoomRetryAfter is the retry delay for a job whose tasks found no room.
const noRoomRetryAfter = time.Second

// room bounds the tasks of jobs from before they are built until they are answered. The
// reducer learns of a job only with its tasks. It is safe for concurrent use.
type room struct {
	// limit is Options.MaxBytes, zero for no bound.
	limit int

	mu   sync.Mutex
	used int
	// refused counts the jobs refused since the last call of takeRefused.
	refused int
}

// reserve reserves room for the tasks of a job. If there is none, refusal is the answer.
func (r *room) reserve(d *task.Draft) (size int, refusal *task.Answer) {
	size = entry.JobSize(d.Count, d.PayloadBytes)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.limit == 0 || r.used+size <= r.limit:
		r.used += size
		return size, nil
	case size > r.limit:
		return 0, &task.Answer{State: task.NotRun, Reason: task.ReasonTooLarge,
			Detail: fmt.Sprintf("the job takes %d bytes, this entry holds at most %d", size, r.limit)}
	}
	r.refused++
	return 0, &task.Answer{State: task.NotRun, Reason: task.ReasonOverload, RetryAfter: noRoomRetryAfter,
		Detail: fmt.Sprintf("this entry holds %d of %d bytes", r.used, r.limit)}
}

func (r *room) release(size int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.used -= size
}

// takeRefused returns the number of jobs refused since the last call, and the bytes in use.
func (r *room) takeRefused() (refused, used int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	refused, r.refused = r.refused, 0
	return refused, r.used
}
