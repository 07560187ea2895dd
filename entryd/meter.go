package entryd

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/fireflytray/fireflytray/entry"
	"github.com/fireflytray/fireflytray/metrics"
	"github.com/fireflytray/fireflytray/task"
)

// metricsInterval is how often the state is copied to the metrics.
const metricsInterval = time.Second

// meter reports what an entry does.
type meter struct {
	metrics *metrics.Entry

	mu sync.Mutex
	// minRoundTrip is the least time beyond the longest run that a complete
	// answer took; zero until there was one.
	minRoundTrip time.Duration
	// reported is what the counters were told so far.
	reported entry.Stats
}

func newMeter(scope tally.Scope) *meter {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &meter{metrics: metrics.NewEntry(scope)}
}

// answered counts an answer that took elapsed.
func (m *meter) answered(a *task.Answer, elapsed time.Duration) {
	m.metrics.Answered(a.State, a.Reason, elapsed)
	if a.State != task.Complete || a.Replayed || a.MaxRunTime <= 0 {
		return
	}
	m.metrics.QueueSeconds.RecordDuration(a.QueueTime)
	m.metrics.RunSeconds.RecordDuration(a.MaxRunTime)
	m.metrics.OverIdeal.RecordValue(elapsed.Seconds() / m.idealTime(a.MaxRunTime, elapsed).Seconds())
}

// idealTime is the longest run and one round trip.
func (m *meter) idealTime(longest, elapsed time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if over := elapsed - longest; over > 0 && (m.minRoundTrip == 0 || over < m.minRoundTrip) {
		m.minRoundTrip = over
	}
	return longest + m.minRoundTrip
}

// report reports a copy of the state. It is used by one goroutine.
func (m *meter) report(v entry.View) {
	now := v.Stats
	m.metrics.Messages.Inc(int64(now.Sent + now.Received - m.reported.Sent - m.reported.Received))
	m.metrics.WastedMessages.Inc(int64(now.Wasted.Total() - m.reported.Wasted.Total()))
	m.metrics.Retries.Inc(int64(now.Retries - m.reported.Retries))
	m.reported = now
	waiting, credit, connected := 0, 0, 0
	for _, n := range v.Waiting {
		waiting += n
	}
	for _, a := range v.Agents {
		credit += a.Credit
		if a.Connected {
			connected++
		}
	}
	m.metrics.Queue.Update(float64(waiting))
	m.metrics.Slots.Update(float64(credit))
	m.metrics.Connected.Update(float64(connected))
	m.metrics.ConfigIndex.Update(float64(v.ConfigIndex))
	m.metrics.ConfigAge.Update(v.ConfigAge.Seconds())
}

// reportMetrics reports the state until ctx ends.
func (d *Daemon) reportMetrics(ctx context.Context) {
	ticker, reach := time.NewTicker(metricsInterval), time.NewTicker(isolationCheckInterval)
	defer ticker.Stop()
	defer reach.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reach.C:
			if v, err := d.View(); err == nil {
				d.updateIsolation(v)
			}
			continue
		case <-ticker.C:
		}
		if n := d.unroutedRequests.Swap(0); n > 0 {
			d.log.Warn("requests refused", "reason", "no configuration yet", "count", n)
		}
		for kind, n := range d.budget.LeftOut() {
			d.log.Warn("lines left out", "kind", kind, "count", n)
		}
		if v, err := d.View(); err == nil {
			d.meter.report(v)
		}
	}
}
