package entry

import (
	"container/heap"
	"time"
)

// timerKind is the purpose of a timer.
type timerKind uint8

const (
	timerDeadline timerKind = iota
	timerInfeasible
	timerForecastCheck
	timerLatestStart
	timerAck
	timerDial
	timerDialSlot // a dial in flight leaves room for another
	timerAgentTimeout
	timerReview
	timerDemand
	timerKeepalive
	timerLock
	timerLockMember
	timerOver
	timerHold
	timerCancellation
)

// timer fires once. Its handler checks whether it is still relevant.
type timer struct {
	at    time.Duration
	kind  timerKind
	sub   *submission
	agent *agent
	svc   *service

	cancellation *cancellation
}

// timers is a min-heap of timers by time.
type timers []timer

// Len implements heap.Interface.
func (h timers) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timers) Less(i, k int) bool { return h[i].at < h[k].at }

// Swap implements heap.Interface.
func (h timers) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

// Push implements heap.Interface.
func (h *timers) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timers) Pop() any {
	old := *h
	last := len(old) - 1
	t := old[last]
	old[last] = timer{}
	*h = old[:last]
	return t
}

func (e *Entry) arm(t timer) { heap.Push(&e.timers, t) }

// Next returns when the driver must post the next Tick, and false if no timer
// is set.
func (e *Entry) Next() (time.Duration, bool) {
	if len(e.timers) == 0 {
		return 0, false
	}
	return e.timers[0].at, true
}

// fireTimers handles every timer that is due.
func (e *Entry) fireTimers() {
	for len(e.timers) > 0 && e.timers[0].at <= e.now {
		t := heap.Pop(&e.timers).(timer)
		switch t.kind {
		case timerDeadline:
			e.deadlinePassed(t.sub)
		case timerInfeasible:
			e.dropInfeasible(t.sub)
		case timerForecastCheck:
			e.dropByForecast(t.sub)
		case timerLatestStart:
			e.dropAtLatestStart(t.sub)
		case timerAck:
			e.ackDue(t.agent)
		case timerDial:
			e.dialDue(t.agent)
		case timerDialSlot:
			// Step starts the dials that are due.
		case timerAgentTimeout:
			e.agentTimedOut(t.agent, t.at)
		case timerReview:
			e.reviewAgents()
		case timerKeepalive:
			e.sendKeepalives()
		case timerLock:
			e.lockTimedOut(t.sub)
		case timerLockMember:
			e.lockMembershipDue(t.agent)
		case timerOver:
			e.checkOver(t.sub)
		case timerHold:
			e.holdDue(t.svc)
		case timerCancellation:
			e.cancellationDue(t.cancellation)
		case timerDemand:
			e.demandDue(t.svc)
		}
	}
}
