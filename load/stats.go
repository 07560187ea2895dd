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
	// slowdownScale is the number of histogram units per unit of slowdown, which
	// is the response time divided by the ideal response time.
	slowdownScale = 10_000
	// maxSlowdown is the largest slowdown recorded; larger ones are clamped to it.
	maxSlowdown = 100_000
	// precision is the number of significant decimal digits of the histograms.
	precision = 3
	// maxLatency is the longest response time recorded; longer ones are clamped
	// to it.
	maxLatency = time.Hour
	// maxFaults bounds the number of lost or invalid answers kept with details.
	maxFaults = 10
)

// slowdownHistogram is a histogram of response times divided by the ideal.
type slowdownHistogram struct{ h *hdrhistogram.Histogram }

func newSlowdownHistogram() slowdownHistogram {
	return slowdownHistogram{hdrhistogram.New(1, maxSlowdown*slowdownScale, precision)}
}

func (o slowdownHistogram) add(v float64) {
	scaled := int64(v*slowdownScale + 0.5)
	// RecordValue fails only on values out of range, and the value is clamped.
	_ = o.h.RecordValue(min(max(scaled, 1), maxSlowdown*slowdownScale))
}

func (o slowdownHistogram) quantiles() Quantiles {
	at := func(p float64) float64 { return float64(o.h.ValueAtPercentile(p)) / slowdownScale }
	return Quantiles{
		Count: o.h.TotalCount(),
		P50:   at(50), P90: at(90), P99: at(99), P999: at(99.9),
		Max: float64(o.h.Max()) / slowdownScale,
	}
}

// teamStats are the statistics of one team.
type teamStats struct {
	slowdowns slowdownHistogram
	sent      int
	complete  int
}

// stats aggregates the answers of a run.
type stats struct {
	opts *Options

	mu           sync.Mutex
	slowdowns    slowdownHistogram
	latency      *hdrhistogram.Histogram
	teams        map[string]*teamStats
	counts       map[Outcome]int
	examples     map[Outcome]string
	seconds      []second
	inFlight     int
	total        int
	tasks        int
	tasksDone    int
	messages     uint64
	wasted       uint64
	faults       []string
	invalid      int
	sendDuration time.Duration
}

// second aggregates the submissions whose intended send time is in one second.
type second struct {
	slowdowns []float64
	sent      int
	failed    int
}

func newStats(o *Options) *stats {
	return &stats{
		opts:      o,
		slowdowns: newSlowdownHistogram(),
		latency:   hdrhistogram.New(1, maxLatency.Microseconds(), precision),
		teams:     map[string]*teamStats{},
		counts:    map[Outcome]int{},

		examples: map[Outcome]string{},
	}
}

func (st *stats) recordSent() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.inFlight++
}

func (st *stats) setSendDuration(sendDuration time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.sendDuration = sendDuration
}

// add records the answer to a submission. elapsed is the time since its intended
// send time.
func (st *stats) add(s *workload.Submission, a answer, elapsed time.Duration) {
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
	st.recordFault(s, a)
	team := st.team(s.Team)
	team.sent++
	sec := st.second(s.At)
	sec.sent++
	if a.state != task.Complete.String() {
		sec.failed++
		return
	}
	st.tasksDone += len(s.Tasks)
	team.complete++
	st.recordSlowdown(s, team, sec, elapsed)
}

func (st *stats) recordSlowdown(s *workload.Submission, team *teamStats, sec *second, elapsed time.Duration) {
	ratio := float64(elapsed) / float64(s.Longest()+st.opts.RoundTrip)
	sec.slowdowns = append(sec.slowdowns, ratio)
	if s.At < st.opts.Warmup {
		return
	}
	st.slowdowns.add(ratio)
	team.slowdowns.add(ratio)
	// RecordValue fails only on values out of range, and the value is clamped.
	_ = st.latency.RecordValue(min(max(elapsed, time.Microsecond), maxLatency).Microseconds())
}

func (st *stats) count(o Outcome, detail string) {
	if st.counts[o] == 0 {
		st.examples[o] = detail
	}
	st.counts[o]++
}

// recordFault counts a lost or invalid answer and keeps the details of the first
// maxFaults.
func (st *stats) recordFault(s *workload.Submission, a answer) {
	if a.reason != reasonInvalidAnswer && a.reason != reasonNoAnswer {
		return
	}
	st.invalid++
	if len(st.faults) < maxFaults {
		st.faults = append(st.faults, fmt.Sprintf("submission %d at %v: %s: %s", s.N, s.At, a.reason, a.detail))
	}
}

func (st *stats) team(name string) *teamStats {
	t := st.teams[name]
	if t == nil {
		t = &teamStats{slowdowns: newSlowdownHistogram()}
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
	q := st.slowdowns.quantiles()
	return fmt.Sprintf("answered %d, in flight %d, complete %d, over ideal p50 %.2f p99 %.2f",
		st.total, st.inFlight, q.Count, q.P50, q.P99)
}

func (sec *second) point(i int) Point {
	p := Point{Second: i, Sent: sec.sent, Failed: sec.failed}
	if len(sec.slowdowns) == 0 {
		return p
	}
	slices.Sort(sec.slowdowns)
	p.P50 = sec.slowdowns[len(sec.slowdowns)/2]
	p.P99 = sec.slowdowns[min(len(sec.slowdowns)-1, len(sec.slowdowns)*99/100)]
	p.Max = sec.slowdowns[len(sec.slowdowns)-1]
	return p
}
