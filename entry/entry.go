// Package entry is the state machine of an entry host: it admits submissions,
// orders their waiting tasks across jobs and teams, places each task on an
// agent, gathers the outcomes and answers each submission exactly once.
//
// An Entry takes events through Step and hands out effects as data; it reaches
// no clock, socket, file or goroutine, and its random choices are seeded.
//
// A task is sent again, as a new attempt, only after its agent has said that
// the attempt did not run; silence is never taken for that. The one exception
// is a request that its caller marked idempotent, within the retry budget.
package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/fireflytray/fireflytray/entry/placement"
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
	// DemandFanout is how many agents are told of waiting tasks when no credit is
	// left, beyond those that are told on messages sent anyway; zero takes
	// DefaultPoke.
	DemandFanout int
	// Trace hands out decisions about submissions as effects.
	Trace bool
	// KeepaliveInterval is how often an agent that holds tasks hears from the entry at
	// least; zero sends nothing beyond what there is to say.
	KeepaliveInterval time.Duration
	// AgentTimeout is how long an agent may be without a session before the
	// outcomes of its tasks are given up as unknown; zero takes
	// DefaultGoneAfter.
	AgentTimeout time.Duration
}

// DefaultAgentTimeout is the default of Options.GoneAfter.
const DefaultAgentTimeout = 4 * time.Second

// DefaultDemandFanout is the default of Options.Poke.
const DefaultDemandFanout = 3

const (
	// demandInterval is the time between two pokes while the entry is starved.
	demandInterval = 100 * time.Millisecond
	// demandRankRatio is the share of the rank last told of below which agents are
	// told again: ranks fall steadily with age, and by priority at once.
	demandRankRatio = 0.7
	// ackDelay is how long an acknowledgement waits for a message to ride on.
	ackDelay = 30 * time.Second
	// dialTimeout bounds a dial up to the welcome.
	dialTimeout = 1500 * time.Millisecond
	// minRedialDelay is the least time between two dials of an agent.
	minRedialDelay = 200 * time.Millisecond
	// maxRedialDelay is the most time between two dials of an agent.
	maxRedialDelay = 3 * time.Second
	// reviewInterval is the time between looks for slow agents.
	reviewInterval = 250 * time.Millisecond
	// retryReserve is how many retries a service may make besides its share.
	retryReserve = 5
	// defaultMaxWaiting bounds the tasks in the system where the service's
	// configuration does not.
	defaultMaxWaiting = 100_000
	// returnMargin is kept from a task's time to start, for its way back.
	returnMargin = 5 * time.Millisecond
)

// Entry is the state of an entry. It is not safe for concurrent use.
type Entry struct {
	opts     Options
	now      time.Duration
	out      []Effect
	cfg      *fleet.Config
	cfgSince time.Duration // when cfg came into force
	// reviewedAt is when agents were last reviewed, resumedAt when this process
	// was last found to have been paused.
	reviewedAt, resumedAt time.Duration
	services              map[string]*service
	agents                map[string]*agent
	entries               map[string]bool // other live entries, by id
	subs                  map[task.SubmissionID]*submission
	claims                map[uint64]*submission
	quotas                map[string]*quota.Bucket // by team
	lastRequest           uint64
	lastSession           uint64 // dials so far, over all agents
	timers                timers
	dirty                 []*agent // agents to flush at the end of the step
	active                []*service
	draining              bool
	drained               bool
	stats                 Stats
}

// service is the state of one service.
type service struct {
	name string
	cfg  fleet.Service
	q    *queue.Queue
	pool *placement.Pool
	// asideJobs holds jobs whose next task fits no open agent now.
	asideJobs      []*queue.Job
	active         bool
	demandNotified bool
	// notifiedRank is the rank of the first waiting task at the last poke.
	notifiedRank float64
	runTimeRatio runTimeRatio
	// forecast tells how long a new job would wait.
	forecast forecast
	limit    *limit.Limiter
	retries  *retry.Budget
	// inSystem counts the tasks admitted and not answered.
	inSystem int
}

// New returns an entry with the configuration in o.
func New(o Options) *Entry {
	e := &Entry{
		opts:     o,
		services: make(map[string]*service),
		agents:   make(map[string]*agent),
		entries:  make(map[string]bool),
		subs:     make(map[task.SubmissionID]*submission),
		claims:   make(map[uint64]*submission),
		quotas:   make(map[string]*quota.Bucket),
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
	e.configure(o.Config)
	e.arm(timer{at: reviewInterval, kind: timerReview})
	if o.KeepaliveInterval > 0 {
		e.arm(timer{at: o.KeepaliveInterval, kind: timerKeepalive})
	}
	return e
}

// Step handles one event, appends its effects to out and returns it.
func (e *Entry) Step(now time.Duration, ev Event, out []Effect) []Effect {
	e.now = max(e.now, now)
	e.out = out
	switch ev := ev.(type) {
	case Submit:
		e.submit(ev)
	case Cancel:
		e.cancel(ev.IDs)
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
	e.fire()
	e.dispatchActive()
	e.flush()
	e.checkDrained()
	out, e.out = e.out, nil
	return out
}

func (e *Entry) emit(eff Effect) { e.out = append(e.out, eff) }

// configure puts a configuration in force; an older one is ignored.
func (e *Entry) configure(cfg *fleet.Config) {
	if cfg == nil || e.cfg != nil && cfg.Index < e.cfg.Index {
		return
	}
	if e.cfg == nil || cfg.Index > e.cfg.Index {
		e.cfgSince = e.now
	}
	e.cfg = cfg
	for name, sc := range cfg.Services {
		s := e.service(name)
		s.cfg = sc
		s.retries.SetLimits(cfg.Retry.Budget, retryReserve)
		for _, t := range cfg.Teams {
			s.q.SetTeam(t.Name, t.Weight, t.MaxRunning)
		}
	}
	e.configureTeams()
}

func (e *Entry) service(name string) *service {
	s := e.services[name]
	if s == nil {
		s = &service{
			name: name,
			q:    queue.New(e.opts.Order),
			pool: placement.NewPool(e.opts.Seed ^ uint64(len(e.services)+1)),

			limit:   limit.New(e.now, 1, defaultMaxWaiting),
			retries: retry.New(0, retryReserve),
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

// checkDrained acknowledges what is left once nothing is in flight, so that no
// agent keeps outcomes for an entry that is gone.
func (e *Entry) checkDrained() {
	if !e.draining || e.drained || len(e.subs) > 0 {
		return
	}
	e.drained = true
	for _, id := range slices.Sorted(maps.Keys(e.agents)) {
		if a := e.agents[id]; a.link == linkOpen && a.ackedReport < a.lastReport {
			e.sendUpdate(a)
		}
	}
	e.emit(Drained{})
}
