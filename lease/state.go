package lease

import (
	"time"

	"github.com/fireflytray/fireflytray/agent"
)

// Config tunes a State.
type Config struct {
	// Lease is how long a hold lasts; the upstream allows no more.
	Lease time.Duration
	// Wait is how long a hold may wait for an end.
	Wait time.Duration
	// AnswerTimeout is how long an answer may take beyond that.
	AnswerTimeout time.Duration
	// LossyWait and LossyAnswerWithin take their place for LossyFor after a call
	// got no answer, as more are likely to be lost.
	LossyWait          time.Duration
	LossyAnswerTimeout time.Duration
	LossyFor           time.Duration
	// StalledAfter is how long a run may show no progress, in lists that come
	// at least every Wait, before it counts as stalled.
	StalledAfter time.Duration
}

// DefaultConfig returns the configuration that applies to unset fields.
func DefaultConfig() Config {
	return Config{
		Lease:         time.Second,
		Wait:          200 * time.Millisecond,
		AnswerTimeout: 150 * time.Millisecond,

		LossyWait:          20 * time.Millisecond,
		LossyAnswerTimeout: 40 * time.Millisecond,
		LossyFor:           2 * time.Second,

		StalledAfter: 500 * time.Millisecond,
	}
}

const (
	// maxClockDrift is the share by which the upstream's clock may be slow.
	maxClockDrift = 0.02
	// expiryMargin is added to a lease before its runs count as gone.
	expiryMargin = 20 * time.Millisecond
	// retryDelay is the wait before a call that failed is made again.
	retryDelay = 50 * time.Millisecond
	// fenceIncrement raises a token that was lower than one that the upstream has
	// seen, say from a predecessor whose time of day was ahead.
	fenceIncrement = 1 << 16
	// failuresToSuspect is how many holds without an answer make the upstream
	// unreachable.
	failuresToSuspect = 2
	// idleAckDelay is how long the last ends may wait for their
	// acknowledgement.
	idleAckDelay = 100 * time.Millisecond
)

// phase is how far a run has come.
type phase uint8

const (
	// phaseStarting: the start is under way.
	phaseStarting phase = iota
	// phaseUnconfirmed: the start got no answer.
	phaseUnconfirmed
	// phaseRunning: the run is known to be there.
	phaseRunning
)

// run is a run that is not known to have ended.
type run struct {
	agent.StartRun
	key       runKey
	phase     phase
	call      CallID
	startedAt time.Duration
	// lastCall is when the last call about the run was answered or sent; only the
	// list in the answer to a later hold counts.
	lastCall CallID
	// fence is the token of the last start; once the start got no answer, the
	// least token that, seen by the upstream, rules it out.
	fence         uint64
	stopRequested bool
	// percent is the progress at the last list, movedAt when it was last seen
	// to grow.
	percent      int
	progressedAt time.Duration
}

// hold is a hold under way.
type hold struct {
	call     CallID
	deadline time.Duration
	fence    uint64
	longPoll bool
	probe    string
}

// State is the reducer.
type State struct {
	cfg Config

	upstream agent.Upstream
	// lastAnnounced is the newest announcement.
	lastAnnounced Announced
	haveUpstream  bool
	target        Target
	// reconciled is set once the lists showed no run of a predecessor.
	reconciled bool
	// unknownRuns lists runs that nobody here asked for, told to stop.
	unknownRuns map[runKey]bool

	fence      uint64
	lastCallID CallID
	runs       map[runKey]*run
	runsByID   map[agent.RunID]*run
	holds      []hold
	// lastEndSeq is the last end handled, told the last one acknowledged.
	lastEndSeq, ackedSeq uint64
	// failures counts holds without an answer since the last answer.
	failures int
	// lossyUntil is when calls count as reliable again.
	lossyUntil time.Duration
	retryAt    time.Duration
	ackAt      time.Duration

	// clock is the upstream's clock at clockAt of ours.
	clock   time.Duration
	clockAt time.Duration
	// latestLeaseEnd is the latest end of lease that any call carried.
	latestLeaseEnd time.Duration

	now time.Duration
	out []Effect
}

