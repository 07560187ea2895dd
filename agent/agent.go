package agent

import (
	"time"

	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// State is the agent's reducer.
type State struct {
	cfg  Config
	self wire.Peer

	entries  map[uint64]*entry
	order    []*entry
	sessions map[SessionID]*entry

	tasks    map[task.ID]*record
	finished finishedIDs
	queue    queue
	running  []*record
	lastRun  RunID

	up upstream
	// meanNeed is a running mean of what tasks need.
	meanNeed meanNeed
	pace     pace
	health   health
	drain    drain

	announced wire.Worker
	claimants []Claimant
	stats     Stats

	now         time.Duration
	out         []Effect
	nextTick    time.Duration
	hasNextTick bool
}

// Stats counts what the agent did since its start.
type Stats struct {
	Received      uint64
	Started       uint64
	Duplicates    uint64
	Stale         uint64
	Busy          uint64
	Suspensions   uint64
	Reports       uint64
	CreditReports uint64
}

// New returns the state of an agent that has neither upstream nor sessions.
func New(me wire.Peer, cfg Config) *State {
	cfg = cfg.withDefaults()
	return &State{
		cfg:      cfg,
		self:     me,
		entries:  make(map[uint64]*entry),
		sessions: make(map[SessionID]*entry),
		tasks:    make(map[task.ID]*record),
		finished: newFinishedIDs(cfg.MaxFinishedIDs),
		health:   health{threshold: cfg.SuspendAfter, firstSuspension: cfg.SuspendFirst, maxSuspension: cfg.SuspendMax},
	}
}

// Stats returns the counts so far.
func (s *State) Stats() Stats { return s.stats }

// Load returns how many tasks run and wait.
func (s *State) Load() (running, queued int) { return len(s.running), s.queue.len() }

// Step changes the state by one event and appends the effects to out.
func (s *State) Step(now time.Duration, ev Event, out []Effect) []Effect {
	s.now, s.out = max(s.now, now), out
	s.extendAfterStall()
	s.expire()
	switch ev := ev.(type) {
	case SessionOpened:
		s.open(ev.Session, ev.Hello)
	case UpdateReceived:
		s.update(ev.Session, ev.Update)
	case SessionClosed:
		s.closed(ev.Session)
	case Announced:
		s.announce(ev.Upstream)
	case Left:
		s.leave(ev.Instance)
	case RunEnded:
		s.runEnded(ev)
	case RunChecked:
		s.runChecked(ev)
	case Probed:
		s.probed(ev)
	case Silent:
		if ev.Instance == s.up.Instance {
			s.markUnreachable()
		}
	case Stalled:
		s.stalled(ev)
	case Usage:
		s.up.usage(ev.InUse, s.now-ev.Age, s.running)
	case Drain:
		s.startDrain()
	case Tick:
	}
	s.dispatch()
	s.announceWorker()
	s.flush()
	s.finishDrain()
	s.nextTick, s.hasNextTick = s.earliestDeadline()
	out, s.out = s.out, nil
	return out
}

func (s *State) emit(eff Effect) { s.out = append(s.out, eff) }

// worker describes the upstream as entries and control hosts see it.
func (s *State) worker() wire.Worker {
	u := &s.up
	return wire.Worker{
		Service:     u.Service,
		Slots:       uint32(s.slots()),
		Connections: u.Connections,
		Offered:     u.Offered,
		Rack:        u.Rack,
		Draining:    u.leaving || s.drain.active,
	}
}

// slots returns how many tasks may run at a time now.
func (s *State) slots() int {
	switch {
	case s.drain.active || !s.up.open() || s.health.suspended:
		return 0
	case s.health.probation:
		return 1
	}
	if s.up.Leased {
		return s.up.estimateSlots(s.meanNeed)
	}
	return int(min(s.up.Slots, s.up.Connections))
}

// free returns how many slots neither run nor are awaited by queued tasks.
func (s *State) free() int {
	if s.paused() {
		return -s.queue.len()
	}
	return s.slots() - len(s.running) - s.queue.len()
}

// paused reports whether the upstream has just refused a task as busy.
func (s *State) paused() bool { return s.now < s.up.busyUntil }

// spareCapacity returns how many more tasks may be held: the free slots and the rest of
// the queue.
func (s *State) spareCapacity() int {
	slots := s.slots()
	if slots == 0 {
		return 0
	}
	return s.free() + s.queueLen(slots)
}

func (s *State) queueLen(slots int) int {
	if s.health.probation {
		return 0
	}
	return max(s.cfg.QueueMin, int(s.cfg.QueueShare*float64(slots)))
}

func (s *State) announceWorker() {
	if w := s.worker(); w != s.announced {
		s.announced = w
		s.emit(AnnounceWorker{Worker: w, Leaving: s.drain.active})
	}
}
