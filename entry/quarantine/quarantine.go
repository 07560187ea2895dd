// Package quarantine decides, from the crashes of upstreams that the agents of a
// service report, which tasks crash upstreams, which kinds of tasks do, and on which
// agents such a kind may run. It reads no clock; the caller passes the time.
//
// It answers two load patterns. A task that crashes each upstream that starts it must
// not be started for as long as its job lives. A kind of which many tasks do so would
// take down all upstreams, however seldom each task is started, because an upstream
// needs seconds to return. Confined to a few agents, it leaves the others to the
// other kinds.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflytray/fireflytray/wire"
)

// Config tunes a Registry. Zero fields take the defaults.
type Config struct {
	// Share is the share of a service's agents to which a kind is confined; zero
	// confines none.
	Share float64
	// Onset is the time from its start within which a task that crashes its upstream
	// is expected to do so.
	Onset time.Duration
}

// DefaultOnset is the default of Config.Onset.
const DefaultOnset = 25 * time.Millisecond

const (
	// retention is how long a crash counts. Jobs and the resubmissions of their
	// callers end sooner.
	retention = time.Minute
	// crashesForProof is the number of crashes under a task after which it may be
	// given up.
	crashesForProof = 2
	// lostStartsForProof is that number if the starts of the task got no answer, so that
	// the upstream may have crashed before.
	lostStartsForProof = 3
	// resolveWithin is how long a suspected crash keeps a task that it may show to be
	// guilty from starting. Upstreams return from a crash within seconds.
	resolveWithin = 4 * time.Second
)

// Standing is what the crashes say about a task.
type Standing uint8

const (
	// Clear means that nothing speaks against the task.
	Clear Standing = iota
	// Suspected means that an upstream crashed shortly after it had started the task.
	// No other task may start around its next start, so that a further crash tells
	// which task caused it.
	Suspected
	// Recurring means that several upstreams crashed while they ran the task. It may
	// only run alone.
	Recurring
	// Guilty means that the task crashes its upstreams. It must not start again.
	Guilty
)

var standingNames = [...]string{"clear", "suspected", "recurring", "guilty"}

// String returns the standing as it appears in logs.
func (s Standing) String() string { return standingNames[s] }

// crashID identifies a crash across the reports about it.
type crashID struct {
	agent       string
	incarnation uint64
	seq         uint64
}

// crash is a crash that an agent has reported.
type crash struct {
	id    crashID
	at    time.Duration
	state wire.CrashState
	// fresh are the kinds of the tasks started within the onset before the crash.
	fresh []string
	// lostStarts is set if nothing is known to have run.
	lostStarts bool
}

func (c *crash) withdrawn() bool { return c.state == wire.CrashWithdrawn }

// hit is a crash of an upstream that was running a task.
type hit struct {
	crash *crash
	// fresh is set if the task had started within the onset, sole if no other had,
	// alone if nothing else ran or may have.
	fresh, sole, alone bool
	// lost is set if the start of the task got no answer.
	lost bool
}

// Registry holds what is known of the crashes of one service's upstreams.
type Registry struct {
	cfg     Config
	crashes []*crash // by the time of the crash
	byID    map[crashID]*crash
	tasks   map[string][]hit
	kinds   map[string]*confinement
}

// New returns an empty registry.
func New(cfg Config) *Registry {
	if cfg.Onset == 0 {
		cfg.Onset = DefaultOnset
	}
	return &Registry{
		cfg: cfg, byID: make(map[crashID]*crash), tasks: make(map[string][]hit), kinds: make(map[string]*confinement),
	}
}

// Onset returns the time around the start of a suspected task within which no other
// task may start.
func (r *Registry) Onset() time.Duration { return r.cfg.Onset }

// Idle reports whether nothing is known that may change what Review decided.
func (r *Registry) Idle() bool { return len(r.crashes) == 0 && len(r.kinds) == 0 }

// Report records a crash, or what has become known of it, and returns the tasks that
// it shows to be guilty.
func (r *Registry) Report(now time.Duration, agent string, incarnation uint64, c *wire.Crash) (guilty []string) {
	id := crashID{agent, incarnation, c.Seq}
	if known := r.byID[id]; known != nil {
		confirmed := known.state == wire.CrashSuspected && c.State == wire.CrashConfirmed
		known.state = c.State
		if confirmed {
			return r.guiltyOf(now, c)
		}
		return nil
	}
	if c.State == wire.CrashWithdrawn || c.Age >= retention {
		return nil
	}
	r.forget(now)
	added := &crash{id: id, at: now - c.Age, state: c.State, lostStarts: len(c.Runs) == 0}
	r.byID[id] = added
	i, _ := slices.BinarySearchFunc(r.crashes, added.at, func(c *crash, at time.Duration) int { return cmp.Compare(c.at, at) })
	r.crashes = slices.Insert(r.crashes, i, added)
	r.addHits(added, c)
	return r.guiltyOf(now, c)
}

