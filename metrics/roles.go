package metrics

import (
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/fireflytray/fireflytray/task"
)

// overIdealBuckets are bounds of response time over the ideal, as a ratio.
var overIdealBuckets = tally.ValueBuckets{1, 1.1, 1.25, 1.5, 2, 3, 5, 10, 20, 50, 100, 1000}

// Entry is what an entry reports. Agents report from package agentd.
type Entry struct {
	// OverIdeal is the response time of complete answers over the ideal.
	OverIdeal tally.Histogram
	// Messages counts messages between processes spent on submissions;
	// WastedMessages those that brought no task nearer its outcome.
	Messages       tally.Counter
	WastedMessages tally.Counter
	// Retries counts repeated sends of idempotent requests.
	Retries tally.Counter
	// Queue is the number of tasks that wait at this entry.
	Queue tally.Gauge
	// Slots is the number of slots that this entry holds credit for.
	Slots    tally.Gauge
	complete tally.Counter
	refused  reasons
	failed   reasons
}

// NewEntry returns an entry's metrics under scope.
func NewEntry(scope tally.Scope) *Entry {
	s := scope.SubScope("entry")
	return &Entry{
		OverIdeal:      s.Histogram("response_over_ideal", overIdealBuckets),
		Messages:       s.Counter("messages"),
		WastedMessages: s.Counter("wasted_messages"),
		Retries:        s.Counter("retries"),
		Queue:          s.Gauge("queue"),
		Slots:          s.Gauge("slots"),
		complete:       s.Counter("complete"),
		refused:        reasons{scope: s, name: "refused"},
		failed:         reasons{scope: s, name: "failed"},
	}
}

// Answered counts one answer by its state and reason.
func (e *Entry) Answered(state task.State, reason task.Reason) {
	switch state {
	case task.Complete:
		e.complete.Inc(1)
	case task.NotRun:
		e.refused.count(reason)
	default:
		e.failed.count(reason)
	}
}

// reasons counts by reason, with one counter made per reason.
type reasons struct {
	scope    tally.Scope
	name     string
	counters sync.Map
}

func (r *reasons) count(reason task.Reason) {
	c, ok := r.counters.Load(reason)
	if !ok {
		tagged := r.scope.Tagged(map[string]string{"reason": string(reason)})
		c, _ = r.counters.LoadOrStore(reason, tagged.Counter(r.name))
	}
	c.(tally.Counter).Inc(1)
}
