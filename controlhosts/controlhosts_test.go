package controlhosts

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/fireflytray/fireflytray/internal/propertytest"
)

func TestMain(m *testing.M) {
	propertytest.Main(m, propertytest.Defaults{Seed: 20261205, Steps: 60})
}

// network drives a Set among control hosts that come and go. Dials take no time; a
// reachable control host lists those that run, itself left out.
type network struct {
	set *Set
	now time.Duration
	// running holds the control hosts that run; cut those that run unreachably, and
	// stale those without a quorum.
	running, cut, stale map[string]bool
	tried, open         map[string]bool
}

func newNetwork(limit int, configured ...string) *network {
	n := &network{
		set: New("agent-1", limit), running: map[string]bool{}, cut: map[string]bool{}, stale: map[string]bool{},
		tried: map[string]bool{}, open: map[string]bool{},
	}
	for _, addr := range configured {
		n.running[addr] = true
	}
	n.step(Event{Configured: &Configured{configured}})
	return n
}

func (n *network) step(ev Event) {
	connect, drop := n.set.Step(n.now, ev)
	for _, addr := range drop {
		delete(n.tried, addr)
		delete(n.open, addr)
	}
	for _, addr := range connect {
		n.tried[addr] = true
	}
}

// settle opens and closes connections and lists hosts, in as many rounds as it takes for
// a host that is listed to be connected and to list others.
func (n *network) settle() {
	for range 4 {
		for addr := range n.open {
			if !n.running[addr] || n.cut[addr] {
				delete(n.open, addr)
				n.step(Event{Closed: &Closed{addr}})
			}
		}
		for addr := range n.tried {
			if n.running[addr] && !n.cut[addr] && !n.open[addr] {
				n.open[addr] = true
				n.step(Event{Opened: &Opened{addr}})
			}
		}
		informed := false
		for addr := range n.open {
			n.step(Event{Quorum: &Quorum{addr, !n.stale[addr]}})
			informed = informed || !n.stale[addr]
		}
		n.step(Event{Informed: &Informed{informed}})
		if len(n.open) > 0 {
			n.step(Event{Listed: &Listed{n.listed()}})
		}
	}
}

// listed returns what the reachable control hosts list together.
func (n *network) listed() []string {
	var out []string
	for addr := range n.running {
		if len(n.open) > 1 || !n.open[addr] {
			out = append(out, addr)
		}
	}
	slices.Sort(out)
	return out
}

func (n *network) advance(d time.Duration) {
	for end := n.now + d; n.now < end; {
		n.now += min(time.Second, end-n.now)
		n.step(Event{})
		n.settle()
	}
}

// selected returns the addresses to which connections are kept or tried, sorted.
func (n *network) selected() []string { return slices.Sorted(maps.Keys(n.tried)) }

// A process whose configured control hosts were all replaced must be connected to the
// ones that took their place, and give back the connections to those that are gone.
func TestReplacedControlHostsAreLearntAndForgotten(t *testing.T) {
	n := newNetwork(3, "a0", "b0", "c0")
	n.settle()
	for i := range 100 {
		zone := string("abc"[i%3])
		delete(n.running, fmt.Sprint(zone, i/3))
		n.running[fmt.Sprint(zone, i/3+1)] = true
		n.advance(10 * time.Second)
		require.Len(t, n.open, 3, "after replacement %d", i)
		require.LessOrEqual(t, len(n.tried), 3+int(forgetAfter/(10*time.Second)))
		require.LessOrEqual(t, len(n.set.hosts), 3+3+maxRemembered)
	}
	n.advance(2 * forgetAfter)
	require.Len(t, n.tried, 3, "hosts that are gone are not tried")
}

// A process that is cut off from all control hosts must keep trying all that it knows,
// whatever time passes, and reach the ones that are there when the cut ends.
func TestProcessThatIsCutOffForgetsNothing(t *testing.T) {
	n := newNetwork(3, "a0", "b0", "c0")
	n.settle()
	delete(n.running, "a0")
	n.running["a1"] = true
	n.advance(2 * forgetAfter)
	require.NotContains(t, n.tried, "a0")
	for _, addr := range []string{"a1", "b0", "c0"} {
		n.cut[addr] = true
	}
	n.advance(time.Hour)
	require.Empty(t, n.open)
	require.Subset(t, n.selected(), []string{"a0", "a1", "b0", "c0"})
	clear(n.cut)
	delete(n.running, "b0")
	delete(n.running, "c0")
	n.settle()
	require.Contains(t, n.open, "a1")
}

