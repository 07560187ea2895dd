// Package retry limits retries to a share of recent successes, so that many
// failures at once do not multiply the load. It does not read the clock: callers
// pass in the time since the process started.
package retry

import "time"

const (
	// slots is the number of slots in the sliding window, slotDuration the
	// length of each.
	slots        = 10
	slotDuration = time.Second
	// Window is the time for which a success adds to the budget and a retry
	// reduces it.
	Window = slots * slotDuration
)

// Budget is the retry budget of one service at one entry host.
type Budget struct {
	share   float64
	reserve float64
	ring    [slots]slot
	// current is the number of the newest slot, counted from the start of the
	// process.
	current int64
	// succeeded and retried are the sums over the ring.
	succeeded, retried int64
}

// slot counts the successes and retries in one slotDuration.
type slot struct {
	succeeded, retried int64
}

// New returns a budget that allows, in any Window, share times the successes
// of that window plus reserve retries. Without the reserve, a service with few
// requests could not retry.
func New(share, reserve float64) *Budget {
	b := new(Budget)
	b.SetLimits(share, reserve)
	return b
}

// SetLimits changes the share and the reserve.
func (b *Budget) SetLimits(share, reserve float64) {
	b.share, b.reserve = max(0, share), max(0, reserve)
}

// RecordSuccess counts one success.
func (b *Budget) RecordSuccess(now time.Duration) {
	b.advance(now)
	b.slotFor(b.current).succeeded++
	b.succeeded++
}

// Take takes one retry from the budget and reports whether one was available.
func (b *Budget) Take(now time.Duration) bool {
	b.advance(now)
	if b.remaining() < 1 {
		return false
	}
	b.slotFor(b.current).retried++
	b.retried++
	return true
}

// Remaining returns the number of retries that are allowed now.
func (b *Budget) Remaining(now time.Duration) int {
	b.advance(now)
	return int(max(0, b.remaining()))
}

func (b *Budget) remaining() float64 {
	// epsilon compensates for rounding errors of a share such as 0.1, which
	// would otherwise cost a whole retry.
	const epsilon = 1e-9
	return b.share*float64(b.succeeded) + b.reserve - float64(b.retried) + epsilon
}

func (b *Budget) slotFor(n int64) *slot { return &b.ring[n%slots] }

// advance clears the slots that left the window. A time in the past counts as
// the newest slot.
func (b *Budget) advance(now time.Duration) {
	n := int64(now / slotDuration)
	if n <= b.current {
		return
	}
	for next := max(b.current+1, n-slots+1); next <= n; next++ {
		old := b.slotFor(next)
		b.succeeded -= old.succeeded
		b.retried -= old.retried
		*old = slot{}
	}
	b.current = n
}
