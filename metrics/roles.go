package metrics

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/fireflytray/fireflytray/task"
)

// overIdealBuckets are the bucket bounds for the ratio of response time to ideal
// response time.
var overIdealBuckets = tally.ValueBuckets{1, 1.1, 1.25, 1.5, 2, 3, 5, 10, 20, 50, 100, 1000}

// durationBuckets are the bucket bounds for durations, from a network round trip to
// the longest time that callers wait.
var durationBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second,
}

// DurationHistogram returns a histogram of durations. Its name should end in
// "_seconds".
func DurationHistogram(scope tally.Scope, name string) tally.Histogram {
	return scope.Histogram(name, durationBuckets)
}

// Entry holds the metrics of an entry. Package agentd holds those of an agent.
type Entry struct {
	// OverIdeal is the ratio of response time to ideal response time, for complete
	// answers.
	OverIdeal tally.Histogram
	// Messages counts messages to and from agents. WastedMessages counts those of
	// them that made no progress on any task.
	Messages       tally.Counter
	WastedMessages tally.Counter
	// Retries counts further attempts at tasks that may have run.
	Retries tally.Counter
	// PlacedTooSlow counts tasks placed on an upstream that was predicted to miss the
	// job's objective, WaitedForFaster tasks of jobs that waited for a faster one.
	PlacedTooSlow   tally.Counter
	WaitedForFaster tally.Counter
	Shed            tally.Counter
	// NoRoomForSubmissions and NoRoomForBytes count submissions refused because of what
	// the entry holds already; BytesInFlight is what it holds.
	NoRoomForSubmissions, NoRoomForBytes tally.Counter
	BytesInFlight                        tally.Gauge
	// GuiltyTasks counts tasks found to crash upstreams, IsolatedTasks assignments kept
	// apart because an upstream crashed under their tasks. ConfinedKinds is the number
	// of routes that are confined to a few agents.
	GuiltyTasks   tally.Counter
	IsolatedTasks tally.Counter
	ConfinedKinds tally.Gauge
	// Turnaround is the median time of agents to an answer, in seconds.
	Turnaround tally.Gauge
	// ResentInFlight and ResentAnswered count jobs that were sent again while this
	// entry held them or kept their answer.
	ResentInFlight tally.Counter
	ResentAnswered tally.Counter
	// Held counts requests that were held because this entry had just started,
	// HeldInVain those of them that could not be served in time. HeldNow is the
	// number held now.
	Held       tally.Counter
	HeldInVain tally.Counter
	HeldNow    tally.Gauge
	// Queue is the number of tasks queued at this entry.
	Queue tally.Gauge
	// Slots is the number of slots for which this entry holds credit.
	Slots tally.Gauge
	// QueueSeconds is the time until all tasks of a submission were placed.
	// RunSeconds is the longest run time of its tasks. Both cover complete answers
	// only.
	QueueSeconds tally.Histogram
	RunSeconds   tally.Histogram
	// Connected is the number of agents with an open connection.
	Connected tally.Gauge
	// Evacuated is the number of connected agents in evacuated failure domains.
	// EvacuatedTasks counts tasks that such agents sent back.
	Evacuated      tally.Gauge
	EvacuatedTasks tally.Counter
	// ConfigIndex is the index of the active configuration. ConfigAge is the time
	// since it became active, in seconds.
	ConfigIndex tally.Gauge
	ConfigAge   tally.Gauge

	complete tally.Counter
	refused  reasonCounters
	failed   reasonCounters
	answers  map[task.State]tally.Histogram
}

func answerSeconds(s tally.Scope, outcome string) tally.Histogram {
	return DurationHistogram(s.Tagged(map[string]string{"outcome": outcome}), "answer_seconds")
}

// NewEntry creates an entry's metrics in scope.
func NewEntry(scope tally.Scope) *Entry {
	s := scope.SubScope("entry")
	return &Entry{
		OverIdeal:       s.Histogram("response_over_ideal", overIdealBuckets),
		Messages:        s.Counter("messages"),
		WastedMessages:  s.Counter("wasted_messages"),
		Retries:         s.Counter("retries"),
		PlacedTooSlow:   s.Counter("placed_too_slow"),
		WaitedForFaster: s.Counter("waited_for_faster"),
		ResentInFlight:  s.Tagged(map[string]string{"state": "in_flight"}).Counter("jobs_resent"),
		ResentAnswered:  s.Tagged(map[string]string{"state": "answered"}).Counter("jobs_resent"),
		Shed:            s.Counter("jobs_shed"),
		BytesInFlight:   s.Gauge("bytes_in_flight"),

		NoRoomForSubmissions: s.Tagged(map[string]string{"bound": "submissions"}).Counter("bound_reached"),
		NoRoomForBytes:       s.Tagged(map[string]string{"bound": "bytes"}).Counter("bound_reached"),

		GuiltyTasks:    s.Counter("crashing_tasks"),
		IsolatedTasks:  s.Counter("isolated_tasks"),
		ConfinedKinds:  s.Gauge("confined_kinds"),
		Turnaround:     s.Gauge("turnaround_seconds"),
		Held:           s.Counter("requests_held"),
		HeldInVain:     s.Counter("requests_held_in_vain"),
		HeldNow:        s.Gauge("requests_held_now"),
		Queue:          s.Gauge("queue"),
		Slots:          s.Gauge("slots"),
		QueueSeconds:   DurationHistogram(s, "queue_seconds"),
		RunSeconds:     DurationHistogram(s, "run_seconds"),
		Connected:      s.Gauge("agents_connected"),
		Evacuated:      s.Gauge("agents_evacuated"),
		EvacuatedTasks: s.Counter("evacuated_tasks"),
		ConfigIndex:    s.Gauge("config_index"),
		ConfigAge:      s.Gauge("config_age_seconds"),
		answers: map[task.State]tally.Histogram{
			task.Complete: answerSeconds(s, "complete"),
			task.NotRun:   answerSeconds(s, "refused"),
			task.Failed:   answerSeconds(s, "failed"),
			task.Unknown:  answerSeconds(s, "failed"),
		},
		complete: s.Counter("complete"),
		refused:  reasonCounters{scope: s, name: "refused"},
		failed:   reasonCounters{scope: s, name: "failed"},
	}
}

// Answered records an answer by its state and reason, and the time elapsed since
// the request arrived.
func (e *Entry) Answered(state task.State, reason task.Reason, elapsed time.Duration) {
	if h := e.answers[state]; h != nil {
		h.RecordDuration(elapsed)
	}
	switch state {
	case task.Complete:
		e.complete.Inc(1)
	case task.NotRun:
		e.refused.increment(reason)
	default:
		e.failed.increment(reason)
	}
}

// reasonCounters creates and caches one counter per reason.
type reasonCounters struct {
	scope    tally.Scope
	name     string
	counters sync.Map
}

func (r *reasonCounters) increment(reason task.Reason) {
	c, ok := r.counters.Load(reason)
	if !ok {
		tagged := r.scope.Tagged(map[string]string{"reason": string(reason)})
		c, _ = r.counters.LoadOrStore(reason, tagged.Counter(r.name))
	}
	c.(tally.Counter).Inc(1)
}
