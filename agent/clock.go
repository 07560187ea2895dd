package agent

import "time"

// driftPerSecond bounds how fast two monotonic clocks drift apart.
const driftPerSecond = 200 * time.Microsecond

// peerClock estimates how long a message was under way, from the sender's
// monotonic clock and the fastest message seen. The estimate of the offset may
// only rise at the rate of clock drift, so that a gap in traffic, such as this
// process being frozen, doesn't make late messages look fresh.
type peerClock struct {
	offset time.Duration
	at     time.Duration
	known  bool
}

// observe returns how much longer a message took than the fastest one, and by
// how much the message showed earlier ones to have taken longer than thought.
func (c *peerClock) observe(now, sentAt time.Duration) (lag, correction time.Duration) {
	sample := now - sentAt
	if !c.known {
		c.offset, c.at, c.known = sample, now, true
		return 0, 0
	}
	drift := time.Duration((now - c.at).Seconds() * float64(driftPerSecond))
	before := c.offset
	c.offset = min(c.offset+drift, sample)
	c.at = now
	return sample - c.offset, max(0, before-c.offset)
}
