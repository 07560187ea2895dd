package entryd

import (
	"time"

	"github.com/fireflytray/fireflytray/entry"
)

// isolationCheckInterval is how often the entry checks whether most agents are
// connected. A lost connection is detected in about the same time.
const isolationCheckInterval = 250 * time.Millisecond

// ShedsConnections reports whether the caller that is answered next should use
// another entry, because this one is draining, not connected to most agents, or short
// of processor or link.
func (d *Daemon) ShedsConnections() bool { return d.withdrawn() || d.shedding.next() }

// withdrawn reports whether all callers should use another entry.
func (d *Daemon) withdrawn() bool { return d.draining.Load() || d.isolated.Load() }

// updateShedding takes the measured turnaround from the state.
func (d *Daemon) updateShedding(v entry.View) {
	if d.shedding.update(d.loop.Now(), v.Turnaround) {
		d.log.Info("short of processor or link", "short", d.shedding.short.Load(), "turnaround", v.Turnaround, "above", d.shedding.above, "in_flight", v.InFlight)
	}
}

// updateIsolation sets the isolation flag if fewer than half of the known agents
// are connected. If the agents themselves are down, every entry counts as
// isolated, and the load balancer then uses all of them.
func (d *Daemon) updateIsolation(v entry.View) {
	connected := 0
	for _, a := range v.Agents {
		if a.Connected {
			connected++
		}
	}
	isolated := 2*connected < len(v.Agents)
	if isolated == d.isolated.Swap(isolated) {
		return
	}
	if isolated {
		d.log.Warn("most agents are not connected", "connected", connected, "known", len(v.Agents))
	} else {
		d.log.Info("most agents are connected again", "connected", connected, "known", len(v.Agents))
	}
}
