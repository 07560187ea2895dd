package lease

import (
	"time"

	"github.com/fireflytray/fireflytray/agent"
)

const (
	// timeoutsToSuspect is how many holds in a row must time out for the upstream to
	// count as silent.
	timeoutsToSuspect = 2
	// failuresToSuspect is the same for holds that fail at once, as at a process that
	// has ended. They are repeated at once, so that more of them cost no time, and an
	// upstream that loses a share of its answers rarely fails as many in a row.
	failuresToSuspect = 4
	// maxSilentRetryDelay bounds the time from one call to a silent upstream that has no
	// runs to the next.
	maxSilentRetryDelay = time.Second
	// pauseThreshold is the time without a step beside a silent upstream that has runs,
	// which is called far more often, from which this process counts as paused.
	pauseThreshold = 250 * time.Millisecond
	// timeoutMargin is how long before its deadline a hold may fail because of it.
	timeoutMargin = 5 * time.Millisecond
)

// silence is the evidence that the upstream does not answer: holds without an answer,
// one after the other, with no answer to any call between them.
//
// The load pattern that it answers is that of an upstream with many short runs that
// loses a share of its answers, which must not be taken for one that has crashed or is
// cut off.
type silence struct {
	// failures counts the holds, timeouts those of them that failed only when their
	// time was over.
	failures, timeouts int
	// lastFailureAt is when the last of them failed. Another hold counts only if it was
	// sent later.
	lastFailureAt time.Duration
	// resumedAt is when this process was first found to have been paused since the upstream
	// was reported silent; zero if it was not.
	resumedAt time.Duration
	// reported is set while the agent counts the upstream as silent, retryDelay is the
	// time to the next call meanwhile.
	reported   bool
	retryDelay time.Duration
	// refused is set once the agent was told that nothing listens at the address.
	refused bool
}

// add counts a hold that failed now and reports whether the upstream is silent.
func (q *silence) add(now time.Duration, h hold) bool {
	if h.sentAt < q.lastFailureAt {
		return q.reported
	}
	q.lastFailureAt = now
	q.failures++
	if now >= h.deadline-timeoutMargin {
		q.timeouts++
	}
	return q.reported || q.timeouts >= timeoutsToSuspect || q.failures >= failuresToSuspect
}

// backOff returns when a silent upstream is called again. The ends and leases of runs
// have to be known soon.
func (q *silence) backOff(now time.Duration, runs int) time.Duration {
	q.retryDelay = min(max(2*q.retryDelay, retryDelay), maxSilentRetryDelay)
	if runs > 0 {
		q.retryDelay = retryDelay
	}
	return now + q.retryDelay
}

// observePause records a pause of this process beside a silent upstream with runs. The host
// may have been suspended, and the upstream's clock have stood still. It counts once, so that
// an agent that is paused again and again still gives up the runs of a dead upstream.
func (s *State) observePause(now time.Duration) {
	q := &s.silence
	if q.reported && q.resumedAt == 0 && len(s.runs) > 0 && now-s.now >= pauseThreshold {
		q.resumedAt = now
	}
}

// answered records that the upstream has answered a call, which clears the evidence of
// its silence.
func (s *State) answered() {
	s.answeredAt, s.retryAt = s.now, 0
	reported := s.silence.reported
	s.silence = silence{}
	if reported {
		s.log("upstream answers again", "instance", s.upstream.Instance)
		s.notify(agent.Probed{Instance: s.upstream.Instance, OK: true})
	}
}

// holdFailed handles a hold without an answer, after which the next one is sent at
// once, unless the upstream is silent. The hold is harmless if it is carried out late:
// its lease has expired, and the ended runs that it acknowledges have been handled.
func (s *State) holdFailed(h hold) {
	s.lossyUntil = s.now + s.cfg.LossyFor
	silent := s.silence.add(s.now, h)
	if silent && !s.silence.reported {
		s.silence.reported = true
		s.log("upstream does not answer", "instance", s.upstream.Instance, "failures", s.silence.failures, "timeouts", s.silence.timeouts)
		unstarted, possible := s.unstarted()
		s.notify(agent.Silent{Instance: s.upstream.Instance, Failed: s.silence.timeouts == 0, Unstarted: unstarted, Possible: possible})
	}
	if silent {
		s.retryAt = s.silence.backOff(s.now, len(s.runs)+len(s.unknownRuns))
	}
	if h.probe != "" {
		s.notify(agent.Probed{Instance: h.probe, OK: !silent})
	}
}
