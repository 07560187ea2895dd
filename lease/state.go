package lease

import (
	"time"

	"github.com/fireflytray/fireflytray/agent"
)

// Config tunes a State.
type Config struct {
	// Lease is how long a hold renews the lease; the upstream allows no more.
	Lease time.Duration
	// Wait is how long the upstream may delay the answer to a hold until a run
	// ends.
	Wait time.Duration
	// AnswerTimeout is how long an answer may take beyond Wait.
	AnswerTimeout time.Duration
	// LossyWait and LossyAnswerTimeout replace them for LossyFor after a call
	// got no answer, because further calls are likely to be lost.
	LossyWait          time.Duration
	LossyAnswerTimeout time.Duration
	LossyFor           time.Duration
	// StalledAfter is how long a run may show no progress before it counts as
	// stalled. The lists that show progress arrive at least every Wait.
	StalledAfter time.Duration
}

// DefaultConfig returns the values used for unset fields.
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
	// maxClockDrift is the fraction by which the upstream's clock may run slow.
	maxClockDrift = 0.02
	// expiryMargin is added to a lease before its runs count as ended.
	expiryMargin = 20 * time.Millisecond
	// retryDelay is the delay before a failed call is retried.
	retryDelay = 50 * time.Millisecond
	// fenceIncrement is added to a token that the upstream rejected as too low,
	// for example because a predecessor's wall clock was ahead.
	fenceIncrement = 1 << 16
	// stopEffectTimeout is how long a run may go on after its stop was accepted
	// before the stop is sent again.
	stopEffectTimeout = 250 * time.Millisecond
	// stopPatience is how long a stop may remain without an effect before the
	// leases are no longer renewed, so that the run ends in any case.
	stopPatience = 100 * time.Millisecond
	// idleAckDelay is how long the acknowledgement of ended runs is delayed
	// when no run is left.
	idleAckDelay = 100 * time.Millisecond
)

// phase is the state of a run's start.
type phase uint8

const (
	// phaseStarting: the start is in flight.
	phaseStarting phase = iota
	// phaseUnconfirmed: the start got no answer.
	phaseUnconfirmed
	// phaseRunning: the run is known to have started.
	phaseRunning
)

// run is a run that is not known to have ended.
type run struct {
	agent.StartRun
	key       runKey
	phase     phase
	call      CallID
	startedAt time.Duration
	// sentAt is when the last start was sent.
	sentAt time.Duration
	// pinned is set once the run can't be at a successor of the present process: a list of
	// that process has shown it, or nothing listened at the address after the start had
	// been answered. The answer to a start does not say which incarnation has given it.
	pinned bool
	// sentClock is a time that the upstream's clock had reached when the start was
	// sent; zero if unknown.
	sentClock time.Duration
	// byOther is set if the clock in the answer is not that of the present process,
	// notSent if the last start was not sent.
	byOther, notSent bool
	// carriedAt is the address of a process that has ended while the run may have been
	// at its successor, carriedUntil when it has ended there too if no list shows it.
	carriedAt    string
	carriedUntil time.Duration
	// guarded is set once that successor has seen a higher token.
	guarded bool
	// lastCall is the last call that had been sent when the start was answered or given
	// up, or the run was confirmed as running; only a later hold can show that the run
	// is missing.
	lastCall CallID
	// fence is the token of the last start. Once that start got no answer, it is
	// the lowest token with which the upstream will reject the lost start.
	fence uint64
	// percent is the highest progress listed so far, progressedAt when it last
	// grew.
	percent      int
	progressedAt time.Duration
}

// pendingStop is a run that was requested to end and may still run. Its stop is
// sent again until the end is known.
type pendingStop struct {
	key runKey
	// call is the stop in flight; zero if none. fence is the token of the last
	// stop.
	call   CallID
	fence  uint64
	sendAt time.Duration
	// withoutEffectSince is when the end was requested, or when an accepted stop
	// should have ended the run.
	withoutEffectSince time.Duration
}

// hold is a hold in flight. The field probe is the instance for which the agent
// requested a probe, empty for none.
type hold struct {
	call     CallID
	sentAt   time.Duration
	deadline time.Duration
	fence    uint64
	longPoll bool
	probe    string
}

