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

// metricsInterval is how often the metrics are updated from the state.
const metricsInterval = time.Second

// meter records the metrics of an entry.
type meter struct {
	metrics *metrics.Entry

	mu sync.Mutex
	// minRoundTrip is the shortest time beyond its longest run that a complete
	// answer has taken; zero until the first one.
	minRoundTrip time.Duration
	// reported holds the totals already added to the counters.
	reported entry.Stats
}

func newMeter(scope tally.Scope) *meter {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &meter{metrics: metrics.NewEntry(scope)}
}

// answered records an answer that took elapsed.
func (m *meter) answered(a *task.Answer, elapsed time.Duration) {
	m.metrics.Answered(a.State, a.Reason, elapsed)
	if a.State != task.Complete || a.Replayed || a.MaxRunTime <= 0 {
		return
	}
	m.metrics.QueueSeconds.RecordDuration(a.QueueTime)
	m.metrics.RunSeconds.RecordDuration(a.MaxRunTime)
	m.metrics.OverIdeal.RecordValue(elapsed.Seconds() / m.idealTime(a.MaxRunTime, elapsed).Seconds())
}

// idealTime returns the duration of the longest run plus one minimal round trip.
func (m *meter) idealTime(longest, elapsed time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if overhead := elapsed - longest; overhead > 0 && (m.minRoundTrip == 0 || overhead < m.minRoundTrip) {
		m.minRoundTrip = overhead
	}
	return longest + m.minRoundTrip
}

// report updates the metrics from a copy of the state. Only one goroutine may
// call it.
func (m *meter) report(v entry.View) {
	now := v.Stats
	m.metrics.Messages.Inc(int64(now.Sent + now.Received - m.reported.Sent - m.reported.Received))
	m.metrics.WastedMessages.Inc(int64(now.Wasted.Total() - m.reported.Wasted.Total()))
	m.metrics.Retries.Inc(int64(now.Retries - m.reported.Retries))
	m.metrics.EvacuatedTasks.Inc(int64(now.Evacuated - m.reported.Evacuated))
	m.metrics.PlacedTooSlow.Inc(int64(now.PlacedTooSlow - m.reported.PlacedTooSlow))
	m.metrics.WaitedForFaster.Inc(int64(now.WaitedForFaster - m.reported.WaitedForFaster))
	m.metrics.Shed.Inc(int64(now.Shed - m.reported.Shed))
	m.metrics.NoRoomForSubmissions.Inc(int64(now.NoRoomForSubmissions - m.reported.NoRoomForSubmissions))
	m.metrics.NoRoomForBytes.Inc(int64(now.NoRoomForBytes - m.reported.NoRoomForBytes))
	m.metrics.BytesInFlight.Update(float64(v.Bytes))
	m.metrics.GuiltyTasks.Inc(int64(now.GuiltyTasks - m.reported.GuiltyTasks))
	m.metrics.IsolatedTasks.Inc(int64(now.Isolated - m.reported.Isolated))
	m.metrics.ConfinedKinds.Update(float64(len(v.Confined)))
	m.metrics.Turnaround.Update(v.Turnaround.Seconds())
	m.reported = now
	waiting, credit, connected, evacuated := 0, 0, 0, 0
	for _, n := range v.Waiting {
		waiting += n
	}
	for _, a := range v.Agents {
		credit += a.Credit
		if a.Connected {
			connected++
		}
		if a.Evacuated {
			evacuated++
		}
	}
	m.metrics.Queue.Update(float64(waiting))
	m.metrics.Slots.Update(float64(credit))
	m.metrics.Connected.Update(float64(connected))
	m.metrics.Evacuated.Update(float64(evacuated))
	m.metrics.ConfigIndex.Update(float64(v.ConfigIndex))
	m.metrics.ConfigAge.Update(v.ConfigAge.Seconds())
}

// logBounds logs the bounds that refused submissions since the last report.
func (d *Daemon) logBounds(v entry.View, last entry.Stats) {
	submissions, bytes := v.Stats.NoRoomForSubmissions-last.NoRoomForSubmissions, v.Stats.NoRoomForBytes-last.NoRoomForBytes
	if submissions+bytes > 0 {
		d.log.Warn("a bound of this entry was reached", "in_flight", v.InFlight, "bytes", v.Bytes,
			"refused_for_submissions", submissions, "refused_for_bytes", bytes)
	}
}

// reportMetrics periodically updates the metrics and the isolation flag, and logs
// counts of refused requests and suppressed lines, until ctx ends.
func (d *Daemon) reportMetrics(ctx context.Context) {
	ticker, isolationTicker := time.NewTicker(metricsInterval), time.NewTicker(isolationCheckInterval)
	defer ticker.Stop()
	defer isolationTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-isolationTicker.C:
			if v, err := d.View(); err == nil {
				d.updateIsolation(v)
				d.updateShedding(v)
			}
			continue
		case <-ticker.C:
		}
		if n := d.unroutedRequests.Swap(0); n > 0 {
			d.log.Warn("requests refused", "reason", "no configuration yet", "count", n)
		}
		d.meter.metrics.HeldNow.Update(float64(d.holding.count()))
		for kind, n := range d.budget.Suppressed() {
			d.log.Warn("lines left out", "kind", kind, "count", n)
		}
		if n, used := d.room.takeRefused(); n > 0 {
			d.meter.metrics.NoRoomForBytes.Inc(int64(n))
			d.log.Warn("a bound of this entry was reached", "bytes", used, "limit", d.opts.MaxBytes, "refused_before_their_tasks_were_built", n)
		}
		if v, err := d.View(); err == nil {
			d.logBounds(v, d.meter.reported)
			d.meter.report(v)
		}
	}
}
