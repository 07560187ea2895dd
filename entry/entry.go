// Package entry implements the state machine of an entry host. It admits
// submissions, orders their waiting tasks across jobs and teams, places each
// task on an agent, collects the outcomes and answers each submission exactly
// once.
//
// An Entry consumes events through Step and returns effects as data. It uses no
// clock, socket, file or goroutine, and its random choices are seeded.
//
// A task is sent again, as a new attempt, only after its agent has reported
// that the attempt did not run; a missing report never counts as such. The
// exceptions are requests that the caller marked idempotent, within the retry
// budget, and jobs submitted with Restart.
package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/fireflytray/fireflytray/entry/placement"
	"github.com/fireflytray/fireflytray/entry/quarantine"
	"github.com/fireflytray/fireflytray/entry/queue"
	"github.com/fireflytray/fireflytray/fleet"
	"github.com/fireflytray/fireflytray/limit"
	"github.com/fireflytray/fireflytray/quota"
	"github.com/fireflytray/fireflytray/retry"
	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// Options are the settings of an entry.
type Options struct {
	Self   wire.Peer
	Policy placement.Policy
	Order  queue.Order
	Seed   uint64
	Config *fleet.Config
	// DemandFanout is the number of agents that are notified of waiting tasks
	// when no agent has credit, in addition to agents that get an update
	// anyway; zero means DefaultDemandFanout. Its settings key is poke.
	DemandFanout int
	// Speeds makes placement heed the speeds of upstreams where they decide
	// whether jobs meet their objectives. It needs the policy Credits. Its settings
	// key is speeds.
	Speeds bool
	// Trace emits decisions about submissions as effects.
	Trace bool
	// KeepaliveInterval is the time after which an agent that holds tasks is sent
	// an update even if there is nothing else to send; zero disables keepalives.
	// Its settings key is pulse.
	KeepaliveInterval time.Duration
	// AgentTimeout is how long an agent may be without a session before its
	// tasks end with an unknown outcome; zero means DefaultAgentTimeout. Its
	// settings key is gone-after.
	AgentTimeout time.Duration
	// Dials bounds the dials of agents in flight, so that the first sessions open
	// soon on a small host; zero means no bound. Its settings key is dials.
	Dials int
	// MaxSubmissions and MaxBytes bound the submissions in flight, and the size of their
	// payloads and of the answers that wait for the rest of their job; zero means no
	// bound. Their settings keys are max-submissions and max-bytes.
	MaxSubmissions, MaxBytes int
	// ShedAbove is the median time of agents to an answer above which this entry
	// counts as short of processor or link. It then refuses submissions on arrival
	// that can't start in time. Zero disables this. Its settings key is shed-above.
	ShedAbove time.Duration
	// Quarantine tunes how tasks and kinds that crash upstreams are found, and on how
	// many agents such a kind may run. Its settings are in the section crashes.
	Quarantine quarantine.Config
}

// DefaultAgentTimeout is the default of Options.AgentTimeout.
const DefaultAgentTimeout = 4 * time.Second

// DefaultDemandFanout is the default of Options.DemandFanout.
const DefaultDemandFanout = 3

const (
	// demandInterval is the time between demand announcements while the entry
	// is starved.
	demandInterval = 100 * time.Millisecond
	// demandRankRatio is the ratio of the current to the announced rank below
	// which agents are notified again. Ranks fall gradually with age, and at
	// once when a job of higher priority arrives.
	demandRankRatio = 0.7
	// ackDelay is how long an acknowledgement waits to be sent along with
	// another update.
	ackDelay = 30 * time.Second
	// dialTimeout bounds the time from the dial to the welcome.
	dialTimeout = 1500 * time.Millisecond
	// minRedialDelay is the first delay of the backoff between dials of an
	// agent.
	minRedialDelay = 200 * time.Millisecond
	// maxRedialDelay is the longest delay of the backoff between dials of an
	// agent.
	maxRedialDelay = 3 * time.Second
	// reviewInterval is the time between checks for slow agents.
	reviewInterval = 250 * time.Millisecond
	// retryReserve is the number of retries that a service may make beyond its
	// share of successes.
	retryReserve = 5
	// defaultMaxWaiting bounds the waiting tasks of a service if its
	// configuration does not.
	defaultMaxWaiting = 100_000
	// returnMargin is subtracted from the time to start a task; it leaves time
	// for the agent's report to return.
	returnMargin = 5 * time.Millisecond
)

