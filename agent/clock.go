package agent

import (
	"math"
	"time"
)

// unknownAge is the age limit of a message about which nothing is known.
const unknownAge = time.Duration(math.MaxInt64 / 4)

// driftPerSecond bounds the drift between two monotonic clocks.
const driftPerSecond = 200 * time.Microsecond

// peerClock estimates the transit delay of messages from one sender, relative
// to the fastest message seen, using the sender's monotonic clock. The estimated
// clock offset rises no faster than clocks drift, so that delayed messages don't
// look fresh after a gap in traffic, such as a freeze of this process.
type peerClock struct {
	offset time.Duration
	at     time.Duration
	known  bool
}

// observe returns by how much the message's transit exceeded that of the fastest
// one. A message faster than all before lowers the offset; correction is the
// amount by which the lag of earlier messages was underestimated.
//
// maxAge is how long ago the message can have been sent at most. A larger transit
// delay means that the sender's clock stood still, as that of a suspended machine
// does, and raises the offset.
func (c *peerClock) observe(now, sentAt, maxAge time.Duration) (lag, correction time.Duration) {
	sample := now - sentAt
	if !c.known {
		c.offset, c.at, c.known = sample, now, true
		return 0, 0
	}
	drift := time.Duration((now - c.at).Seconds() * float64(driftPerSecond))
	before := c.offset
	c.offset = max(min(c.offset+drift, sample), sample-maxAge)
	c.at = now
	return sample - c.offset, max(0, before-c.offset)
}
