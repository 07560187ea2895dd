package entry

import (
	"github.com/fireflytray/fireflytray/entry/placement"
	"github.com/fireflytray/fireflytray/entry/queue"
	"github.com/fireflytray/fireflytray/wire"
)

// dispatchActive places waiting tasks of the services that changed.
func (e *Entry) dispatchActive() {
	for _, s := range e.active {
		s.active = false
		e.dispatch(s)
	}
	e.active = e.active[:0]
}

// dispatch places tasks until no agent takes one or nothing waits. A job whose
// next task fits no agent now steps aside, so that it holds up nobody else.
func (e *Entry) dispatch(s *service) {
	s.requeueAside()
	s.forecast.observe(e.now, s.q.Len() > 0)
	defer func() { s.forecast.observe(e.now, s.q.Len() > 0) }()
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
		need := sub.sub.Tasks[i].Need
		pick := e.opts.Policy.Pick(s.pool, need)
		if pick == nil {
			if s.pool.Len() == 0 {
				break
			}
			s.setAside(j)
			continue
		}
		e.place(sub, i, rank, pick)
	}
	e.notifyDemand(s)
}

// place sends task i of a submission to an agent with the next flush.
func (e *Entry) place(s *submission, i uint32, rank float64, pick *placement.Agent) {
	a := e.agents[pick.ID]
	e.trace(s, "placed", "task", i, "attempt", s.tasks[i].attempt, "agent", pick.ID, "rank", rank,
		"credit", pick.Credit, "outstanding", pick.Outstanding, "others", pick.Others, "slow", pick.Slow)
	s.ready = s.ready[:len(s.ready)-1]
	s.svc.q.Take(&s.job)
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
	a.sent[s.taskID(i)] = sentTask{sub: s, index: i, at: e.now, declared: spec.DeclaredRunTime, need: spec.Need}
	a.tasks = append(a.tasks, e.assignment(s, i, rank))
	a.Outstanding++
	a.Credit--
	if a.Slow {
		a.probeSent(e.now)
	}
	a.Used = a.Used.Add(spec.Need)
	a.svc.pool.Changed(&a.Agent)
	s.svc.forecast.addPlaced(s.job.TaskRunTime().Seconds())
	e.stats.Placed++
	e.markDirty(a)
}

// setAside sets a job aside until something changes at an agent.
func (s *service) setAside(j *queue.Job) {
	s.asideJobs = append(s.asideJobs, j)
	s.q.Remove(j)
}

// requeueAside lets the jobs set aside wait again.
func (s *service) requeueAside() {
	for _, j := range s.asideJobs {
		s.q.Add(j, tasksAside(j))
	}
	s.asideJobs = s.asideJobs[:0]
}

// tasksAside counts the tasks of a job set aside that are not in the queue; a task
// that came back since is.
func tasksAside(j *queue.Job) uint32 {
	return uint32(len(j.Owner.(*submission).ready)) - j.Waiting()
}

func (s *service) removeAside(j *queue.Job) {
	for i, b := range s.asideJobs {
		if b == j {
			s.asideJobs = append(s.asideJobs[:i], s.asideJobs[i+1:]...)
			return
		}
	}
}

// waiting is how many tasks wait, those set aside too.
func (s *service) waiting() int {
	n := s.q.Len()
	for _, j := range s.asideJobs {
		n += int(tasksAside(j))
	}
	return n
}

// notifyDemand tells a few agents of waiting tasks, at the start of each spell of
// waiting and then, while the entry has less than half of its share of the slots,
// at intervals: messages that are sent anyway may be long in coming, and agents
// heed a demand for a short time only.
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

// demandDue repeats a poke while the entry is starved.
func (e *Entry) demandDue(s *service) {
	if s.q.Len() == 0 {
		s.demandNotified = false
		return
	}
	if e.starved(s) {
		_, rank := s.q.Head(e.now)
		s.notifiedRank = rank
		e.sendDemand(s, rank)
	}
	e.arm(timer{at: e.now + demandInterval, kind: timerDemand, svc: s})
}

// starved reports whether the entry has less than half of its even share of a
// service's slots.
func (e *Entry) starved(s *service) bool {
	return 2*s.pool.Outstanding()*max(1, len(e.entries)) < s.pool.Slots()
}

// sendDemand lets a few random agents get an update that were not told of
// waiting tasks, not lately, or only of far less urgent ones.
func (e *Entry) sendDemand(s *service, rank float64) {
	left := e.opts.DemandFanout
	for _, p := range s.pool.Shuffled() {
		a := e.agents[p.ID]
		told := a.sentDemand > 0 && e.now < a.demandSentAt+demandInterval && rank >= demandRankRatio*a.sentDemandRank
		if a.link != linkOpen || a.Slots == 0 || told {
			continue
		}
		e.markDirty(a)
		if left--; left <= 0 {
			return
		}
	}
}

// flush sends one update to each agent that has something to get.
func (e *Entry) flush() {
	for _, a := range e.dirty {
		a.dirty = false
		if a.link == linkOpen {
			e.sendUpdate(a)
		}
		a.tasks, a.cancel = nil, nil
	}
	e.dirty = e.dirty[:0]
}

func (e *Entry) sendUpdate(a *agent) {
	a.updateSeq++
	a.sentAt = e.now
	u := &wire.Update{
		Seq:    a.updateSeq,
		Ack:    a.lastReport,
		SentAt: e.now,
		Demand: e.demand(a.svc),
		Tasks:  a.tasks,
		Cancel: a.cancel,
	}
	switch {
	case len(a.tasks) > 0:
		a.unacked = append(a.unacked, unackedUpdate{a.updateSeq, len(a.tasks)})
	case a.ackedReport < a.lastReport || len(a.cancel) > 0:
		e.stats.Wasted.Acks++
	default:
		e.stats.Wasted.Demands++
	}
	a.ackedReport = a.lastReport
	a.sentDemand = u.Demand.Waiting
	a.demandSentAt, a.sentDemandRank = e.now, u.Demand.Rank
	e.stats.Sent++
	e.emit(Send{Agent: a.ID, Session: a.session, Update: u})
	e.updateExpect(a)
}

// updateExpect tells the driver when an agent begins or ceases to owe answers.
func (e *Entry) updateExpect(a *agent) {
	owes := len(a.sent) > 0
	if a.link != linkOpen || owes == a.expectSent {
		return
	}
	a.expectSent = owes
	e.emit(Expect{Agent: a.ID, Session: a.session, On: owes})
}

// slotsPerWaitingTask is how many slots are asked for a waiting task, over all agents
// that are told of it: each reserves what it is asked for.
const slotsPerWaitingTask = 2

// demand is what agents are told of the tasks that wait here.
func (e *Entry) demand(s *service) wire.Demand {
	j, rank := s.q.Head(e.now)
	if j == nil {
		return wire.Demand{}
	}
	agents := max(1, min(e.opts.DemandFanout, s.pool.Len()))
	waiting := (slotsPerWaitingTask*s.q.Len() + agents - 1) / agents
	return wire.Demand{Waiting: uint32(min(waiting, s.q.Len())), Rank: rank}
}