// Entry is the state of an entry host. It is not safe for concurrent use.
type Entry struct {
	opts     Options
	now      time.Duration
	out      []Effect
	cfg      *fleet.Config
	cfgSince time.Duration // time at which cfg took effect
	// reviewedAt is when agents were last checked for slowness. resumedAt is
	// when the last pause of this process was detected.
	reviewedAt, resumedAt time.Duration
	services              map[string]*service
	agents                map[string]*agent
	entries               map[string]bool // entries in the directory by id, usually including this one
	// listComplete is set once a list from the directory held all live agents;
	// unidentified holds the incarnations of listed agents that have named no service yet.
	listComplete bool
	// listed is set once there was a list, at listedSince.
	listed       bool
	listedSince  time.Duration
	unidentified map[string]uint64
	subs         map[task.SubmissionID]*submission
	// bytes is the total of submission.bytes of subs.
	bytes  int
	claims map[uint64]*submission
	// byRef holds the last submission of each job with a caller's id, until it is
	// over; lingering those that are answered and may have runs.
	byRef     map[string]*submission
	lingering map[task.SubmissionID]*submission
	// cancellations holds those that are passed on, by request.
	cancellations map[uint64]*cancellation
	// lockAgents lists the agents that may keep job locks; changedLockAgents those
	// that were added, removed, connected or lost in this step. The result of
	// lockAgentsOf is kept in members.
	lockAgents        []*agent
	changedLockAgents []*agent
	members           []*agent
	// runsEndWithin is the longest of the agents' bounds; zero if none keeps locks.
	runsEndWithin time.Duration
	// orphansEndWithin is the longest of the agents' bounds on the time from the end of an
	// entry to the end of its runs.
	orphansEndWithin time.Duration
	quotas           map[string]*quota.Bucket // by team
	lastRequest      uint64
	lastSession      uint64 // number of dials so far, over all agents
	dials            dialQueue
	timers           timers
	dirty            []*agent // agents to flush at the end of the step
	// credited lists the agents whose reports in this step gave credit for waiting tasks.
	credited   []*agent
	active     []*service
	draining   bool
	drained    bool
	turnaround turnaround
	stats      Stats
}

// service is the state of one service.
type service struct {
	name string
	cfg  fleet.Service
	q    *queue.Queue
	pool *placement.Pool
	// deferredJobs holds jobs whose next task fits no available agent. They are
	// out of the queue until the next dispatch.
	deferredJobs []*queue.Job
	// inTime and spread are used with Options.Speeds.
	inTime placement.InTime
	spread placement.Spread
	// held lists, during a dispatch, the jobs that wait for a faster upstream.
	held           []*queue.Job
	holdArmed      bool // a timer for the next dispatch with held jobs is set
	active         bool // marked for dispatch at the end of the step
	demandNotified bool // waiting tasks have been announced to agents
	// notifiedRank is the rank of the first waiting task at the last
	// announcement.
	notifiedRank float64
	// runTimeRatio covers the tasks of all agents of the service.
	runTimeRatio runTimeRatio
	// forecast estimates how long a new job would wait.
	forecast forecast
	limit    *limit.Limiter
	retries  *retry.Budget
	// inSystem counts the tasks that are admitted and whose submissions are not
	// answered.
	inSystem int
	withheld withheldAgents
	// crashes holds the crashes of the service's upstreams, lanes those of its kinds
	// that are confined, and laneOf the lanes of their agents.
	crashes *quarantine.Registry
	lanes   map[string]*service
	laneOf  map[string]*service
	// base is the service of which this is the lane for a kind; nil for others.
	base *service
	kind string
}