// State is the reducer.
type State struct {
	cfg Config

	upstream agent.Upstream
	// lastAnnounced is the newest announcement of the upstream. verifiedBorn is when
	// the last process started that has answered as the upstream.
	lastAnnounced Announced
	verifiedBorn  uint64
	haveUpstream  bool
	candidates    []*candidate
	guard         guard
	// departing is set from the departure of the upstream until its process has ended.
	departing bool
	// hasPredecessor is set if a process with the id of the upstream was the one before.
	hasPredecessor bool
	evacuated      bool
	target         Target
	// reconciled is set once the lists show no run of a predecessor.
	reconciled bool
	// unknownRuns holds listed runs that this agent did not start; they are
	// being stopped.
	unknownRuns map[runKey]bool
	// stops holds the stops of known and unknown runs, in order of the requests.
	stops []*pendingStop

	fence      uint64
	lastCallID CallID
	runs       map[runKey]*run
	runsByID   map[agent.RunID]*run
	holds      []hold
	// lastEndSeq is the sequence number of the last ended run handled,
	// ackedSeq the last one acknowledged.
	lastEndSeq, ackedSeq uint64
	silence              silence
	// lossyUntil is when the normal time-outs apply again.
	lossyUntil time.Duration
	retryAt    time.Duration
	ackAt      time.Duration

	// answeredAt is when the upstream last answered a call.
	answeredAt time.Duration
	// clock is the upstream's clock at the local time clockAt.
	clock   time.Duration
	clockAt time.Duration
	// latestLeaseEnd is the latest end of a lease sent in any call, renewedAt when one was
	// sent last.
	latestLeaseEnd, renewedAt time.Duration

	now time.Duration
	out []Effect
}

// New returns the state of an agent without an upstream. Fence must be higher
// than every token that a predecessor used.
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

// Step applies one event and appends the effects to out.
func (s *State) Step(now time.Duration, ev Event, out []Effect) []Effect {
	s.observePause(now)
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
	case Evacuate:
		s.evacuated = ev.Active
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
	s.finishDeparture()
	s.checkCandidates()
	s.sendGuard()
	s.sendStops()
	s.maintainHold()
	out, s.out = s.out, nil
	return out
}

func (s *State) emit(eff Effect)            { s.out = append(s.out, eff) }
func (s *State) notify(ev agent.Event)      { s.emit(Notify{Event: ev}) }
func (s *State) log(text string, kv ...any) { s.emit(LogLine{Text: text, KeyVals: kv}) }

func (s *State) nextCall() CallID {
	s.lastCallID++
	return s.lastCallID
}

// announced handles an announcement. A process other than the present upstream is
// checked before it takes over. It is announced to the agent once its lists show no
// unknown run.
func (s *State) announced(ev Announced) {
	switch {
	case s.isStale(ev):
		s.log("ignoring stale announcement", "instance", ev.Upstream.Instance, "seq", ev.Seq)
	case s.haveUpstream && ev.Upstream.Instance != s.upstream.Instance:
		s.propose(ev)
	case !s.haveUpstream:
		s.replaceUpstream(ev)
	default:
		s.keepAddress(&ev)
		s.renewUpstream(ev)
		if !s.reconciled {
			s.requestLists()
		}
	}
}

// clockNow returns a time that the upstream's clock has certainly reached.
func (s *State) clockNow() time.Duration {
	return s.clock + time.Duration(float64(s.now-s.clockAt)*(1-maxClockDrift))
}

// newLeaseEnd returns the end of a lease that begins now, on the upstream's
// clock, and records the latest one.
func (s *State) newLeaseEnd() time.Duration {
	if s.clockAt == 0 {
		return 0
	}
	until := s.clockNow() + s.cfg.Lease
	s.latestLeaseEnd, s.renewedAt = max(s.latestLeaseEnd, until), s.now
	return until
}

// end removes a run and reports its end to the agent.
func (s *State) end(r *run, how agent.End) {
	delete(s.runs, r.key)
	delete(s.runsByID, r.Run)
	s.removeStop(r.key)
	s.notify(agent.RunEnded{Run: r.Run, End: how, Ran: s.now - r.startedAt})
}
