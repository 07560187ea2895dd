package raft_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/fireflytray/fireflytray/raft"
)

// Replicas under several concurrent faults accept, reject and answer requests
// like a single register without replication. Rapid draws the seed, the number
// of steps and the kinds of faults. The seed determines the rest, which keeps
// cases long and dense.
func TestMatchesReferenceRegister(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		voters := rapid.SampledFrom([]int{1, 3, 3, 3, 3, 5}).Draw(t, "voters")
		a := &driver{newSim(t, rapid.Uint64().Draw(t, "seed"), voters)}
		steps := rapid.IntRange(20, 500).Draw(t, "steps")
		var picks []action
		for _, act := range actions {
			if act.always || rapid.IntRange(0, 3).Draw(t, act.name) > 0 {
				picks = append(picks, slices.Repeat([]action{act}, act.weight)...)
			}
		}
		a.advance(2 * time.Second)
		for range steps {
			picks[a.rng.IntN(len(picks))].do(a)
			a.checkLogs()
		}
		a.checkRecovery()
	})
}

// action is an operation or a fault. It occurs in proportion to its weight, in
// every case if always is set.
type action struct {
	name   string
	weight int
	always bool
	do     func(*driver)
}

var actions = []action{
	{"pass a little", 30, true, func(a *driver) { a.advance(a.randomDuration(0, 30*time.Millisecond)) }},
	{"pass", 10, true, func(a *driver) { a.advance(a.randomDuration(0, 800*time.Millisecond)) }},
	{"write", 30, true, (*driver).writeLeader},
	{"write anywhere", 3, true, func(a *driver) { a.onRunning(a.write) }},
	{"read", 6, true, func(a *driver) { a.onRunning(a.read) }},
	{"restart", 12, true, (*driver).restart},
	{"heal", 4, true, func(a *driver) { a.healNetwork() }},
	{"crash", 4, false, func(a *driver) { a.onRunning((*host).crash) }},
	{"crash leader", 2, false, func(a *driver) { a.onLeader((*host).crash) }},
	{"power cut", 1, false, (*driver).powerCut},
	{"network", 3, false, (*driver).network},
	{"partition", 3, false, (*driver).partition},
	{"cut off leader", 2, false, func(a *driver) { a.onLeader(func(h *host) { a.partitions[h.id] = 1 }) }},
	{"cut link", 4, false, (*driver).cutLink},
	{"freeze", 1, false, func(a *driver) { a.onRunning(func(h *host) { h.frozen = true }) }},
	{"freeze leader", 1, false, func(a *driver) { a.onLeader(func(h *host) { h.frozen = true }) }},
	{"snapshot", 4, false, func(a *driver) { a.onRunning((*host).snapshot) }},
	{"transfer", 1, false, (*driver).transfer},
	{"lose disk", 1, false, (*driver).loseDisk},
	{"add", 2, false, (*driver).add},
	{"promote", 3, false, (*driver).promote},
	{"remove", 2, false, (*driver).remove},
}

// driver executes actions on the hosts.
type driver struct{ *sim }

// onRunning calls do with a random running host, if there is one.
func (a *driver) onRunning(do func(*host)) {
	var running []*host
	for _, h := range a.hosts {
		if h.node != nil && !h.frozen {
			running = append(running, h)
		}
	}
	if len(running) > 0 {
		do(running[a.rng.IntN(len(running))])
	}
}

// onLeader calls do with the running leader of the highest term, if there is
// one.
func (a *driver) onLeader(do func(*host)) {
	if l := a.leader(); l != nil {
		l.node.Tick(l.now())
		do(l)
	}
}

func (a *driver) writeLeader() {
	for range 1 + a.rng.IntN(4) {
		a.onLeader(a.write)
	}
}

func (a *driver) powerCut() {
	for _, h := range a.hosts {
		if h.node != nil {
			h.crash()
		}
	}
	for _, h := range a.hosts {
		if !h.diskLost {
			h.start(nil)
		}
	}
}