// New returns an entry with the given options.
func New(o Options) *Entry {
	e := &Entry{
		opts:     o,
		services: make(map[string]*service),
		agents:   make(map[string]*agent),
		entries:  make(map[string]bool),
		subs:     make(map[task.SubmissionID]*submission),
		claims:   make(map[uint64]*submission),

		unidentified: make(map[string]uint64),
		byRef:        make(map[string]*submission),
		lingering:    make(map[task.SubmissionID]*submission),

		cancellations: make(map[uint64]*cancellation),

		quotas: make(map[string]*quota.Bucket),
	}
	if e.opts.Policy == nil {
		e.opts.Policy = placement.Credits{}
	}
	if e.opts.DemandFanout == 0 {
		e.opts.DemandFanout = DefaultDemandFanout
	}
	if e.opts.AgentTimeout == 0 {
		e.opts.AgentTimeout = DefaultAgentTimeout
	}
	e.dials = newDialQueue(&e.opts)
	e.configure(o.Config)
	e.arm(timer{at: reviewInterval, kind: timerReview})
	if o.KeepaliveInterval > 0 {
		e.arm(timer{at: o.KeepaliveInterval, kind: timerKeepalive})
	}
	return e
}

// Step handles one event and returns out with the resulting effects appended.
// Waiting tasks are placed after the event and the due timers are handled, and
// sent at the end of the step.
func (e *Entry) Step(now time.Duration, ev Event, out []Effect) []Effect {
	e.now = max(e.now, now)
	e.out = out
	switch ev := ev.(type) {
	case Submit:
		e.submit(ev)
	case Cancel:
		e.cancel(ev)
	case CancelJob:
		e.cancelJob(ev)
	case DirectoryChanged:
		e.applyDirectory(ev.Directory)
	case ConfigChanged:
		e.configure(ev.Config)
	case Connected:
		e.connected(ev)
	case Received:
		e.received(ev)
	case Disconnected:
		e.disconnected(ev)
	case ClaimReplied:
		e.claimReplied(ev.Reply)
	case Drain:
		e.draining = true
	case Tick:
	}
	e.advanceLocks()
	e.fireTimers()
	e.dispatchActive()
	e.declineCredit()
	e.startDials()
	e.flush()
	e.checkDrained()
	e.dropStaleTimers()
	out, e.out = e.out, nil
	return out
}

func (e *Entry) emit(eff Effect) { e.out = append(e.out, eff) }

// configure applies a configuration; one with a lower index is ignored.
func (e *Entry) configure(cfg *fleet.Config) {
	if cfg == nil || e.cfg != nil && cfg.Index < e.cfg.Index {
		return
	}
	if e.cfg == nil || cfg.Index > e.cfg.Index {
		e.cfgSince = e.now
	}
	previous := e.cfg
	e.cfg = cfg
	for name, sc := range cfg.Services {
		s := e.service(name)
		e.configureService(s, sc)
		for _, lane := range s.lanes {
			e.configureService(lane, sc)
		}
	}
	e.configureTeams()
	e.applyEvacuations(previous)
}

func (e *Entry) configureService(s *service, sc fleet.Service) {
	s.cfg = sc
	s.retries.SetLimits(e.cfg.Retry.Budget, retryReserve)
	for _, t := range e.cfg.Teams {
		s.q.SetTeam(t.Name, t.Weight, t.MaxRunning)
	}
}

// service returns the state of a service and creates it if there is none.
func (e *Entry) service(name string) *service {
	s := e.services[name]
	if s == nil {
		s = &service{
			name: name,
			q:    queue.New(e.opts.Order),
			pool: placement.NewPool(e.opts.Seed ^ uint64(len(e.services)+1)),

			limit:   limit.New(e.now, 1, defaultMaxWaiting),
			retries: retry.New(0, retryReserve),
			crashes: quarantine.New(e.opts.Quarantine),
		}
		e.services[name] = s
	}
	return s
}

// markActive marks a service for dispatch at the end of the step.
func (e *Entry) markActive(s *service) {
	if !s.active {
		s.active = true
		e.active = append(e.active, s)
	}
}

// checkDrained sends the remaining acknowledgements once nothing is in flight,
// so that agents do not keep outcomes for an entry that has shut down.
func (e *Entry) checkDrained() {
	if !e.draining || e.drained || len(e.subs) > 0 {
		return
	}
	e.drained = true
	for _, id := range slices.Sorted(maps.Keys(e.agents)) {
		if a := e.agents[id]; a.link == linkOpen && a.ackedReportSeq < a.lastReportSeq {
			e.sendUpdate(a)
		}
	}
	e.emit(Drained{})
}
