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
	s.unblockAll()
	s.forecast.observe(e.now, s.q.Len() > 0)
	defer func() { s.forecast.observe(e.now, s.q.Len() > 0) }()
	for {
		j, rank := s.q.Head(e.now)
		if j == nil {
			break
		}
		if e.opts.Policy.Late() && s.pool.Free() == 0 {
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
			s.block(j)
			continue
		}
		e.place(sub, i, rank, pick)
	}
	e.poke(s)
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
	rec.ag = a
	s.inFlight++
	s.messages++
	if rec.attempt == 0 {
		if s.placed++; int(s.placed) == len(s.tasks) {
			s.queued = e.now - s.arrived
		}
	}
	spec := &s.sub.Tasks[i]
	a.sent[s.taskID(i)] = sentRec{sub: s, index: i, at: e.now, declared: spec.DeclaredRunTime, need: spec.Need}
	a.tasks = append(a.tasks, e.assignment(s, i, rank))
	a.Outstanding++
	a.Credit--
	if a.Slow {
		a.probed(e.now)
	}
	a.Used = a.Used.Add(spec.Need)
	a.svc.pool.Changed(&a.Agent)
	s.svc.forecast.place(s.job.PerTask().Seconds())
	e.stats.Placed++
	e.markDirty(a)
}

// block sets a job aside until something changes at an agent.
func (s *service) block(j *queue.Job) {
	s.blocked = append(s.blocked, j)
	s.q.Remove(j)
}

// unblockAll lets the jobs set aside wait again.
func (s *service) unblockAll() {
	for _, j := range s.blocked {
		s.q.Add(j, aside(j))
	}
	s.blocked = s.blocked[:0]
}

// aside counts the tasks of a job set aside that are not in the queue; a task
// that came back since is.
func aside(j *queue.Job) uint32 {
	return uint32(len(j.Owner.(*submission).ready)) - j.Waiting()
}

func (s *service) unblock(j *queue.Job) {
	for i, b := range s.blocked {
		if b == j {
			s.blocked = append(s.blocked[:i], s.blocked[i+1:]...)
			return
		}
	}
}

// waiting is how many tasks wait, those set aside too.
func (s *service) waiting() int {
	n := s.q.Len()
	for _, j := range s.blocked {
		n += int(aside(j))
	}
	return n
}

// poke tells a few agents of waiting tasks, at the start of each spell of
// waiting and then, while the entry has less than half of its share of the slots,
// at intervals: messages that are sent anyway may be long in coming, and agents
// heed a demand for a short time only.
func (e *Entry) poke(s *service) {
	if s.q.Len() == 0 || !e.opts.Policy.Late() {
		s.poked = false
		return
	}
	_, rank := s.q.Head(e.now)
	if s.poked && rank >= pokeAgainBelow*s.pokedRank {
		return
	}
	if !s.poked {
		e.arm(timer{at: e.now + pokeEvery, kind: timerPoke, svc: s})
	}
	s.poked, s.pokedRank = true, rank
	e.tellDemand(s, rank)
}

// pokeDue repeats a poke while the entry is starved.
func (e *Entry) pokeDue(s *service) {
	if s.q.Len() == 0 {
		s.poked = false
		return
	}
	if e.starved(s) {
		_, rank := s.q.Head(e.now)
		s.pokedRank = rank
		e.tellDemand(s, rank)
	}
	e.arm(timer{at: e.now + pokeEvery, kind: timerPoke, svc: s})
}

// starved reports whether the entry has less than half of its even share of a
// service's slots.
func (e *Entry) starved(s *service) bool {
	return 2*s.pool.Outstanding()*max(1, len(e.entries)) < s.pool.Slots()
}

// tellDemand lets a few random agents get an update that were not told of
// waiting tasks, not lately, or only of far less urgent ones.
func (e *Entry) tellDemand(s *service, rank float64) {
	left := e.opts.Poke
	for _, p := range s.pool.Shuffled() {
		a := e.agents[p.ID]
		told := a.wanted > 0 && e.now < a.wantedAt+pokeEvery && rank >= pokeAgainBelow*a.wantedRank
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
	a.seq++
	a.sentAt = e.now
	u := &wire.Update{
		Seq:    a.seq,
		Ack:    a.seen,
		SentAt: e.now,
		Demand: e.demand(a.svc),
		Tasks:  a.tasks,
		Cancel: a.cancel,
	}
	switch {
	case len(a.tasks) > 0:
		a.unseen = append(a.unseen, unseen{a.seq, len(a.tasks)})
	case a.told < a.seen || len(a.cancel) > 0:
		e.stats.Wasted.Acks++
	default:
		e.stats.Wasted.Demands++
	}
	a.told = a.seen
	a.wanted = u.Demand.Waiting
	a.wantedAt, a.wantedRank = e.now, u.Demand.Rank
	e.stats.Sent++
	e.emit(Send{Agent: a.ID, Session: a.session, Update: u})
	e.expect(a)
}

// expect tells the driver when an agent begins or ceases to owe answers.
func (e *Entry) expect(a *agent) {
	owes := len(a.sent) > 0
	if a.link != linkOpen || owes == a.expecting {
		return
	}
	a.expecting = owes
	e.emit(Expect{Agent: a.ID, Session: a.session, On: owes})
}

// demandSpread is how many slots are asked for a waiting task, over all agents
// that are told of it: each reserves what it is asked for.
const demandSpread = 2

// demand is what agents are told of the tasks that wait here.
func (e *Entry) demand(s *service) wire.Demand {
	j, rank := s.q.Head(e.now)
	if j == nil {
		return wire.Demand{}
	}
	agents := max(1, min(e.opts.Poke, s.pool.Len()))
	waiting := (demandSpread*s.q.Len() + agents - 1) / agents
	return wire.Demand{Waiting: uint32(min(waiting, s.q.Len())), Rank: rank}
}
