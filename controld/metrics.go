package controld

import (
	"github.com/uber-go/tally/v4"

	"github.com/fireflytray/fireflytray/control"
	"github.com/fireflytray/fireflytray/wire"
)

// hostMetrics are the metrics of a control host.
type hostMetrics struct {
	configIndex, fresh, applied, sessions tally.Gauge
	accepted, refused                     tally.Counter
	evacuatedDomains                      tally.Gauge
	ordersAccepted, ordersRefused         tally.Counter
	claims                                map[wire.ClaimState]tally.Counter
}

// claimStateTags maps each claim state to its value of the metric tag state.
var claimStateTags = map[wire.ClaimState]string{
	wire.ClaimGranted: "granted", wire.ClaimPending: "pending", wire.ClaimDone: "done",
	wire.ClaimMismatch: "mismatch", wire.ClaimUnavailable: "unavailable",
}

func newHostMetrics(scope tally.Scope) *hostMetrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	scope = scope.SubScope("control")
	m := &hostMetrics{
		configIndex: scope.Gauge("config_index"),
		fresh:       scope.Gauge("fresh"),
		applied:     scope.Gauge("log_applied"),
		sessions:    scope.Gauge("sessions"),
		accepted:    scope.Counter("changes_accepted"),
		refused:     scope.Counter("changes_refused"),
		claims:      map[wire.ClaimState]tally.Counter{},

		evacuatedDomains: scope.Gauge("evacuated_domains"),
		ordersAccepted:   scope.Counter("evacuation_orders_accepted"),
		ordersRefused:    scope.Counter("evacuation_orders_refused"),
	}
	for state, name := range claimStateTags {
		m.claims[state] = scope.Tagged(map[string]string{"state": name}).Counter("claims")
	}
	return m
}

// setGauges updates the gauges from the current state.
func (m *hostMetrics) setGauges(machine *control.Machine, sessions int, fresh bool) {
	m.configIndex.Update(float64(machine.Stamp().Index))
	m.applied.Update(float64(machine.Index()))
	m.sessions.Update(float64(sessions))
	m.evacuatedDomains.Update(float64(len(machine.Evacuations())))
	value := 0.0
	if fresh {
		value = 1
	}
	m.fresh.Update(value)
}

// countClaim counts the answer to a claim by its state.
func (m *hostMetrics) countClaim(state wire.ClaimState) {
	if c, ok := m.claims[state]; ok {
		c.Inc(1)
	}
}

// countChange counts an operator's change as accepted or refused.
func (m *hostMetrics) countChange(accepted bool) {
	if accepted {
		m.accepted.Inc(1)
		return
	}
	m.refused.Inc(1)
}

// countEvacuation counts an order for a failure domain as accepted or refused.
func (m *hostMetrics) countEvacuation(accepted bool) {
	if accepted {
		m.ordersAccepted.Inc(1)
		return
	}
	m.ordersRefused.Inc(1)
}
