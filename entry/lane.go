package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/fireflytray/fireflytray/entry/quarantine"
	"github.com/fireflytray/fireflytray/task"
)

// A lane serves one kind of tasks of a service on a few agents, while that kind crashes
// upstreams. It is a service of its own, with a queue, a pool, forecasts and a limit, so
// that neither its agents nor its waiting work are part of what other kinds see.

// laneDownRetryAfter is the retry delay of refusals because all upstreams of a lane are
// down. Upstreams return from a crash within seconds.
const laneDownRetryAfter = 3 * time.Second

// root returns the service itself, or that of which it is a lane.
func (s *service) root() *service {
	if s.base != nil {
		return s.base
	}
	return s
}

// laneFor returns the lane for a kind, or the service itself if the kind is not
// confined.
func (s *service) laneFor(kind string) *service {
	if lane := s.lanes[kind]; lane != nil {
		return lane
	}
	return s
}

// homeOf returns the lane or the service that an agent of the service serves.
func (s *service) homeOf(agent string) *service {
	if lane := s.laneOf[agent]; lane != nil {
		return lane
	}
	return s
}

// reviewConfinements confines and releases kinds of a service as its crashes require.
func (e *Entry) reviewConfinements(s *service) {
	if s.crashes.Idle() {
		return
	}
	if s.crashes.Review(e.now, e.confinable(s)) {
		e.applyConfinements(s)
	}
}

// confinable returns the ids of the agents to which kinds of a service may be confined,
// in order.
func (e *Entry) confinable(s *service) []string {
	var ids []string
	for id, a := range e.agents {
		if a.svc != nil && a.svc.root() == s && (a.listed || a.link == linkOpen) && !e.cfg.Evacuated(a.peer.Domain) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// applyConfinements opens and closes the lanes of a service, and moves agents and
// waiting submissions accordingly.
func (e *Entry) applyConfinements(s *service) {
	before := s.pool.Slots()
	confined := s.crashes.Confined()
	closed := maps.Clone(s.lanes)
	s.laneOf = make(map[string]*service)
	for _, c := range confined {
		lane := s.lanes[c.Kind]
		if lane == nil {
			lane = e.openLane(s, c)
		}
		delete(closed, c.Kind)
		for _, id := range c.Agents {
			s.laneOf[id] = lane
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(closed)) {
		e.closeLane(s, closed[kind])
	}
	e.moveAgents(s)
	e.moveSubmissions(s)
	if lost := before - s.pool.Slots(); lost > 0 {
		e.slotsLost(s, lost)
	}
	e.markActive(s)
}

func (e *Entry) openLane(s *service, c quarantine.Confinement) *service {
	lane := e.service(s.name + "/" + c.Kind)
	lane.name, lane.kind, lane.base = s.name, c.Kind, s
	if e.cfg != nil {
		e.configureService(lane, s.cfg)
	}
	if s.lanes == nil {
		s.lanes = make(map[string]*service)
	}
	s.lanes[c.Kind] = lane
	e.emit(Decision{Message: "kind confined", At: e.now, Incomplete: true, Inputs: []any{
		"service", s.name, "kind", c.Kind, "agents", c.Agents, "of", len(e.confinable(s)), "waiting", s.waiting(),
	}})
	return lane
}

func (e *Entry) closeLane(s, lane *service) {
	delete(s.lanes, lane.kind)
	delete(e.services, s.name+"/"+lane.kind)
	e.emit(Decision{Message: "kind released", At: e.now, Incomplete: true, Inputs: []any{
		"service", s.name, "kind", lane.kind, "waiting", lane.waiting(),
	}})
}

// moveAgents moves each agent of a service to the lane that it serves now.
func (e *Entry) moveAgents(s *service) {
	for _, id := range slices.Sorted(maps.Keys(e.agents)) {
		a := e.agents[id]
		if a.svc == nil || a.svc.root() != s || a.svc == s.homeOf(id) {
			continue
		}
		pooled := a.pooled || a.withheldFrom != nil
		if a.pooled {
			e.withdraw(a)
		}
		a.endWithholding()
		a.svc = s.homeOf(id)
		if pooled {
			e.addToPool(a)
		}
		e.markActive(a.svc)
	}
}

// moveSubmissions moves the submissions of a service to the lanes of their kinds.
func (e *Entry) moveSubmissions(s *service) {
	for _, id := range slices.SortedFunc(maps.Keys(e.subs), compareSubmissions) {
		sub := e.subs[id]
		if to := s.laneFor(sub.sub.Route); sub.svc.root() == s && sub.svc != to {
			sub.moveTo(to)
			e.markActive(to)
		}
	}
}

// moveTo moves a submission and its waiting tasks to another service. Tasks that were
// sent go on where they are.
func (s *submission) moveTo(to *service) {
	from := s.svc
	queued := s.job.Waiting() > 0 || slices.Contains(from.deferredJobs, &s.job)
	from.q.Remove(&s.job)
	from.removeDeferred(&s.job)
	from.inSystem -= len(s.tasks)
	to.inSystem += len(s.tasks)
	s.svc = to
	if queued {
		to.q.Add(&s.job, uint32(len(s.ready)))
	}
}

// isDown reports whether a lane has no upstream that could start a task.
func (s *service) isDown() bool { return s.base != nil && s.pool.Slots() == 0 }

// checkLane rejects a submission of a confined kind while all upstreams of its lane are
// down.
func (e *Entry) checkLane(svc *service) *refusal {
	if !svc.isDown() {
		return nil
	}
	return &refusal{task.ReasonQuarantined, reasonDetails[task.ReasonQuarantined], laneDownRetryAfter}
}

// refuseInDownLanes refuses what waits in active lanes whose upstreams are all down.
func (e *Entry) refuseInDownLanes() {
	// An answer may mark further services as active.
	for i := 0; i < len(e.active); i++ {
		if s := e.active[i]; s.isDown() && s.waiting() > 0 {
			for _, sub := range e.unstarted(s) {
				e.answerAbandoned(sub, task.ReasonQuarantined)
			}
		}
	}
}

// observeSurvivor notes that a task of a confined kind has ended in its lane without
// a crash.
func (a *agent) observeSurvivor(sub *submission) {
	if a.svc.base != nil && a.svc.kind == sub.sub.Route {
		a.svc.base.crashes.Survived(a.svc.kind)
	}
}