// New returns the state of an agent that knows no upstream. Fence has to be
// above every token that a predecessor used.
func New(cfg Config, fence uint64) *State {
	d := DefaultConfig()
	if cfg.Lease == 0 {
		cfg.Lease = d.Lease
	}
	if cfg.Wait == 0 {
		cfg.Wait = d.Wait
	}
	if cfg.AnswerTimeout == 0 {
		cfg.AnswerTimeout = d.AnswerTimeout
	}
	if cfg.LossyFor == 0 {
		cfg.LossyWait, cfg.LossyAnswerTimeout, cfg.LossyFor = d.LossyWait, d.LossyAnswerTimeout, d.LossyFor
	}
	if cfg.StalledAfter == 0 {
		cfg.StalledAfter = d.StalledAfter
	}
	return &State{
		cfg: cfg, fence: fence,
		runs: map[runKey]*run{}, runsByID: map[agent.RunID]*run{}, unknownRuns: map[runKey]bool{},
	}
}

// Step changes the state by one event and appends the effects to out.
func (s *State) Step(now time.Duration, ev Event, out []Effect) []Effect {
	s.now, s.out = max(s.now, now), out
	switch ev := ev.(type) {
	case Announced:
		s.announced(ev)
	case Left:
		s.left(ev.ID)
	case Start:
		s.start(ev.Run)
	case Stop:
		s.stop(ev.Run)
	case Probe:
		s.probe(ev.Instance)
	case StartAnswered:
		s.startAnswered(ev)
	case StopAnswered:
		s.stopAnswered(ev)
	case HoldAnswered:
		s.holdAnswered(ev)
	case Tick:
	}
	s.expire()
	s.maintainHold()
	out, s.out = s.out, nil
	return out
}

func (s *State) emit(eff Effect)         { s.out = append(s.out, eff) }
func (s *State) notify(ev agent.Event)   { s.emit(Notify{Event: ev}) }
func (s *State) log(t string, kv ...any) { s.emit(LogLine{Text: t, KeyVals: kv}) }

func (s *State) nextCall() CallID {
	s.lastCallID++
	return s.lastCallID
}

// announced takes an announcement. Another life of the process ends every run
// of the one before; it serves once its lists have shown no foreign run.
func (s *State) announced(ev Announced) {
	up := ev.Upstream
	if ev.Born < s.lastAnnounced.Born || ev.Born == s.lastAnnounced.Born && ev.ID == s.lastAnnounced.ID && ev.Seq <= s.lastAnnounced.Seq {
		s.log("late announcement is ignored", "instance", up.Instance, "seq", ev.Seq)
		return
	}
	s.lastAnnounced = ev
	if !s.haveUpstream || up.Instance != s.upstream.Instance {
		s.log("upstream has a new instance", "instance", up.Instance, "before", s.upstream.Instance)
		s.endAllRuns()
		s.haveUpstream, s.reconciled = true, false
		s.clock, s.clockAt, s.latestLeaseEnd = 0, 0, 0
		s.lastEndSeq, s.ackedSeq = 0, 0
	}
	s.upstream = up
	s.target = Target{Addr: up.Addr, Instance: up.Instance}
	if s.reconciled {
		s.notify(agent.Announced{Upstream: up})
		return
	}
	s.requestLists()
}

func (s *State) left(id string) {
	if !s.haveUpstream || s.lastAnnounced.ID != id {
		return
	}
	s.log("upstream has left", "instance", s.upstream.Instance)
	s.notify(agent.Left{Instance: s.upstream.Instance})
	s.endAllRuns()
	s.haveUpstream = false
}

// endAllRuns ends every run: the process that ran them is gone.
func (s *State) endAllRuns() {
	for _, r := range s.sortedRuns() {
		s.end(r, agent.EndCutOff)
	}
	s.holds = s.holds[:0]
	clear(s.unknownRuns)
	s.failures, s.retryAt, s.ackAt = 0, 0, 0
}

