package load

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fireflytray/fireflytray/load/workload"
	"github.com/fireflytray/fireflytray/task"
)

const (
	// overScale is the resolution of a response time over its ideal.
	overScale = 10_000
	// maxOver is the largest response time over its ideal that is kept.
	maxOver   = 100_000
	precision = 3
	// maxLatency is the longest response time that is kept.
	maxLatency = time.Hour
	// maxFaults bounds the details kept of answers that were not clean.
	maxFaults = 10
)

// over is a histogram of response times over the ideal.
type over struct{ h *hdrhistogram.Histogram }

func newOver() over { return over{hdrhistogram.New(1, maxOver*overScale, precision)} }

func (o over) add(v float64) {
	scaled := int64(v*overScale + 0.5)
	// Within bounds recording can't fail.
	_ = o.h.RecordValue(min(max(scaled, 1), maxOver*overScale))
}

func (o over) quantiles() Quantiles {
	at := func(p float64) float64 { return float64(o.h.ValueAtPercentile(p)) / overScale }
	return Quantiles{
		Count: o.h.TotalCount(),
		P50:   at(50), P90: at(90), P99: at(99), P999: at(99.9),
		Max: float64(o.h.Max()) / overScale,
	}
}

// teamStats are the figures of one team.
type teamStats struct {
	over     over
	sent     int
	complete int
}

// stats gathers the answers of a run.
type stats struct {
	opts *Options

	mu       sync.Mutex
	over     over
	latency  *hdrhistogram.Histogram
	teams    map[string]*teamStats
	counts   map[Outcome]int
	examples map[Outcome]string
	seconds  []second
	inFlight int
	total    int
	tasks    int
	done     int
	messages uint64
	wasted   uint64
	faults   []string
	unclean  int
	length   time.Duration
}

// second gathers the submissions intended for one second.
type second struct {
	over   []float64
	sent   int
	failed int
}

func newStats(o *Options) *stats {
	return &stats{
		opts:    o,
		over:    newOver(),
		latency: hdrhistogram.New(1, maxLatency.Microseconds(), precision),
		teams:   map[string]*teamStats{},
		counts:  map[Outcome]int{},

		examples: map[Outcome]string{},
	}
}

func (st *stats) sent() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.inFlight++
}

func (st *stats) ended(after time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.length = after
}

// add counts the end of a submission, took after its intended time.
func (st *stats) add(s *workload.Submission, a answer, took time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.total++
	st.tasks += len(s.Tasks)
	if a.reason != reasonNotSent {
		st.inFlight--
	}
	st.count(Outcome{a.state, a.reason}, a.detail)
	st.messages += a.messages
	st.wasted += a.wasted
	st.note(s, a)
	team := st.team(s.Team)
	team.sent++
	sec := st.second(s.At)
	sec.sent++
	if a.state != task.Complete.String() {
		sec.failed++
		return
	}
	st.done += len(s.Tasks)
	team.complete++
	st.time(s, team, sec, took)
}

func (st *stats) time(s *workload.Submission, team *teamStats, sec *second, took time.Duration) {
	ratio := float64(took) / float64(s.Longest()+st.opts.RoundTrip)
	sec.over = append(sec.over, ratio)
	if s.At < st.opts.Warmup {
		return
	}
	st.over.add(ratio)
	team.over.add(ratio)
	// Within bounds recording can't fail.
	_ = st.latency.RecordValue(min(max(took, time.Microsecond), maxLatency).Microseconds())
}

func (st *stats) count(o Outcome, detail string) {
	if st.counts[o] == 0 {
		st.examples[o] = detail
	}
	st.counts[o]++
}

// note keeps the details of the first answers that were lost or not whole.
func (st *stats) note(s *workload.Submission, a answer) {
	if a.reason != reasonNotWhole && a.reason != reasonNoAnswer {
		return
	}
	st.unclean++
	if len(st.faults) < maxFaults {
		st.faults = append(st.faults, fmt.Sprintf("submission %d at %v: %s: %s", s.N, s.At, a.reason, a.detail))
	}
}

func (st *stats) team(name string) *teamStats {
	t := st.teams[name]
	if t == nil {
		t = &teamStats{over: newOver()}
		st.teams[name] = t
	}
	return t
}

func (st *stats) second(at time.Duration) *second {
	i := int(at / time.Second)
	for len(st.seconds) <= i {
		st.seconds = append(st.seconds, second{})
	}
	return &st.seconds[i]
}

func (st *stats) progress() string {
	st.mu.Lock()
	defer st.mu.Unlock()
	q := st.over.quantiles()
	return fmt.Sprintf("answered %d, in flight %d, complete %d, over ideal p50 %.2f p99 %.2f",
		st.total, st.inFlight, q.Count, q.P50, q.P99)
}

func (sec *second) point(i int) Point {
	p := Point{Second: i, Sent: sec.sent, Failed: sec.failed}
	if len(sec.over) == 0 {
		return p
	}
	slices.Sort(sec.over)
	p.P50 = sec.over[len(sec.over)/2]
	p.P99 = sec.over[min(len(sec.over)-1, len(sec.over)*99/100)]
	p.Max = sec.over[len(sec.over)-1]
	return p
}