// guiltyOf returns the guilty tasks among those that may have caused a crash.
func (r *Registry) guiltyOf(now time.Duration, c *wire.Crash) (guilty []string) {
	for _, run := range slices.Concat(c.Runs, c.Possible) {
		if r.Standing(run.Task) != Guilty {
			continue
		}
		guilty = append(guilty, run.Task)
		if run.Kind != "" {
			r.noteGuiltyTask(now, run.Kind)
		}
	}
	return guilty
}

func (r *Registry) addHits(c *crash, news *wire.Crash) {
	isFresh := func(run *wire.CrashedRun) bool { return !news.TimeUnknown && run.Ran <= r.cfg.Onset }
	fresh := 0
	for i := range news.Runs {
		if isFresh(&news.Runs[i]) {
			fresh++
		}
	}
	for i := range news.Runs {
		run := &news.Runs[i]
		h := hit{crash: c, fresh: isFresh(run), alone: len(news.Runs) == 1 && !news.Unlisted}
		h.sole = h.fresh && fresh == 1 && !news.Unlisted
		r.addHit(run.Task, h)
		if h.fresh && run.Kind != "" && !slices.Contains(c.fresh, run.Kind) {
			c.fresh = append(c.fresh, run.Kind)
		}
	}
	for i := range news.Possible {
		onlyOne := len(news.Possible) == 1 && len(news.Runs) == 0
		r.addHit(news.Possible[i].Task, hit{crash: c, fresh: true, lost: true, alone: onlyOne})
	}
}

// addHit records a hit. Reports of different agents arrive in any order.
func (r *Registry) addHit(name string, h hit) {
	hits := append(r.tasks[name], h)
	slices.SortStableFunc(hits, func(a, b hit) int { return cmp.Compare(a.crash.at, b.crash.at) })
	r.tasks[name] = hits
}

// forget drops the crashes that no longer count.
func (r *Registry) forget(now time.Duration) {
	old := 0
	for old < len(r.crashes) && now-r.crashes[old].at >= retention {
		delete(r.byID, r.crashes[old].id)
		old++
	}
	if old == 0 {
		return
	}
	r.crashes = slices.Delete(r.crashes, 0, old)
	for name, hits := range r.tasks {
		hits = slices.DeleteFunc(hits, func(h hit) bool { return now-h.crash.at >= retention })
		if len(hits) == 0 {
			delete(r.tasks, name)
			continue
		}
		r.tasks[name] = hits
	}
}

// Standing returns what the crashes say about a task.
func (r *Registry) Standing(name string) Standing {
	all, fresh := 0, 0
	for _, h := range r.tasks[name] {
		if h.crash.withdrawn() {
			continue
		}
		all++
		if h.fresh {
			fresh++
		}
	}
	switch {
	case r.proves(name, func(c *crash) bool { return c.state == wire.CrashConfirmed }):
		return Guilty
	case all >= crashesForProof:
		return Recurring
	case fresh > 0:
		return Suspected
	}
	return Clear
}

// proves reports whether those crashes that count show a task to be guilty.
func (r *Registry) proves(name string, counts func(*crash) bool) bool {
	all, fresh, withLost := 0, 0, 0
	for _, h := range r.tasks[name] {
		if !counts(h.crash) {
			continue
		}
		withLost++
		if h.alone && withLost >= lostStartsForProof {
			return true
		}
		if h.lost {
			continue
		}
		all++
		if h.fresh {
			fresh++
		}
		// Of two crashes, the later one must point at this task and no other.
		if h.alone && all >= crashesForProof || h.sole && fresh >= crashesForProof {
			return true
		}
	}
	return false
}

// PendingUntil returns until when a task must not start: it would be guilty if crashes that
// are only suspected were confirmed, and they are soon confirmed or withdrawn. pending is
// false if that is not so.
func (r *Registry) PendingUntil(name string) (until time.Duration, pending bool) {
	if r.Standing(name) == Guilty || !r.proves(name, func(c *crash) bool { return !c.withdrawn() }) {
		return 0, false
	}
	for _, h := range r.tasks[name] {
		if h.crash.state == wire.CrashSuspected {
			until = max(until, h.crash.at+resolveWithin)
		}
	}
	return until, true
}

// Crashes returns the number of crashes while upstreams ran a task.
func (r *Registry) Crashes(name string) int {
	n := 0
	for _, h := range r.tasks[name] {
		if !h.crash.withdrawn() {
			n++
		}
	}
	return n
}
