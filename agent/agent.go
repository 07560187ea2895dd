package agent

import (
	"time"

	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// State is the agent's reducer: Step applies an event and returns effects.
type State struct {
	cfg  Config
	self wire.Peer

	entries   map[uint64]*entry // by incarnation
	entryList []*entry          // the same, in order of their first session
	sessions  map[SessionID]*entry

	tasks    map[task.ID]*record // tasks whose outcome is not acknowledged
	finished finishedIDs
	queue    queue
	running  []*record
	lastRun  RunID
	locks    locks
	room     room

	cancellations cancellations

	up upstream
	// meanNeed is a moving average of the resource needs of received tasks.
	meanNeed     meanNeed
	runTimeRatio runTimeRatio
	crashes      crashes
	health       health
	drain        drain
	evacuation   evacuation
	// warmUp limits the slots of a cold upstream, comeback those of a failure domain
	// whose evacuation has ended.
	warmUp, comeback ramp

	announced wire.Worker
	claimants []Claimant
	stats     Stats

	now         time.Duration
	out         []Effect
	nextTick    time.Duration
	hasNextTick bool
}

// Stats holds counters since the start of the agent.
type Stats struct {
	// Received and Started count tasks. Duplicates counts assignments and
	// updates that had already arrived or belong to no session.
	Received   uint64
	Started    uint64
	Duplicates uint64
	// Stale counts tasks refused because their start deadline had passed, Busy
	// those refused because the queue was full.
	Stale uint64
	Busy  uint64
	// Evacuated counts tasks refused because the failure domain is evacuated.
	Evacuated   uint64
	Suspensions uint64
	// CreditReports counts the Reports that were sent only to grant credit.
	Reports       uint64
	CreditReports uint64
}

// New returns the state of an agent without an upstream and without sessions.
func New(me wire.Peer, cfg Config) *State {
	cfg = cfg.withDefaults()
	return &State{
		cfg:      cfg,
		self:     me,
		entries:  make(map[uint64]*entry),
		sessions: make(map[SessionID]*entry),
		tasks:    make(map[task.ID]*record),
		locks:    locks{byRef: make(map[string]*jobLock)},
		finished: newFinishedIDs(cfg.MaxFinishedIDs),

		cancellations: cancellations{byRef: make(map[string]*cancellation)},

		health: health{threshold: cfg.SuspendAfter, firstSuspension: cfg.SuspendFirst, maxSuspension: cfg.SuspendMax},
	}
}

// Stats returns a copy of the counters.
func (s *State) Stats() Stats { return s.stats }

// Load returns the numbers of running and queued tasks.
func (s *State) Load() (running, queued int) { return len(s.running), s.queue.len() }

// Step applies one event to the state and appends the resulting effects to out.
// Assignments in the event are queued or refused; queued tasks start afterwards,
// in dispatch.
func (s *State) Step(now time.Duration, ev Event, out []Effect) []Effect {
	s.now, s.out = max(s.now, now), out
	s.startLocks()
	s.extendAfterFreeze()
	s.expire()
	s.expireLocks()
	switch ev := ev.(type) {
	case SessionOpened:
		s.openSession(ev.Session, ev.Hello)
	case UpdateReceived:
		s.handleUpdate(ev.Session, ev.Update)
	case SessionClosed:
		s.sessionClosed(ev.Session)
	case Announced:
		s.handleAnnouncement(ev.Upstream)
	case Left:
		s.upstreamLeaving(ev.Instance)
	case RunEnded:
		s.runEnded(ev)
	case RunChecked:
		s.runChecked(ev)
	case Probed:
		s.probed(ev)
	case Silent:
		if ev.Instance == s.up.Instance {
			s.suspectCrash(!ev.Failed, ev.Unstarted, ev.Possible)
			s.markUnreachable()
		}
	case Crashed:
		s.confirmCrash(ev.Instance, ev.Unstarted, ev.Possible)
	case Stalled:
		s.stalled(ev)
	case Usage:
		s.up.applyUsage(ev.InUse, s.now-ev.Age, s.running)
	case Drain:
		s.startDrain()
	case ConfigChanged:
		s.configChanged(ev)
	case Tick:
	}
	s.settleCancellations()
	s.dispatch()
	s.announceWorker()
	s.flush()
	s.finishDrain()
	s.nextTick, s.hasNextTick = s.earliestDeadline()
	out, s.out = s.out, nil
	return out
}

func (s *State) emit(eff Effect) { s.out = append(s.out, eff) }

// worker returns the description of the upstream that is sent to entries and
// control hosts.
func (s *State) worker() wire.Worker {
	u := &s.up
	return wire.Worker{
		Service:     u.Service,
		Slots:       uint32(s.slots()),
		Connections: u.Connections,
		Offered:     u.Offered,
		Largest:     u.largest,
		Rack:        u.Rack,
		Draining:    u.leaving || s.drain.active,
	}
}

// slots returns how many tasks may currently run concurrently.
func (s *State) slots() int {
	switch {
	case s.drain.active || s.evacuation.active || !s.up.acceptsTasks() || s.health.suspended:
		return 0
	case s.health.probation:
		return 1
	}
	return s.rampedSlots(s.up.slots(s.meanNeed))
}

// freeSlots returns the number of slots minus running and queued tasks. It is
// negative when tasks queue beyond the slots. During a busy pause no slot counts
// as free.
func (s *State) freeSlots() int {
	if s.paused() {
		return -s.queue.len()
	}
	return s.slots() - len(s.running) - s.queue.len()
}

// paused reports whether task starts are paused because the upstream rejected a
// task as busy less than Config.BusyPause ago.
func (s *State) paused() bool { return s.now < s.up.busyUntil }

// spareCapacity returns how many more tasks the agent may accept: the free slots
// plus the unused part of the queue.
func (s *State) spareCapacity() int {
	slots := s.slots()
	if slots == 0 {
		return 0
	}
	return s.freeSlots() + s.queueCapacity(slots)
}

// queueCapacity returns how many tasks may be queued beyond the slots.
func (s *State) queueCapacity(slots int) int {
	if s.health.probation {
		return 0
	}
	return max(s.cfg.QueueMin, int(s.cfg.QueueShare*float64(slots)))
}

// announceWorker sends the description of the worker to the control hosts if it
// has changed.
func (s *State) announceWorker() {
	w := s.worker()
	if !slotsChanged(s.announced.Slots, w.Slots) {
		w.Slots = s.announced.Slots
	}
	if w != s.announced {
		s.announced = w
		s.emit(AnnounceWorker{Worker: w, Leaving: s.drain.active})
	}
}
