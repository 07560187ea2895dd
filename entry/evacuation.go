package entry

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/fireflytray/fireflytray/fleet"
	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

const (
	// evacuatedRetryAfter is the retry delay of refusals because all failure domains
	// are evacuated, which nothing that an entry knows can estimate.
	evacuatedRetryAfter = 2 * time.Second
	// orderSkew is how much earlier than this entry an agent may learn of the
	// evacuation of its failure domain and report no slots.
	orderSkew = 5 * time.Second
	// maxRechecks bounds the waiting submissions that are checked again when slots
	// are lost. The others meet their own forecast checks.
	maxRechecks = 512
)

// withheldAgents is a service's view of its connected agents in evacuated failure
// domains. They keep their sessions, runs and job locks but are not in the pool, so
// that they get no task and their slots count nowhere.
type withheldAgents struct {
	count int
	// servedElsewhere is whether any other agent of the service is known, as of the
	// last check; nextCheck is when it is determined again.
	servedElsewhere bool
	nextCheck       time.Duration
}

// lostSlots are the slots of an agent that reported none at the time at.
type lostSlots struct {
	slots int
	at    time.Duration
}

// observeSlots records the loss of all slots that a report shows. An agent may learn
// of the evacuation of its failure domain before this entry does.
func (a *agent) observeSlots(now time.Duration, r *wire.Report) {
	if r.Slots == 0 && a.Slots > 0 {
		a.lostSlots = lostSlots{a.Slots, now}
	}
}

// slotsBefore returns the slots that an agent had before the evacuation of its
// failure domain.
func (a *agent) slotsBefore(now time.Duration) int {
	if a.Slots == 0 && a.lostSlots.slots > 0 && now-a.lostSlots.at <= orderSkew {
		return a.lostSlots.slots
	}
	return a.Slots
}

// withhold keeps a connected agent in an evacuated failure domain out of the pool of
// its service.
func (e *Entry) withhold(a *agent) {
	if a.withheldFrom == a.svc {
		return
	}
	if a.pooled {
		e.withdraw(a)
	}
	a.endWithholding()
	a.withheldFrom = a.svc
	a.svc.withheld.count++
}

// endWithholding no longer counts the agent as withheld.
func (a *agent) endWithholding() {
	if a.withheldFrom != nil {
		a.withheldFrom.withheld.count--
		a.withheldFrom = nil
	}
}

// applyEvacuations compares the orders of the new configuration with those of the
// previous one. Agents in evacuated failure domains leave placement; the others
// return to it, with the slots and credit that they report.
func (e *Entry) applyEvacuations(previous *fleet.Config) {
	for _, domain := range changedDomains(previous, e.cfg) {
		if e.cfg.Evacuated(domain) {
			e.evacuateDomain(domain)
		} else {
			e.takeBackDomain(domain)
		}
	}
}

// changedDomains returns the failure domains whose evacuation differs between two
// configurations, in order.
func changedDomains(previous, current *fleet.Config) []string {
	names := maps.Clone(current.Domains)
	if previous != nil {
		if names == nil {
			names = make(map[string]fleet.Domain)
		}
		maps.Copy(names, previous.Domains)
	}
	return slices.DeleteFunc(slices.Sorted(maps.Keys(names)), func(name string) bool {
		return previous.Evacuated(name) == current.Evacuated(name)
	})
}

// evacuateDomain withholds the agents of a failure domain. What the remaining slots
// can carry is known at once: the forecasts and limits of the affected services
// shrink by the share of the slots that they lose, and the submissions that wait are
// checked against them.
func (e *Entry) evacuateDomain(domain string) {
	lost := make(map[*service]int)
	agents := e.connectedIn(domain)
	for _, a := range agents {
		if a.pooled {
			lost[a.svc] += a.slotsBefore(e.now)
		}
		e.withhold(a)
	}
	e.emitEvacuation("failure domain evacuated", domain, len(agents))
	for _, name := range slices.Sorted(maps.Keys(e.services)) {
		s := e.services[name]
		s.withheld.nextCheck = 0
		if s.withheld.count > 0 {
			e.markActive(s)
		}
		if lost[s] > 0 {
			e.slotsLost(s, lost[s])
		}
	}
}

// slotsLost adjusts the forecast and the limit of a service to the loss of slots, and
// checks what waits against them.
func (e *Entry) slotsLost(s *service, lost int) {
	left := s.pool.Slots()
	share := float64(left) / float64(left+lost)
	s.forecast.scale(share)
	s.limit.SetBounds(e.limitBounds(s))
	s.limit.Scale(e.now, share)
	e.recheckWaiting(s)
}

// takeBackDomain returns the agents of a failure domain to placement. Forecasts and
// limits are not raised: the agents offer few slots at first, and how fast they place
// tasks then shows.
func (e *Entry) takeBackDomain(domain string) {
	agents := e.connectedIn(domain)
	for _, a := range agents {
		a.endWithholding()
		e.addToPool(a)
		e.markActive(a.svc)
	}
	e.emitEvacuation("failure domain taken back", domain, len(agents))
}

