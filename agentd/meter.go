package agentd

import (
	"github.com/uber-go/tally/v4"

	"github.com/fireflytray/fireflytray/agent"
	"github.com/fireflytray/fireflytray/metrics"
	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// meter holds the agent's metrics. Only the agent's loop uses them, except for
// cutOff, which the loop of LeasedRunner increments, and stopCalls, which its calls
// increment.
type meter struct {
	scope    tally.Scope
	slots    tally.Gauge
	open     tally.Gauge
	idle     tally.Gauge
	running  tally.Gauge
	queued   tally.Gauge
	reports  tally.Counter
	outcomes map[outcomeKind]tally.Counter
	ran      tally.Histogram
	waited   tally.Histogram
	// cutOff counts runs at a leased upstream that were terminated because their
	// lease expired or the upstream ended.
	cutOff tally.Counter
	// stopCalls counts the calls that stop a run at a leased upstream, by result.
	stopCalls map[string]tally.Counter
	stops     map[task.Reason]tally.Counter
	// crashes counts crashes of upstreams by what became known of them.
	crashes map[wire.CrashState]tally.Counter
	// evacuated is 1 while the agent's failure domain is evacuated.
	evacuated tally.Gauge
	// boundReached counts the times at which what the agent holds was found to have
	// reached its bound, heldBytes is that size.
	boundReached tally.Counter
	heldBytes    tally.Gauge
}

type outcomeKind struct {
	state  task.State
	reason task.Reason
}

func newMeter(scope tally.Scope) *meter {
	scope = scope.SubScope("agent")
	return &meter{
		scope:    scope,
		slots:    scope.Gauge("slots"),
		open:     scope.Gauge("upstream_connections"),
		idle:     scope.Gauge("upstream_connections_idle"),
		running:  scope.Gauge("running"),
		queued:   scope.Gauge("queued"),
		reports:  scope.Counter("reports"),
		outcomes: make(map[outcomeKind]tally.Counter),
		ran:      metrics.DurationHistogram(scope, "run_seconds"),
		waited:   metrics.DurationHistogram(scope, "queue_seconds"),
		cutOff:   scope.Counter("runs_cut_off"),

		stopCalls: stopCallCounters(scope),
		stops:     make(map[task.Reason]tally.Counter),
		crashes:   crashCounters(scope),
		evacuated: scope.Gauge("evacuated"),

		boundReached: scope.Counter("bound_reached"),
		heldBytes:    scope.Gauge("held_bytes_at_bound"),
	}
}

func stopCallCounters(scope tally.Scope) map[string]tally.Counter {
	counters := make(map[string]tally.Counter)
	for _, result := range []string{stopAccepted, stopRefused, stopUnanswered} {
		counters[result] = scope.Tagged(map[string]string{"result": result}).Counter("stop_calls")
	}
	return counters
}

func crashCounters(scope tally.Scope) map[wire.CrashState]tally.Counter {
	counters := make(map[wire.CrashState]tally.Counter)
	for _, state := range []wire.CrashState{wire.CrashSuspected, wire.CrashConfirmed, wire.CrashWithdrawn} {
		counters[state] = scope.Tagged(map[string]string{"state": state.String()}).Counter("upstream_crashes")
	}
	return counters
}

func (m *meter) recordCrash(s wire.CrashState) { m.crashes[s].Inc(1) }

func (m *meter) recordWorker(w wire.Worker) { m.slots.Update(float64(w.Slots)) }

func (m *meter) recordEvacuation(e agent.Evacuation) {
	active := 0.0
	if e.Active {
		active = 1
	}
	m.evacuated.Update(active)
}

// recordBound counts a time at which what the agent holds has reached its bound.
func (m *meter) recordBound(b agent.BoundReached) {
	m.boundReached.Inc(1)
	m.heldBytes.Update(float64(b.Bytes))
}

func (m *meter) recordConnections(open, idle int) {
	m.open.Update(float64(open))
	m.idle.Update(float64(idle))
}

func (m *meter) recordReport(r *wire.Report) {
	m.reports.Inc(1)
	m.running.Update(float64(r.Running))
	m.queued.Update(float64(r.Queued))
	for i := range r.Outcomes {
		m.recordOutcome(&r.Outcomes[i])
	}
}

func (m *meter) recordOutcome(r *wire.Result) {
	k := outcomeKind{r.Outcome.State, r.Outcome.Reason}
	c, ok := m.outcomes[k]
	if !ok {
		c = m.scope.Tagged(map[string]string{
			"state":  k.state.String(),
			"reason": string(k.reason),
		}).Counter("outcomes")
		m.outcomes[k] = c
	}
	c.Inc(1)
	if k.state == task.Complete {
		m.ran.RecordDuration(r.Outcome.Ran)
		m.waited.RecordDuration(r.WaitTime)
	}
}

// recordStop counts a run that is requested to stop.
func (m *meter) recordStop(reason task.Reason) {
	c, ok := m.stops[reason]
	if !ok {
		c = m.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("runs_stopped")
		m.stops[reason] = c
	}
	c.Inc(1)
}
