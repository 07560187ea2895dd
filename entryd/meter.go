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

// meterInterval is how often the state is copied to the metrics.
const meterInterval = time.Second

// meter reports what an entry does.
type meter struct {
	out *metrics.Entry

	mu sync.Mutex
	// roundTrip is the least time beyond the longest run that a complete
	// answer took; zero until there was one.
	roundTrip time.Duration
	// last is what the counters were told so far.
	last entry.Stats
}

func newMeter(scope tally.Scope) *meter {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &meter{out: metrics.NewEntry(scope)}
}

// answered counts an answer that took elapsed.
func (m *meter) answered(a *task.Answer, elapsed time.Duration) {
	m.out.Answered(a.State, a.Reason, elapsed)
	if a.State != task.Complete || a.Replayed || a.MaxRunTime <= 0 {
		return
	}
	m.out.QueueSeconds.RecordDuration(a.QueueTime)
	m.out.RunSeconds.RecordDuration(a.MaxRunTime)
	m.out.OverIdeal.RecordValue(elapsed.Seconds() / m.ideal(a.MaxRunTime, elapsed).Seconds())
}

// ideal is the longest run and one round trip.
func (m *meter) ideal(longest, elapsed time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if over := elapsed - longest; over > 0 && (m.roundTrip == 0 || over < m.roundTrip) {
		m.roundTrip = over
	}
	return longest + m.roundTrip
}

// view reports a copy of the state. It is used by one goroutine.
func (m *meter) view(v entry.View) {
	now := v.Stats
	m.out.Messages.Inc(int64(now.Sent + now.Received - m.last.Sent - m.last.Received))
	m.out.WastedMessages.Inc(int64(now.Wasted.Total() - m.last.Wasted.Total()))
	m.out.Retries.Inc(int64(now.Retries - m.last.Retries))
	m.last = now
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
	m.out.Queue.Update(float64(waiting))
	m.out.Slots.Update(float64(credit))
	m.out.Connected.Update(float64(connected))
	m.out.ConfigIndex.Update(float64(v.ConfigIndex))
	m.out.ConfigAge.Update(v.ConfigAge.Seconds())
}

// reportState reports the state until ctx ends.
func (d *Daemon) reportState(ctx context.Context) {
	ticker, reach := time.NewTicker(meterInterval), time.NewTicker(reachInterval)
	defer ticker.Stop()
	defer reach.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reach.C:
			if v, err := d.View(); err == nil {
				d.judgeReach(v)
			}
			continue
		case <-ticker.C:
		}
		if n := d.unrouted.Swap(0); n > 0 {
			d.log.Warn("requests refused", "reason", "no configuration yet", "count", n)
		}
		for kind, n := range d.budget.LeftOut() {
			d.log.Warn("lines left out", "kind", kind, "count", n)
		}
		if v, err := d.View(); err == nil {
			d.meter.view(v)
		}
	}
}