// connectedIn returns the connected agents of a failure domain that have a service,
// in order of their ids.
func (e *Entry) connectedIn(domain string) []*agent {
	var agents []*agent
	for _, id := range slices.Sorted(maps.Keys(e.agents)) {
		if a := e.agents[id]; a.peer.Domain == domain && a.link == linkOpen && a.svc != nil {
			agents = append(agents, a)
		}
	}
	return agents
}

// recheckWaiting refuses the waiting submissions of a service that can no longer
// start in time, the most urgent first, because each refusal shortens the wait of
// those behind it.
func (e *Entry) recheckWaiting(s *service) {
	var waiting []*submission
	for _, sub := range e.unstarted(s) {
		if sub.sub.Objective > 0 && sub.job.Waiting() > 0 {
			waiting = append(waiting, sub)
		}
	}
	ahead := make(map[*submission]float64, len(waiting))
	for _, sub := range waiting {
		ahead[sub] = s.q.WorkBefore(&sub.job)
	}
	sort.SliceStable(waiting, func(i, k int) bool { return ahead[waiting[i]] < ahead[waiting[k]] })
	for _, sub := range waiting[:min(len(waiting), maxRechecks)] {
		e.dropByForecast(sub)
	}
}

// unstarted returns the submissions of a service of which no task was sent, in order
// of their ids.
func (e *Entry) unstarted(s *service) []*submission {
	var subs []*submission
	for _, sub := range e.subs {
		if sub.svc == s && !sub.mayHaveStarted() && len(sub.ready) > 0 {
			subs = append(subs, sub)
		}
	}
	slices.SortFunc(subs, func(a, b *submission) int { return compareSubmissions(a.id, b.id) })
	return subs
}

func compareSubmissions(a, b task.SubmissionID) int { return bytes.Compare(a[:], b[:]) }

// allEvacuated reports whether every failure domain in which agents of the service
// are known is evacuated.
func (e *Entry) allEvacuated(s *service) bool {
	w := &s.withheld
	if w.count == 0 || s.pool.Len() > 0 {
		return false
	}
	if e.now >= w.nextCheck {
		w.servedElsewhere, w.nextCheck = e.hasServingAgent(s), e.now+reviewInterval
	}
	return !w.servedElsewhere
}

// hasServingAgent reports whether an agent of the service is known in a failure
// domain that is not evacuated. It may not be connected at the moment.
func (e *Entry) hasServingAgent(s *service) bool {
	for _, a := range e.agents {
		if a.svc == s && (a.listed || a.link == linkOpen) && !e.cfg.Evacuated(a.peer.Domain) {
			return true
		}
	}
	return false
}

// checkEvacuation rejects a submission that no agent outside of evacuated failure
// domains can run.
func (e *Entry) checkEvacuation(svc *service, sub *task.Submission) *refusal {
	if svc.withheld.count == 0 {
		return nil
	}
	if e.allEvacuated(svc) {
		return &refusal{task.ReasonEvacuated, fmt.Sprintf("all failure domains that serve %q are evacuated", svc.name), evacuatedRetryAfter}
	}
	for i := range sub.Tasks {
		need := sub.Tasks[i].Need
		if need == (task.Resources{}) || svc.pool.EverFits(need) {
			continue
		}
		if a := e.withheldAgentFor(svc, need); a != nil {
			return &refusal{task.ReasonEvacuated, fmt.Sprintf("only evacuated failure domains such as %q can run task %d", a.peer.Domain, i), evacuatedRetryAfter}
		}
	}
	return nil
}

// withheldAgentFor returns a withheld agent that could run a task when idle, or nil.
func (e *Entry) withheldAgentFor(s *service, need task.Resources) *agent {
	for _, id := range slices.Sorted(maps.Keys(e.agents)) {
		if a := e.agents[id]; a.withheldFrom == s && need.Fits(a.Largest) {
			return a
		}
	}
	return nil
}

// refuseEvacuated refuses the submissions of active services that nothing serves
// because all failure domains of the service are evacuated. A submission with tasks
// that have run keeps its results until its deadline, since the order may be
// withdrawn.
func (e *Entry) refuseEvacuated() {
	// An answer may mark further services as active.
	for i := 0; i < len(e.active); i++ {
		if s := e.active[i]; e.allEvacuated(s) {
			for _, sub := range e.unstarted(s) {
				e.answerAbandoned(sub, task.ReasonEvacuated)
			}
		}
	}
}

// emitEvacuation emits a change of the evacuation of a failure domain.
func (e *Entry) emitEvacuation(message, domain string, agents int) {
	slots, waiting := 0, 0
	for _, s := range e.services {
		slots += s.pool.Slots()
		waiting += s.waiting()
	}
	e.emit(Decision{Message: message, At: e.now, Inputs: []any{
		"domain", domain, "config", e.cfg.Index, "agents", agents, "slots-left", slots, "waiting", waiting,
	}})
}