// A control host without a quorum can't tell that another one is gone for good.
func TestHostWithoutQuorumMakesNothingForgotten(t *testing.T) {
	n := newNetwork(3, "a0", "b0", "c0")
	n.settle()
	delete(n.running, "a0")
	n.stale["b0"], n.stale["c0"] = true, true
	n.advance(time.Hour)
	require.Contains(t, n.tried, "a0")
	clear(n.stale)
	n.advance(2 * forgetAfter)
	require.NotContains(t, n.tried, "a0")
	require.Len(t, n.open, 2)
}

// A process keeps connections to limit hosts of a large deployment, takes up another one
// while one of them is unreachable or has no quorum, and gives it back afterwards.
func TestConnectionsAreLimited(t *testing.T) {
	configured := []string{"c0", "c1", "c2"}
	n := newNetwork(3, configured...)
	for i := range 25 {
		n.running[fmt.Sprint("c", i)] = true
	}
	n.settle()
	require.Len(t, n.open, 3)
	n.cut["c0"] = true
	n.advance(replaceAfter + time.Second)
	require.Len(t, n.open, 3)
	n.stale["c1"] = true
	n.advance(replaceAfter + time.Second)
	require.Len(t, n.open, 4)
	clear(n.cut)
	clear(n.stale)
	n.advance(time.Second)
	require.Subset(t, n.selected(), configured)
	n.advance(2 * forgetAfter)
	require.Equal(t, configured, n.selected())
	for i := range 25 {
		n.stale[fmt.Sprint("c", i)] = true
	}
	n.advance(time.Hour)
	require.LessOrEqual(t, len(n.tried), 6)
}

// Settings that are read again may name the only control hosts that can be reached.
func TestNewSettingsAreTriedAtOnce(t *testing.T) {
	n := newNetwork(3, "a0", "b0", "c0")
	n.settle()
	clear(n.running)
	n.running["d0"] = true
	n.advance(time.Minute)
	require.Empty(t, n.open)
	n.step(Event{Configured: &Configured{[]string{"d0"}}})
	n.settle()
	require.Contains(t, n.open, "d0")
}

// In any order of replacements, restarts, losses, cuts and losses of the quorum, a
// process is connected to each control host of its limit that it can hear of, within the
// time after which it tries another one, and what it tries and knows stays bounded.
func TestProcessStaysConnectedInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const limit = 3
		n := newNetwork(limit, "h0", "h1", "h2")
		next := 3
		n.settle()
		pick := func(of map[string]bool) string {
			var list []string
			for addr := range of {
				list = append(list, addr)
			}
			slices.Sort(list)
			return rapid.SampledFrom(list).Draw(rt, "host")
		}
		rt.Repeat(map[string]func(*rapid.T){
			"replace": func(*rapid.T) {
				old := pick(n.running)
				n.running[fmt.Sprint("h", next)] = true
				next++
				n.settle()
				delete(n.running, old)
				delete(n.cut, old)
				n.settle()
			},
			"restart": func(*rapid.T) {
				addr := pick(n.running)
				delete(n.running, addr)
				n.advance(time.Duration(rapid.Int64Range(0, int64(4*forgetAfter)).Draw(rt, "down")))
				n.running[addr] = true
				n.settle()
			},
			"cut": func(*rapid.T) {
				if len(n.cut) < len(n.running)-1 {
					n.cut[pick(n.running)] = true
				}
				n.settle()
			},
			"heal":  func(*rapid.T) { clear(n.cut); n.settle() },
			"stale": func(*rapid.T) { n.stale[pick(n.running)] = true; n.settle() },
			"fresh": func(*rapid.T) { clear(n.stale); n.settle() },
			"wait": func(*rapid.T) {
				n.advance(time.Duration(rapid.Int64Range(0, int64(2*forgetAfter)).Draw(rt, "time")))
			},
			"settings": func(*rapid.T) { n.step(Event{Configured: &Configured{[]string{pick(n.running)}}}); n.settle() },
			"": func(rt *rapid.T) {
				require.LessOrEqual(rt, len(n.set.hosts), len(n.running)+3+maxRemembered)
				n.advance(2*replaceAfter + time.Second)
				reachable := 0
				for addr := range n.running {
					if !n.cut[addr] {
						reachable++
					}
				}
				require.GreaterOrEqual(rt, len(n.open), min(1, reachable))
				if len(n.cut)+len(n.stale) == 0 {
					require.GreaterOrEqual(rt, len(n.open), min(limit, reachable))
				}
			},
		})
	})
}
