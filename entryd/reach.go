package entryd

import (
	"time"

	"github.com/fireflytray/fireflytray/entry"
)

// isolationCheckInterval is how often the entry judges whether most agents are in reach;
// a connection falls silent in about the same time.
const isolationCheckInterval = 250 * time.Millisecond

// TurnsAway says that callers are better served by another entry: the process
// ends, or most agents are out of its reach.
func (d *Daemon) TurnsAway() bool { return d.draining.Load() || d.isolated.Load() }

// updateIsolation compares the agents that are connected with those that are known.
// Where agents are really gone, every entry judges the same, and the balancer
// uses them all.
func (d *Daemon) updateIsolation(v entry.View) {
	connected := 0
	for _, a := range v.Agents {
		if a.Connected {
			connected++
		}
	}
	cutOff := 2*connected < len(v.Agents)
	if cutOff == d.isolated.Swap(cutOff) {
		return
	}
	if cutOff {
		d.log.Warn("most agents are out of reach", "connected", connected, "known", len(v.Agents))
	} else {
		d.log.Info("most agents are in reach again", "connected", connected, "known", len(v.Agents))
	}
}
