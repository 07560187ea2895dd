package entry

import (
	"github.com/fireflytray/fireflytray/entry/placement"
	"github.com/fireflytray/fireflytray/entry/queue"
	"github.com/fireflytray/fireflytray/wire"
)

// dispatchActive places waiting tasks of the services marked active in this
// step.
func (e *Entry) dispatchActive() {
	e.refuseEvacuated()
	e.refuseInDownLanes()
	for _, s := range e.active {
		s.active = false
		e.dispatch(s)
	}
	e.active = e.active[:0]
}

// dispatch places tasks until none waits or no agent can be sent one. With a
// late-binding policy such as Credits, tasks wait while no agent has credit. A
// job whose next task currently fits no available agent is deferred to the next
// dispatch so that it does not block other jobs.
func (e *Entry) dispatch(s *service) {
	s.requeueDeferred()
	s.forecast.observe(e.now, s.q.Len() > 0)
	s.inTime.Begin()
	for {
		j, rank := s.q.Head(e.now)
		if j == nil {
			break
		}
		if e.opts.Policy.LateBinding() && s.pool.Available() == 0 {
			break
		}
		sub := j.Owner.(*submission)
		i := sub.ready[len(sub.ready)-1]
		if e.dropGuilty(sub, i) || e.awaitVerdict(sub, i) {
			continue
		}
		pick, end := e.pick(s, sub, i)
		if end.verdict == placement.Wait {
			e.hold(s, sub, i, end)
			continue
		}
		if pick == nil {
			if s.pool.Len() == 0 {
				break
			}
			s.deferJob(j)
			continue
		}
		e.placeTask(sub, i, rank, pick, end)
	}
	waiting := s.q.Len() > 0
	s.requeueHeld()
	e.notifyDemand(s)
	s.forecast.observe(e.now, waiting)
}

// placeTask assigns task i of a submission to an agent and uses one credit. The
// task is sent with the next flush.
func (e *Entry) placeTask(s *submission, i uint32, rank float64, pick *placement.Agent, end forecastEnd) {
	a := e.agents[pick.ID]
	e.trace(s, "placed", "task", i, "attempt", s.tasks[i].attempt, "agent", pick.ID, "rank", rank,
		"credit", pick.Credit, "outstanding", pick.Outstanding, "others", pick.Others, "slow", pick.Slow,
		"speed", pick.Speed, "ends-in", end.in, "left", end.left, "verdict", end.verdict)
	e.countPlacement(s, end)
	s.ready = s.ready[:len(s.ready)-1]
	s.svc.q.Dequeue(&s.job)
	rec := &s.tasks[i]
	rec.state = taskSent
	rec.agent = a
	s.inFlight++
	s.messages++
	if rec.attempt == 0 {
		if s.placed++; int(s.placed) == len(s.tasks) {
			s.queueTime = e.now - s.arrived
		}
	}
	spec := &s.sub.Tasks[i]
	a.sent[s.taskID(i)] = sentTask{sub: s, index: i, svc: s.svc, at: e.now, declared: spec.DeclaredRunTime, need: spec.Need}
	a.toAssign = append(a.toAssign, e.assignment(s, i, rank))
	a.Outstanding++
	a.Credit--
	if a.Slow {
		a.probeSent(e.now)
	}
	a.Used = a.Used.Add(spec.Need)
	a.svc.pool.Changed(&a.Agent)
	s.svc.forecast.addPlacedWork(s.job.TaskRunTime().Seconds())
	e.stats.Placed++
	e.markDirty(a)
}

// deferJob takes a job out of the queue until the next dispatch.
func (s *service) deferJob(j *queue.Job) {
	s.deferredJobs = append(s.deferredJobs, j)
	s.q.Remove(j)
}

// requeueDeferred returns the deferred jobs to the queue.
func (s *service) requeueDeferred() {
	for _, j := range s.deferredJobs {
		s.q.Add(j, deferredTasks(j))
	}
	s.deferredJobs = s.deferredJobs[:0]
}

// deferredTasks returns the number of waiting tasks of a deferred job that are
// not in the queue. A task that was returned to the job meanwhile is in the
// queue.
func deferredTasks(j *queue.Job) uint32 {
	return uint32(len(j.Owner.(*submission).ready)) - j.Waiting()
}

func (s *service) removeDeferred(j *queue.Job) {
	for i, b := range s.deferredJobs {
		if b == j {
			s.deferredJobs = append(s.deferredJobs[:i], s.deferredJobs[i+1:]...)
			return
		}
	}
}

// waiting returns the number of waiting tasks, including those of deferred jobs.
func (s *service) waiting() int {
	n := s.q.Len()
	for _, j := range s.deferredJobs {
		n += int(deferredTasks(j))
	}
	return n
}

// notifyDemand announces waiting tasks to a few agents when tasks begin to wait
// and when the first rank falls below demandRankRatio of the announced one. It
// also starts a timer that repeats the announcement while the entry is starved.
// Regular updates may be far apart, and agents honour a demand only for a short
// time.
func (e *Entry) notifyDemand(s *service) {
	if s.q.Len() == 0 || !e.opts.Policy.LateBinding() {
		s.demandNotified = false
		return
	}
	_, rank := s.q.Head(e.now)
	if s.demandNotified && rank >= demandRankRatio*s.notifiedRank {
		return
	}
	if !s.demandNotified {
		e.arm(timer{at: e.now + demandInterval, kind: timerDemand, svc: s})
	}
	s.demandNotified, s.notifiedRank = true, rank
	e.sendDemand(s, rank)
}

