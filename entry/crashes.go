package entry

import (
	"maps"
	"slices"

	"github.com/fireflytray/fireflytray/entry/quarantine"
	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// handleCrashes applies an agent's news of the crashes of its upstreams. A task that
// they show to be guilty fails its submission at once.
func (e *Entry) handleCrashes(a *agent, news []wire.Crash) {
	if len(news) == 0 || a.svc == nil {
		return
	}
	s := a.svc.root()
	for i := range news {
		for _, name := range s.crashes.Report(e.now, a.ID, a.incarnation, &news[i]) {
			e.stats.GuiltyTasks++
			e.emit(Decision{Ref: name, Message: "task crashes upstreams", At: e.now, Incomplete: true, Inputs: []any{
				"crashes", s.crashes.Crashes(name), "agent", a.ID, "age", news[i].Age, "state", news[i].State,
			}})
			e.failGuilty(a, name)
		}
	}
	e.reviewConfinements(s)
	// Tasks may have waited for the news.
	e.markActive(s)
	for _, lane := range s.lanes {
		e.markActive(lane)
	}
}

// failGuilty answers the submission of a guilty task that is at an agent, or that waits
// for its next start.
func (e *Entry) failGuilty(a *agent, name string) {
	for _, id := range a.sentIDs() {
		rec := a.sent[id]
		if s := rec.sub; !s.answered && s.sub.Tasks[rec.index].Name == name {
			e.answerFailed(s, crashOutcome(a.ID))
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(e.subs), compareSubmissions) {
		s := e.subs[id]
		waits := slices.ContainsFunc(s.ready, func(i uint32) bool { return s.sub.Tasks[i].Name == name })
		if waits && !s.answered {
			e.answerFailed(s, crashOutcome(a.ID))
		}
	}
}

// crashOutcome is the outcome of a guilty task; where is the agent whose upstream it
// crashed last, if known.
func crashOutcome(where string) task.Outcome {
	return task.Outcome{State: task.Failed, Reason: task.ReasonCrashesUpstreams, Where: where}
}

// standing returns what crashes of upstreams say about a task.
func (e *Entry) standing(s *submission, i uint32) quarantine.Standing {
	name := s.sub.Tasks[i].Name
	if name == "" {
		return quarantine.Clear
	}
	return s.svc.root().crashes.Standing(name)
}

// dropGuilty answers a submission whose next task is guilty, as when its caller sends
// it again to an entry that only knows the crashes.
func (e *Entry) dropGuilty(s *submission, i uint32) bool {
	if e.standing(s, i) != quarantine.Guilty {
		return false
	}
	e.answerFailed(s, crashOutcome(""))
	return true
}

// awaitVerdict defers a submission whose next task may be found guilty any moment.
func (e *Entry) awaitVerdict(s *submission, i uint32) bool {
	name := s.sub.Tasks[i].Name
	if name == "" {
		return false
	}
	until, pending := s.svc.root().crashes.PendingUntil(name)
	if !pending || e.now >= until {
		return false
	}
	e.trace(s, "start awaits the verdict on crashes", "task", i, "until", until-e.now)
	s.svc.deferJob(&s.job)
	e.arm(timer{at: until, kind: timerHold, svc: s.svc})
	return true
}

// checkGuilt rejects a submission with a task that crashes upstreams.
func (e *Entry) checkGuilt(svc *service, sub *task.Submission) *refusal {
	known := svc.root().crashes
	for i := range sub.Tasks {
		if name := sub.Tasks[i].Name; name != "" && known.Standing(name) == quarantine.Guilty {
			return &refusal{reason: task.ReasonCrashesUpstreams, detail: reasonDetails[task.ReasonCrashesUpstreams] + ": " + name}
		}
	}
	return nil
}

// isolate keeps an assignment apart from other tasks as far as crashes require.
func (e *Entry) isolate(s *submission, i uint32, a *wire.Assignment) {
	standing := e.standing(s, i)
	switch standing {
	case quarantine.Clear:
		return
	case quarantine.Recurring:
		a.Alone = true
	}
	known := s.svc.root().crashes
	a.ApartFor = known.Onset()
	e.stats.Isolated++
	e.trace(s, "kept apart", "task", i, "standing", standing, "crashes", known.Crashes(a.Spec.Name), "apart-for", a.ApartFor, "alone", a.Alone)
}