func (a *driver) network() {
	a.dropPercent = []int{0, 5, 30}[a.rng.IntN(3)]
	a.duplicatePercent = []int{0, 20}[a.rng.IntN(2)]
	a.maxDelay = []time.Duration{2, 50, 400}[a.rng.IntN(3)] * time.Millisecond
}

func (a *driver) partition() {
	for _, h := range a.hosts {
		a.partitions[h.id] = a.rng.IntN(2)
	}
}

// cutLink cuts a random link in one or both directions.
func (a *driver) cutLink() {
	x, y := a.hosts[a.rng.IntN(len(a.hosts))].id, a.hosts[a.rng.IntN(len(a.hosts))].id
	a.cutLinks[link{x, y}] = true
	if a.rng.IntN(2) == 0 {
		a.cutLinks[link{y, x}] = true
	}
}

// restart restarts or unfreezes one host that is down or frozen.
func (a *driver) restart() {
	from := a.rng.IntN(len(a.hosts))
	for i := range a.hosts {
		h := a.hosts[(from+i)%len(a.hosts)]
		switch {
		case h.diskLost:
		case h.node == nil:
			h.start(nil)
			return
		case h.frozen:
			h.unfreeze()
			return
		}
	}
}

func (a *driver) transfer() {
	a.onLeader(func(l *host) {
		l.node.Transfer(raft.None)
		l.processReady()
	})
}

// lossDetectionDelay is the time after the loss of a host during which no
// operator acts. It exceeds the election timeout, within which a leader can't
// detect the loss.
const lossDetectionDelay = time.Second

// loseDisk removes a host permanently and adds an empty one in its place, unless
// some membership would be left without a quorum.
func (a *driver) loseDisk() {
	h := a.hosts[a.rng.IntN(len(a.hosts))]
	if h.diskLost || !a.quorumsSurviveLoss(h) {
		return
	}
	if h.node != nil {
		h.crash()
	}
	h.diskLost = true
	a.addHost().start(nil)
	a.advance(lossDetectionDelay)
}

// quorumsSurviveLoss reports whether every membership keeps a quorum without a
// host.
func (a *driver) quorumsSurviveLoss(lost *host) bool {
	for _, h := range a.hosts {
		if h.diskLost {
			continue
		}
		if h.node == nil {
			return false
		}
		remaining, total := 0, 0
		for _, m := range h.node.Members() {
			if !m.Voter {
				continue
			}
			total++
			if o := a.find(m.ID); !o.diskLost && o != lost {
				remaining++
			}
		}
		if total > 0 && remaining < total/2+1 {
			return false
		}
	}
	return true
}

func (a *driver) add() {
	a.onLeader(func(l *host) {
		for _, h := range a.hosts {
			if !h.diskLost {
				l.node.ProposeChange(raft.Change{Kind: raft.AddLearner, ID: h.id, Addr: "new"})
			}
		}
		l.processReady()
	})
}

// promote proposes the promotion of every learner, even before it has caught up.
// A learner whose promotion is accepted must durably hold every write whose
// acceptance was reported to a client.
func (a *driver) promote() {
	a.onLeader(func(l *host) {
		for _, m := range l.node.Members() {
			if m.Voter {
				continue
			}
			_, _, err := l.node.ProposeChange(raft.Change{Kind: raft.Promote, ID: m.ID})
			if err == nil && a.hasNewestTerm(l) {
				require.GreaterOrEqual(a.t, a.find(m.ID).durableIndex, a.oracle.highestAccepted, "a learner was promoted early")
			}
		}
		l.processReady()
	})
}

// hasNewestTerm reports whether no running host has a later term than l.
func (a *driver) hasNewestTerm(l *host) bool {
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

// remove proposes the removal of every member whose disk is lost.
func (a *driver) remove() {
	a.onLeader(func(l *host) {
		for _, m := range l.node.Members() {
			if a.find(m.ID).diskLost {
				l.node.ProposeChange(raft.Change{Kind: raft.Remove, ID: m.ID})
			}
		}
		l.processReady()
	})
}
