package placement

import (
	"math"

	"github.com/fireflytray/fireflytray/task"
)

const (
	// maxRunTimeSamples bounds the weight of the past in RunTimes.
	maxRunTimeSamples = 32
	// maxDeviation bounds how far one run moves the mean, as a difference of
	// logarithms, so that a rare task that takes many times as long as its kind
	// does not mark its upstream as slow.
	maxDeviation = 1.0
	// boundedAfter is the number of runs after which maxDeviation applies.
	boundedAfter = 4
	// ReportedWeight is the number of runs that a ratio reported by an agent
	// counts for: that of its moving average.
	ReportedWeight = 9
	// minKnownUpstreams is the number of upstreams with runs below which all
	// count as equally fast.
	minKnownUpstreams = 3
	// kindWeight is the number of runs that the service's mean counts for in
	// that of a kind.
	kindWeight = 8
	// minPriorWeight and maxPriorWeight bound the number of runs that the mean of
	// its kind counts for in the estimate of an upstream.
	minPriorWeight, maxPriorWeight = 2, 64
	// initialVariance is the assumed variance of the logarithm of actual over
	// declared run times at one upstream, before runs show it.
	initialVariance = 0.25
	// varianceWeight is the weight of a run in the observed variance.
	varianceWeight = 0.01
)

// RunTimes is the mean logarithm of actual over declared run times at one
// upstream, over its recent runs.
type RunTimes struct {
	Mean float64
	// Runs is the number of runs that the mean rests on.
	Runs float64
}

// Observe adds a run and returns its deviation from the mean before, bounded.
func (r *RunTimes) Observe(logRatio float64) float64 {
	d := logRatio - r.Mean
	if r.Runs >= boundedAfter {
		d = min(max(d, -maxDeviation), maxDeviation)
	}
	r.Runs = min(r.Runs+1, maxRunTimeSamples)
	r.Mean += d / r.Runs
	return d
}

// With returns the runs joined with a mean that an agent reports; zero is an
// unknown one.
func (r RunTimes) With(reported float64) RunTimes {
	if reported == 0 {
		return r
	}
	n := r.Runs + ReportedWeight
	return RunTimes{Mean: (r.Mean*r.Runs + reported*ReportedWeight) / n, Runs: n}
}

// Spread estimates the variance of the logarithm of actual over declared run
// times at one upstream.
type Spread struct {
	variance float64
	known    bool
}

// Observe adds the deviation of a run from the mean of its upstream.
func (s *Spread) Observe(deviation float64) {
	if !s.known {
		s.known, s.variance = true, initialVariance
	}
	s.variance += varianceWeight * (deviation*deviation - s.variance)
}

// Variance returns the estimate.
func (s *Spread) Variance() float64 {
	if !s.known {
		return initialVariance
	}
	return s.variance
}

// Upstream is what is known of the run times at one upstream of a service.
type Upstream struct {
	// Kind is what it offers; upstreams that offer the same count as one kind.
	Kind task.Resources
	// Runs are its runs.
	Runs RunTimes
	// Exceptional keeps the upstream out of the means of others.
	Exceptional bool
}

// kind sums over the upstreams that offer the same.
type kind struct {
	sum, runs, mean float64
	// priorWeight is the number of runs that the mean counts for.
	priorWeight float64
	squares     float64
	upstreams   float64
}

// Speeds returns the speed of each upstream relative to the mean one of its
// service, 1 if unknown. An upstream without runs has the speed of its kind, and
// a few runs move it from there the less the more alike the upstreams of its kind
// are. It returns nil if the runs of too few upstreams are known.
func Speeds(all []Upstream, variance float64) []float64 {
	kinds, known := sumKinds(all)
	if known < minKnownUpstreams {
		return nil
	}
	weighKinds(all, kinds, variance)
	estimates := make([]float64, len(all))
	reference, n := 0.0, 0.0
	for i := range all {
		u, k := &all[i], kinds[all[i].Kind]
		estimates[i] = (u.Runs.Mean*u.Runs.Runs + k.mean*k.priorWeight) / (u.Runs.Runs + k.priorWeight)
		if !u.Exceptional {
			reference += math.Exp(estimates[i])
			n++
		}
	}
	reference = math.Log(reference / max(1, n))
	for i := range estimates {
		estimates[i] = math.Exp(reference - estimates[i])
	}
	return estimates
}

// sumKinds returns the mean of each kind, drawn towards that of the service by
// its number of runs, and the number of upstreams with runs.
func sumKinds(all []Upstream) (kinds map[task.Resources]*kind, known int) {
	kinds = make(map[task.Resources]*kind)
	var service kind
	for i := range all {
		u := &all[i]
		k := kinds[u.Kind]
		if k == nil {
			k = &kind{}
			kinds[u.Kind] = k
		}
		if u.Runs.Runs == 0 || u.Exceptional {
			continue
		}
		known++
		k.sum += u.Runs.Mean * u.Runs.Runs
		k.runs += u.Runs.Runs
		service.sum += u.Runs.Mean * u.Runs.Runs
		service.runs += u.Runs.Runs
	}
	service.mean = service.sum / max(1, service.runs)
	for _, k := range kinds {
		k.mean = (k.sum + kindWeight*service.mean) / (k.runs + kindWeight)
	}
	return kinds, known
}

// weighKinds sets how many runs the mean of each kind counts for: the variance of
// single runs over the variance between its upstreams.
func weighKinds(all []Upstream, kinds map[task.Resources]*kind, variance float64) {
	for i := range all {
		if u := &all[i]; u.Runs.Runs > 0 && !u.Exceptional {
			k := kinds[u.Kind]
			d := u.Runs.Mean - k.mean
			k.squares += u.Runs.Runs * d * d
			k.upstreams++
		}
	}
	for _, k := range kinds {
		between := (k.squares - variance*k.upstreams) / max(1, k.runs)
		k.priorWeight = maxPriorWeight
		if between > 0 {
			k.priorWeight = min(max(variance/between, minPriorWeight), maxPriorWeight)
		}
	}
}
