package entry

import (
	"slices"
	"time"
)

const (
	// turnaroundSamples is the number of answers over which the median is taken,
	// and minTurnaroundSamples the least for which it counts.
	turnaroundSamples    = 15
	minTurnaroundSamples = 5
	// turnaroundTTL is how long an answer counts.
	turnaroundTTL = 500 * time.Millisecond
	// turnaroundProbeInterval is the time between two jobs that are admitted
	// although they can't be in time.
	turnaroundProbeInterval = 50 * time.Millisecond
	// turnaroundsBeforeStart is the number of turnarounds from the arrival of a job
	// to its first start and back: one for its lock, half a one for the assignment,
	// half a one for the outcome.
	turnaroundsBeforeStart = 2
)

// turnaround measures how fast this entry gets answers: the median time from a
// request for a lock to its answer, over all agents. A few agents that are slow or
// lost do not show in it, but a processor or a link of this entry that can't keep up
// does: most answers then wait, either for the link or to be handled.
//
// The load pattern that it answers is that of a few small entries that carry the
// traffic of all while the large ones are down. Jobs then spend their whole time on
// the way, and each that is taken in vain makes the next one later. A job that needs
// more time than it has left is refused on arrival instead, except one every
// turnaroundProbeInterval, which shows when there is room again.
type turnaround struct {
	took     [turnaroundSamples]time.Duration
	at       [turnaroundSamples]time.Duration
	next     int
	probedAt time.Duration
}

// observe records an answer, or a request that has not been answered for took.
func (t *turnaround) observe(now, took time.Duration) {
	t.took[t.next], t.at[t.next] = took, now
	t.next = (t.next + 1) % turnaroundSamples
}

// median returns the median of the answers within turnaroundTTL, or zero if they are
// fewer than minTurnaroundSamples.
func (t *turnaround) median(now time.Duration) time.Duration {
	var recent [turnaroundSamples]time.Duration
	n := 0
	for i, at := range t.at {
		if at > 0 && now <= at+turnaroundTTL {
			recent[n] = t.took[i]
			n++
		}
	}
	if n < minTurnaroundSamples {
		return 0
	}
	slices.Sort(recent[:n])
	return recent[n/2]
}

// admit reports whether a job that has to start within slack is admitted. If not, it
// returns the time that it needs.
func (t *turnaround) admit(now, slack time.Duration) (ok bool, needs time.Duration) {
	needs = turnaroundsBeforeStart * t.median(now)
	if needs <= slack {
		return true, needs
	}
	if now < t.probedAt+turnaroundProbeInterval {
		return false, needs
	}
	t.probedAt = now
	return true, needs
}
