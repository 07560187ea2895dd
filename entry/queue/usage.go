package queue

import (
	"math"
	"time"
)

// usage is a mean of running tasks over useTime, weighted towards the present.
type usage struct {
	mean float64
	at   time.Duration
}

// advance takes in that running tasks ran since the last call, and returns the
// mean.
func (u *usage) advance(now time.Duration, running int) float64 {
	if now > u.at {
		keep := math.Exp(-(now - u.at).Seconds() / useTime.Seconds())
		u.mean = u.mean*keep + float64(running)*(1-keep)
		u.at = now
	}
	return u.mean
}
