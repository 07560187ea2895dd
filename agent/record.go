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

// record is a task that the agent holds, or whose outcome is unacknowledged.
type record struct {
	id      task.ID
	entry   *entry
	phase   phase
	rank    float64
	need    task.Resources
	name    string
	payload []byte
	// declared is the run time that the caller expects.
	declared time.Duration
	arrived  time.Duration
	startBy  time.Duration
	runBy    time.Duration

	run     RunID
	started time.Duration
	// checkAt is when to ask the upstream about the run; zero while a question
	// is open.
	checkAt time.Duration
	// stopReason and stopAt are set once the run was told to stop.
	stopReason      task.Reason
	stopRequestedAt time.Duration

	result wire.Result
	// reportSeq is the sequence number of the last report with the result; zero
	// if it must be sent.
	reportSeq uint64
}

// finishedIDs remembers the latest ids of tasks that must not start any more, in a
// ring of fixed size.
type finishedIDs struct {
	ids  map[task.ID]struct{}
	ring []task.ID
	next int
}

func newFinishedIDs(size int) finishedIDs {
	return finishedIDs{ids: make(map[task.ID]struct{}), ring: make([]task.ID, 0, size)}
}

func (p *finishedIDs) has(id task.ID) bool {
	_, ok := p.ids[id]
	return ok
}

func (p *finishedIDs) add(id task.ID) {
	if p.has(id) {
		return
	}
	p.ids[id] = struct{}{}
	if len(p.ring) < cap(p.ring) {
		p.ring = append(p.ring, id)
		return
	}
	delete(p.ids, p.ring[p.next])
	p.ring[p.next] = id
	p.next = (p.next + 1) % len(p.ring)
}
