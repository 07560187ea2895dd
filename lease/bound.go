package lease

import "time"

// RunsEndWithin bounds the time from the last hold of an agent to the end of the
// runs that it held.
func (c Config) RunsEndWithin() time.Duration {
	l := c.Lease
	if l == 0 {
		l = DefaultConfig().Lease
	}
	return time.Duration(float64(l)/(1-maxClockDrift)) + 2*expiryMargin
}
