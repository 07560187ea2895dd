package agent

import (
	"time"

	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

type phase uint8

const (
	phaseQueued phase = iota + 1
	phaseRunning
	phaseEnded
)

// record is a task that is queued or running, or whose outcome is not yet
// acknowledged.
type record struct {
	id    task.ID
	entry *entry
	phase phase
	rank  float64
	need  task.Resources
	name  string
	kind  string
	// apartFor and alone are those of the assignment.
	apartFor time.Duration
	alone    bool
	payload  []byte
	// bytes is what the agent holds for the task, as counted by State.hold.
	bytes int
	// declared is the run time that the caller expects.
	declared time.Duration
	arrived  time.Duration
	startBy  time.Duration
	runBy    time.Duration

	run     RunID
	started time.Duration
	// checkAt is when to query the upstream about the run; zero while a query
	// is pending.
	checkAt time.Duration
	// stopReason and stopRequestedAt are set when the run is requested to stop.
	stopReason      task.Reason
	stopRequestedAt time.Duration

	result wire.Result
	// reportSeq is the sequence number of the last report that carried the
	// result; zero if the result must be sent.
	reportSeq uint64
}

// finishedIDs holds the most recent ids of tasks that must not start again, in a
// ring buffer of fixed size.
type finishedIDs struct {
	ids  map[task.ID]struct{}
	ring []task.ID
	next int
}

func newFinishedIDs(size int) finishedIDs {
	return finishedIDs{ids: make(map[task.ID]struct{}), ring: make([]task.ID, 0, size)}
}

func (f *finishedIDs) has(id task.ID) bool {
	_, ok := f.ids[id]
	return ok
}

func (f *finishedIDs) add(id task.ID) {
	if f.has(id) {
		return
	}
	f.ids[id] = struct{}{}
	if len(f.ring) < cap(f.ring) {
		f.ring = append(f.ring, id)
		return
	}
	delete(f.ids, f.ring[f.next])
	f.ring[f.next] = id
	f.next = (f.next + 1) % len(f.ring)
}
