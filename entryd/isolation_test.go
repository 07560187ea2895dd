package entryd

import (
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/entry"
)

// An entry that is not connected to most of its known agents sheds connections,
// and accepts them again once it is reconnected. An entry without known agents
// accepts them.
func TestIsolatedEntryShedsConnections(t *testing.T) {
	d := New(Options{Log: log.New(io.Discard)})
	d.configured.Store(true)
	agents := func(connected, lost int) (v entry.View) {
		for range connected {
			v.Agents = append(v.Agents, entry.AgentView{Connected: true})
		}
		for range lost {
			v.Agents = append(v.Agents, entry.AgentView{})
		}
		return v
	}
	for _, c := range []struct {
		connected, lost int
		accepts         bool
	}{{0, 0, true}, {8, 0, true}, {4, 4, true}, {3, 5, false}, {0, 8, false}, {5, 3, true}} {
		d.updateIsolation(agents(c.connected, c.lost))
		require.Equal(t, c.accepts, d.Accepting(), "%d connected, %d lost", c.connected, c.lost)
		require.Equal(t, !c.accepts, d.ShedsConnections())
	}
}

// An entry that reaches half of the agents, but can't get the locks of many jobs, served
// half of its callers while others could have served all.
func TestEntryThatCannotLockJobsShedsConnections(t *testing.T) {
	d := New(Options{Log: log.New(io.Discard)})
	d.configured.Store(true)
	for unlockable, accepts := range map[float64]bool{0: true, 0.05: true, 0.15: false, 0.42: false} {
		d.updateIsolation(entry.View{Unlockable: unlockable, Agents: []entry.AgentView{{Connected: true}, {Connected: true}, {}}})
		require.Equal(t, accepts, d.Accepting(), "%v", unlockable)
		require.Equal(t, !accepts, d.ShedsConnections())
	}
}