// start begins a run. A start that is already too late is not sent.
func (s *State) start(eff agent.StartRun) {
	r := &run{StartRun: eff, key: keyOf(eff), startedAt: s.now}
	switch {
	case !s.haveUpstream || !s.reconciled:
		s.notify(agent.RunEnded{Run: eff.Run, End: agent.EndRejected})
		return
	case s.now >= eff.StartBy:
		s.notify(agent.RunEnded{Run: eff.Run, End: agent.EndExpired})
		return
	case s.runs[r.key] != nil || s.unknownRuns[r.key]:
		s.notify(agent.RunEnded{Run: eff.Run, End: agent.EndRejected})
		return
	}
	s.runs[r.key], s.runsByID[eff.Run] = r, r
	s.sendStart(r)
}

func (s *State) sendStart(r *run) {
	r.phase, r.call, r.fence = phaseStarting, s.nextCall(), s.fence
	r.lastCall = r.call
	s.emit(StartCall{
		Call: r.call, Target: s.target, Task: r.key.task, Run: r.key.run,
		Payload: r.Payload, Until: s.newLeaseEnd(), Fence: s.fence,
	})
}

// newLeaseEnd returns the end of a lease that begins now, on the upstream's clock.
func (s *State) newLeaseEnd() time.Duration {
	if s.clockAt == 0 {
		return 0
	}
	until := s.clock + (s.now - s.clockAt) + s.cfg.Lease
	s.latestLeaseEnd = max(s.latestLeaseEnd, until)
	return until
}

func (s *State) startAnswered(ev StartAnswered) {
	r := s.runByCall(ev.Call)
	if r == nil {
		return
	}
	s.observeClock(ev.Clock)
	switch ev.Result {
	case StartAccepted:
		r.phase, r.lastCall = phaseRunning, s.lastCallID
		if r.stopRequested {
			s.sendStop(r.key)
		}
	case StartLost:
		s.markUnconfirmed(r)
	case StartFenced:
		if r.fence == s.fence {
			s.fence += fenceIncrement
			s.log("fencing token was too low", "task", r.key.task, "token", s.fence)
		}
		s.sendStart(r)
	case StartStale:
		s.end(r, agent.EndRejected)
	case StartExpired:
		s.end(r, agent.EndRejected)
		s.requestLists()
	case StartNoCapacity:
		s.end(r, agent.EndBusy)
	case StartUnhealthy:
		s.end(r, agent.EndRefused)
	case StartInvalid:
		s.end(r, agent.EndFailed)
	case StartWrongInstance:
		s.end(r, agent.EndRejected)
	}
}

// markUnconfirmed keeps a run whose start got no answer until the upstream has seen a
// higher token.
func (s *State) markUnconfirmed(r *run) {
	s.fence++
	s.lossyUntil = s.now + s.cfg.LossyFor
	r.phase, r.fence = phaseUnconfirmed, s.fence
	s.log("start got no answer", "task", r.key.task, "run", r.key.run, "token", s.fence)
	s.requestLists()
}

func (s *State) runByCall(call CallID) *run {
	for _, r := range s.runs {
		if r.call == call && r.phase == phaseStarting {
			return r
		}
	}
	return nil
}

func (s *State) stop(id agent.RunID) {
	r := s.runsByID[id]
	if r == nil || r.stopRequested {
		return
	}
	r.stopRequested = true
	if r.phase == phaseRunning {
		s.sendStop(r.key)
	}
}

func (s *State) sendStop(key runKey) {
	s.emit(StopCall{Call: s.nextCall(), Target: s.target, Task: key.task, Run: key.run, Fence: s.fence})
}

// stopAnswered raises the token after a stop without an answer: carried out
// late, it must not meet a newer run of the task.
func (s *State) stopAnswered(ev StopAnswered) {
	if !ev.OK {
		s.fence++
	}
	s.requestLists()
}

// end settles a run.
func (s *State) end(r *run, how agent.End) {
	delete(s.runs, r.key)
	delete(s.runsByID, r.Run)
	s.notify(agent.RunEnded{Run: r.Run, End: how, Ran: s.now - r.startedAt})
}
