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

// maxUnlockable is the share of jobs whose locks an entry can't get from which it sheds
// its connections. With one agent lost there are none.
const maxUnlockable = 0.1

// updateIsolation sets the isolation flag if fewer than half of the known agents are
// connected, or if too many jobs can't get their locks. If the agents themselves are
// down, every entry counts as isolated, and the load balancer then uses all of them.
//
// The load pattern that it answers is that of a cut between some entries and some agents:
// an entry that reaches half of them serves half of its callers, and others serve all.
func (d *Daemon) updateIsolation(v entry.View) {
	connected := 0
	for _, a := range v.Agents {
		if a.Connected {
			connected++
		}
	}
	isolated := 2*connected < len(v.Agents) || v.Unlockable > maxUnlockable
	if isolated == d.isolated.Swap(isolated) {
		return
	}
	if isolated {
		d.log.Warn("cut off from too many agents", "connected", connected, "known", len(v.Agents), "unlockable", v.Unlockable)
	} else {
		d.log.Info("enough agents are connected again", "connected", connected, "known", len(v.Agents), "unlockable", v.Unlockable)
	}
}
