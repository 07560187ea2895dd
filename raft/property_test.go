package raft_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/fireflytray/fireflytray/raft"
)

// Replicas under every fault together accept, refuse and answer as a naive
// single copy does.
func TestMatchesNaiveRegister(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		voters := rapid.SampledFrom([]int{1, 3, 3, 3, 5}).Draw(t, "voters")
		a := &actor{newSim(t, rapid.Uint64().Draw(t, "seed"), voters)}
		a.advance(2 * time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"":          func(*rapid.T) { a.checkLogs() },
			"pass":      a.pass,
			"pass more": a.pass,
			"write":     a.writeSome,
			"read":      a.readSome,
			"network":   a.network,
			"partition": a.partition,
			"heal":      func(*rapid.T) { clear(a.groups) },
			"crash":     a.crash,
			"restart":   a.restart,
			"freeze":    a.freeze,
			"snapshot":  a.snapshot,
			"transfer":  a.transfer,
			"lose disk": a.loseDisk,
			"add":       a.add,
			"promote":   a.promote,
			"remove":    a.remove,
		})
		a.settle()
	})
}

// actor draws what happens to the hosts.
type actor struct{ *sim }

// up draws a host that runs.
func (a *actor) up(t *rapid.T) *host {
	var up []*host
	for _, h := range a.hosts {
		if h.node != nil && !h.frozen {
			up = append(up, h)
		}
	}
	if len(up) == 0 {
		t.Skip("no host is up")
	}
	return rapid.SampledFrom(up).Draw(t, "host")
}

// led returns the leader or skips.
func (a *actor) led(t *rapid.T) *host {
	l := a.leader()
	if l == nil {
		t.Skip("no leader")
	}
	l.node.Tick(l.now())
	return l
}

func (a *actor) pass(t *rapid.T) {
	ms := rapid.IntRange(1, 1500).Draw(t, "ms")
	a.advance(time.Duration(ms) * time.Millisecond)
}

func (a *actor) writeSome(t *rapid.T) {
	for range rapid.IntRange(1, 5).Draw(t, "count") {
		if l := a.leader(); l != nil && rapid.Bool().Draw(t, "leader") {
			a.write(l)
		} else {
			a.write(a.up(t))
		}
		a.advance(time.Duration(rapid.IntRange(0, 10).Draw(t, "ms")) * time.Millisecond)
	}
}

func (a *actor) readSome(t *rapid.T) { a.read(a.up(t)) }

func (a *actor) network(t *rapid.T) {
	a.drop = rapid.SampledFrom([]int{0, 5, 30}).Draw(t, "drop")
	a.double = rapid.SampledFrom([]int{0, 20}).Draw(t, "double")
	a.slow = time.Duration(rapid.SampledFrom([]int{2, 50, 400}).Draw(t, "slow")) * time.Millisecond
}

func (a *actor) partition(t *rapid.T) {
	for _, h := range a.hosts {
		a.groups[h.id] = rapid.IntRange(0, 1).Draw(t, "group")
	}
}

func (a *actor) crash(t *rapid.T) { a.up(t).crash() }

func (a *actor) restart(t *rapid.T) {
	for _, h := range a.hosts {
		switch {
		case h.lost:
		case h.node == nil:
			h.boot(nil)
			return
		case h.frozen:
			h.thaw()
			return
		}
	}
}

func (a *actor) freeze(t *rapid.T) { a.up(t).frozen = true }

func (a *actor) snapshot(t *rapid.T) { a.up(t).snapshot() }

func (a *actor) transfer(t *rapid.T) {
	l := a.led(t)
	l.node.Transfer(raft.None)
	l.pump()
}

// noticed is how long after the loss of a host no operator acts: a leader
// can't tell a loss within its election timeout.
const noticed = 700 * time.Millisecond

// loseDisk takes a host away for good and puts an empty one in its place,
// unless that would leave some membership without a majority.
func (a *actor) loseDisk(t *rapid.T) {
	h := rapid.SampledFrom(a.hosts).Draw(t, "host")
	if h.lost || !a.spares(h) {
		t.Skip("the host is needed")
	}
	if h.node != nil {
		h.crash()
	}
	h.lost = true
	a.addHost().boot(nil)
	a.advance(noticed)
}

// spares says whether every membership keeps a majority without a host.
func (a *actor) spares(gone *host) bool {
	for _, h := range a.hosts {
		if h.lost {
			continue
		}
		if h.node == nil {
			return false
		}
		have, all := 0, 0
		for _, m := range h.node.Members() {
			if !m.Voter {
				continue
			}
			all++
			if o := a.find(m.ID); !o.lost && o != gone {
				have++
			}
		}
		if all > 0 && have < all/2+1 {
			return false
		}
	}
	return true
}

func (a *actor) add(t *rapid.T) {
	l := a.led(t)
	for _, h := range a.hosts {
		if !h.lost {
			l.node.ProposeChange(raft.Change{Kind: raft.AddLearner, ID: h.id, Addr: "new"})
		}
	}
	l.pump()
}

// promote asks for the promotion of every learner, also too early. One that is
// accepted must durably hold all that clients were told is accepted.
func (a *actor) promote(t *rapid.T) {
	l := a.led(t)
	for _, m := range l.node.Members() {
		if m.Voter {
			continue
		}
		_, _, err := l.node.ProposeChange(raft.Change{Kind: raft.Promote, ID: m.ID})
		if err == nil && a.leads(l) {
			h := a.find(m.ID)
			require.GreaterOrEqual(t, h.durable, a.truth.highest, "a learner was promoted early")
		}
	}
	l.pump()
}

// leads says whether no host has gone on to a later term.
func (a *actor) leads(l *host) bool {
	_, term, _ := l.node.Role()
	for _, h := range a.hosts {
		if h.node == nil {
			continue
		}
		if _, other, _ := h.node.Role(); other > term {
			return false
		}
	}
	return true
}

// remove drops the members whose disks are lost.
func (a *actor) remove(t *rapid.T) {
	l := a.led(t)
	for _, m := range l.node.Members() {
		if a.find(m.ID).lost {
			l.node.ProposeChange(raft.Change{Kind: raft.Remove, ID: m.ID})
		}
	}
	l.pump()
}
