package agent

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflytray/fireflytray/wire"
)

const (
	// crashTTL is how long a crash is kept, for entries that connect later. Jobs and
	// the resubmissions of their callers end sooner.
	crashTTL = time.Minute
	// maxCrashes bounds the crashes kept, maxCrashedRuns the runs of one.
	maxCrashes     = 32
	maxCrashedRuns = 256
)

// crash is a crash of an upstream of this agent.
type crash struct {
	seq      uint64
	at       time.Duration
	instance string
	state    wire.CrashState
	// runs and possible are those of wire.Crash.
	runs, possible []wire.CrashedRun
	// timeUnknown and unlisted are those of wire.Crash.
	timeUnknown, unlisted bool
	// version is that of the last change.
	version uint64
}

// crashes are the recent crashes of the agent's upstreams, the oldest first. Each
// entry is told of all of them, so that what an entry knows of a task's crashes does
// not end with the entry that sent the task.
type crashes struct {
	list []*crash
	// seq numbers the crashes, version their changes.
	seq, version uint64
}

// news reports whether there are changes that an entry was not told of.
func (c *crashes) news(e *entry) bool { return c.version > e.crashVersion }

// untold returns the crashes that have changed since an entry was last told.
func (c *crashes) untold(now time.Duration, e *entry) []wire.Crash {
	if !c.news(e) {
		return nil
	}
	var out []wire.Crash
	for _, r := range c.list {
		if r.version > e.crashVersion && now < r.at+crashTTL {
			out = append(out, wire.Crash{Seq: r.seq, State: r.state, Age: now - r.at, Runs: r.runs, TimeUnknown: r.timeUnknown, Unlisted: r.unlisted, Possible: r.possible})
		}
	}
	e.crashVersion = c.version
	return out
}

// suspected returns the crash of an instance that is neither confirmed nor withdrawn,
// or nil.
func (c *crashes) suspected(instance string) *crash {
	for _, r := range c.list {
		if r.instance == instance && r.state == wire.CrashSuspected {
			return r
		}
	}
	return nil
}

func (c *crashes) add(r *crash) {
	c.seq++
	r.seq = c.seq
	c.list = append(c.list, r)
	if len(c.list) > maxCrashes {
		c.list = slices.Delete(c.list, 0, len(c.list)-maxCrashes)
	}
}

// suspectCrash records that the upstream does not answer. One that has announced its
// end leaves as planned.
func (s *State) suspectCrash(timeUnknown bool, unstarted, possible []RunID) {
	if !s.up.leaving && s.crashes.suspected(s.up.Instance) == nil {
		s.addCrash(wire.CrashSuspected, timeUnknown, unstarted, possible)
	}
}

// confirmCrash records that the process of an upstream has ended.
func (s *State) confirmCrash(instance string, unstarted, possible []RunID) {
	if r := s.crashes.suspected(instance); r != nil {
		s.setCrashState(r, wire.CrashConfirmed)
		return
	}
	known := slices.ContainsFunc(s.crashes.list, func(r *crash) bool {
		return r.instance == instance && r.state == wire.CrashConfirmed
	})
	if !known && instance == s.up.Instance {
		s.addCrash(wire.CrashConfirmed, true, unstarted, possible)
	}
}

// withdrawCrash records that the upstream answers again: the same process, so that it had
// not ended.
func (s *State) withdrawCrash() {
	for _, r := range s.crashes.list {
		if r.instance == s.up.Instance && r.state != wire.CrashWithdrawn {
			s.setCrashState(r, wire.CrashWithdrawn)
		}
	}
}

// addCrash records a crash, unless nothing ran that may have caused it.
func (s *State) addCrash(state wire.CrashState, timeUnknown bool, unstarted, possible []RunID) {
	runs := s.runsInProgress(func(id RunID) bool { return !slices.Contains(unstarted, id) })
	var lost []wire.CrashedRun
	if len(possible) > 0 {
		lost = s.runsInProgress(func(id RunID) bool { return slices.Contains(possible, id) })
	}
	if len(runs)+len(lost) == 0 {
		return
	}
	r := &crash{at: s.now, instance: s.up.Instance, runs: runs, possible: lost, timeUnknown: timeUnknown, unlisted: len(runs) < len(s.running)}
	s.crashes.add(r)
	s.setCrashState(r, state)
}

func (s *State) setCrashState(r *crash, state wire.CrashState) {
	s.crashes.version++
	r.state, r.version = state, s.crashes.version
	s.emit(UpstreamCrash{Instance: r.instance, State: state, Age: s.now - r.at, Runs: r.runs, Possible: r.possible})
}

// runsInProgress describes some of the runs at the upstream, those started last first.
func (s *State) runsInProgress(counts func(RunID) bool) []wire.CrashedRun {
	runs := make([]wire.CrashedRun, 0, len(s.running))
	for _, r := range s.running {
		if !counts(r.run) {
			continue
		}
		runs = append(runs, wire.CrashedRun{Task: s.ref(r).Task, Kind: r.kind, Ran: s.now - r.started})
	}
	slices.SortStableFunc(runs, func(a, b wire.CrashedRun) int { return cmp.Compare(a.Ran, b.Ran) })
	return runs[:min(len(runs), maxCrashedRuns)]
}