// demandDue repeats the demand announcement while the entry is starved, under
// queue.Urgent as long as tasks wait: an agent that does not know of them gives its next
// slot to less urgent tasks of another entry.
func (e *Entry) demandDue(s *service) {
	if s.q.Len() == 0 {
		s.demandNotified = false
		return
	}
	if e.starved(s) || e.opts.Order == queue.Urgent {
		_, rank := s.q.Head(e.now)
		s.notifiedRank = rank
		e.sendDemand(s, rank)
	}
	e.arm(timer{at: e.now + demandInterval, kind: timerDemand, svc: s})
}

// starved reports whether the entry's tasks occupy less than half of its even
// share of a service's slots.
func (e *Entry) starved(s *service) bool {
	return 2*s.pool.Outstanding()*max(1, len(e.entries)) < s.pool.Slots()
}

// sendDemand schedules an update to a few random agents that have not been
// notified of waiting tasks recently, or only of far less urgent ones.
func (e *Entry) sendDemand(s *service, rank float64) {
	remaining := e.opts.DemandFanout
	for _, p := range s.pool.Shuffled() {
		a := e.agents[p.ID]
		recentlyNotified := a.sentDemand > 0 && e.now < a.demandSentAt+demandInterval && rank >= demandRankRatio*a.sentDemandRank
		if a.link != linkOpen || a.Slots == 0 || recentlyNotified {
			continue
		}
		e.markDirty(a)
		if remaining--; remaining <= 0 {
			return
		}
	}
}

// declineCredit tells the agents that have just given credit for waiting tasks that none
// waits any more, so that they offer their free slots to other entries at once.
//
// The load pattern that it answers is that of several entries near the room of their
// upstreams: an entry asks many agents for slots and needs few of them.
func (e *Entry) declineCredit() {
	for _, a := range e.credited {
		if a.link == linkOpen && a.Credit > 0 && a.sentDemand > 0 && a.svc.q.Len() == 0 {
			e.markDirty(a)
		}
	}
	e.credited = e.credited[:0]
}

// flush sends one update to each agent marked dirty.
func (e *Entry) flush() {
	for _, a := range e.dirty {
		a.dirty = false
		if a.link == linkOpen {
			e.sendUpdate(a)
		}
		a.toAssign, a.toCancel, a.toAcquire, a.toWithdraw = nil, nil, nil, nil
	}
	e.dirty = e.dirty[:0]
}

// sendUpdate sends the agent's assignments, cancellations and requests for job
// locks with the current demand and an acknowledgement of its last report.
func (e *Entry) sendUpdate(a *agent) {
	a.updateSeq++
	a.updateSentAt = e.now
	u := &wire.Update{
		Seq:    a.updateSeq,
		Ack:    a.lastReportSeq,
		SentAt: e.now,
		Demand: e.demand(a.svc),
		Tasks:  a.toAssign,
		Cancel: a.toCancel,

		Release: a.toRelease,
		Acquire: a.toAcquire,

		Withdraw: a.toWithdraw,
	}
	a.toRelease = nil
	switch {
	case len(a.toAssign) > 0:
		a.unacked = append(a.unacked, unackedUpdate{a.updateSeq, len(a.toAssign)})
	case len(a.toAcquire) > 0 || len(a.toWithdraw) > 0:
		e.stats.Wasted.Locks++
	case a.ackedReportSeq < a.lastReportSeq || len(a.toCancel) > 0:
		e.stats.Wasted.Acks++
	default:
		e.stats.Wasted.Demands++
	}
	a.ackedReportSeq = a.lastReportSeq
	a.sentDemand = u.Demand.Waiting
	a.demandSentAt, a.sentDemandRank = e.now, u.Demand.Rank
	e.stats.Sent++
	e.emit(Send{Agent: a.ID, Session: a.session, Update: u})
	e.updateExpect(a)
}

// updateExpect informs the driver when reports from an agent become due or are
// no longer due.
func (e *Entry) updateExpect(a *agent) {
	awaiting := len(a.sent) > 0 || a.locks > 0
	if a.link != linkOpen || awaiting == a.expectSent {
		return
	}
	a.expectSent = awaiting
	e.emit(Expect{Agent: a.ID, Session: a.session, On: awaiting})
}

// slotsPerWaitingTask is the number of slots requested for each waiting task
// over all notified agents. Each agent reserves what is requested, so a higher
// number would keep slots idle.
const slotsPerWaitingTask = 2

// demand returns the description of the waiting tasks that is sent to agents.
func (e *Entry) demand(s *service) wire.Demand {
	j, rank := s.q.Head(e.now)
	if j == nil {
		return wire.Demand{}
	}
	agents := max(1, min(e.opts.DemandFanout, s.pool.Len()))
	waiting := (slotsPerWaitingTask*s.q.Len() + agents - 1) / agents
	return wire.Demand{Waiting: uint32(min(waiting, s.q.Len())), Rank: rank}
}
