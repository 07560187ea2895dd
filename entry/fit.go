package entry

import (
	"fmt"
	"maps"
	"slices"

	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// checkFit rejects a submission with a task that no listed worker could ever run.
func (e *Entry) checkFit(svc *service, sub *task.Submission) *refusal {
	if svc.pool.Len() == 0 {
		return &refusal{task.ReasonNoUpstream, fmt.Sprintf("no upstream of service %q is announced", svc.name), noUpstreamRetryAfter}
	}
	return e.neverFitting(svc, sub)
}

// neverFitting returns the refusal of a submission with a task that no listed worker
// could ever run, or nil.
func (e *Entry) neverFitting(svc *service, sub *task.Submission) *refusal {
	for i := range sub.Tasks {
		if need := sub.Tasks[i].Need; e.neverFits(svc, need) {
			return &refusal{reason: task.ReasonNeverFits, detail: fmt.Sprintf("task %d needs %d mCPU, %d MB and %d accelerators; no announced worker offers that", i, need.MilliCPU, need.MemoryMB, need.Accelerators)}
		}
	}
	return nil
}

// neverFits reports whether it is known that no agent of a service, connected or not,
// could ever run a task that needs the given resources.
func (e *Entry) neverFits(svc *service, need task.Resources) bool {
	if need == (task.Resources{}) || svc.pool.EverFits(need) || !e.capacitiesKnown() {
		return false
	}
	served := false
	for _, a := range e.agents {
		if a.svc == nil || a.svc.root() != svc.root() || !a.listed && a.link != linkOpen {
			continue
		}
		if need.Fits(a.Largest) {
			return false
		}
		served = true
	}
	return served
}

// capacitiesKnown reports whether all agents are listed and have said what their
// upstreams offer.
func (e *Entry) capacitiesKnown() bool { return e.listComplete && len(e.unidentified) == 0 }

// noteCapacity notes what the directory says of an agent's upstream. One that is not
// connected may have grown since its session.
func (e *Entry) noteCapacity(p wire.Peer, w *wire.Worker) {
	a := e.agents[p.ID]
	if w == nil || w.Service == "" {
		if a == nil || a.svc == nil {
			e.unidentified[p.ID] = p.Incarnation
		}
		return
	}
	delete(e.unidentified, p.ID)
	if a != nil && a.link != linkOpen && a.svc != nil && a.svc.name == w.Service {
		a.Largest = a.Largest.Max(w.Offered.Max(w.Largest))
	}
}

// refuseNeverFitting refuses the waiting submissions that were admitted while it was
// not known that they never fit.
func (e *Entry) refuseNeverFitting() {
	for _, name := range slices.Sorted(maps.Keys(e.services)) {
		svc := e.services[name]
		for _, s := range e.unstarted(svc) {
			r := e.neverFitting(svc, &s.sub)
			if r == nil {
				continue
			}
			e.answer(s, task.Answer{State: task.NotRun, Reason: r.reason, Detail: r.detail})
		}
	}
}
