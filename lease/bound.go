package lease

import "time"

// RunsEndWithin bounds the time from the last hold of an agent, or from when a run
// was to be stopped, to the end of the run, even if every stop is lost.
func (c Config) RunsEndWithin() time.Duration {
	l := c.Lease
	if l == 0 {
		l = DefaultConfig().Lease
	}
	return time.Duration(float64(l)/(1-maxClockDrift)) + stopPatience + 2*expiryMargin
}
