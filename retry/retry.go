// Package retry bounds retries to a share of recent successes, so that a storm
// of failures can't multiply the load. It reaches no clock: the time since the
// process started is passed in.
package retry

import "time"

const (
	// slots times slotTime is the time that counts as recent.
	slots        = 10
	slotDuration = time.Second
	// Window is how long a success earns, and a retry is held against, the
	// budget.
	Window = slots * slotDuration
)

// Budget is the retry budget of one service at one entry.
type Budget struct {
	share   float64
	reserve float64
	ring    [slots]slot
	// current is the number of the newest slot since the process started.
	current int64
	// succeeded and retried are sums over the ring.
	succeeded, retried int64
}

// slot counts what happened in one slotTime.
type slot struct {
	succeeded, retried int64
}

// New returns a budget that allows, in any Window, share times the successes
// of that window plus reserve retries. The reserve lets a service with few
// requests retry at all.
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

// Take takes one retry out of the budget, if there is one.
func (b *Budget) Take(now time.Duration) bool {
	b.advance(now)
	if b.remaining() < 1 {
		return false
	}
	b.slotFor(b.current).retried++
	b.retried++
	return true
}

// Remaining returns how many retries are allowed now.
func (b *Budget) Remaining(now time.Duration) int {
	b.advance(now)
	return int(max(0, b.remaining()))
}

func (b *Budget) remaining() float64 {
	// The rounding of a share such as 0.1 must not cost a whole retry.
	const epsilon = 1e-9
	return b.share*float64(b.succeeded) + b.reserve - float64(b.retried) + epsilon
}

func (b *Budget) slotFor(n int64) *slot { return &b.ring[n%slots] }

// advance drops the slots that are no longer recent. A time in the past counts
// as the newest slot.
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
