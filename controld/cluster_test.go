package controld

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/control"
	"github.com/fireflytray/fireflytray/keys"
	"github.com/fireflytray/fireflytray/wire"
)

// The ports of control hosts are below the ephemeral port range, so that no
// outgoing connection takes the port of a stopped host, and apart from those of package
// e2e, whose tests run at the same time.
const (
	firstPort = 20000
	lastPort  = 25999
)

var nextPort atomic.Uint32

// freeAddr returns a loopback address with a free port that is outside the
// ephemeral range.
func freeAddr(t *testing.T) string {
	t.Helper()
	offset := uint32(os.Getpid())
	for {
		port := firstPort + (offset*37+nextPort.Add(1))%(lastPort-firstPort)
		addr := fmt.Sprint("127.0.0.1:", port)
		if free(addr) {
			return addr
		}
	}
}

// free reports whether the address is free for UDP (peers) and TCP (operators).
func free(addr string) bool {
	udp, err := net.ListenPacket("udp", addr)
	if err != nil {
		return false
	}
	defer udp.Close()
	tcp, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	defer tcp.Close()
	return true
}

// cluster is a set of control hosts with data folders on disk.
type cluster struct {
	t         *testing.T
	authority *keys.Authority
	addrs     []string
	folders   []string
	hosts     []*testHost
	// partitioned, if set, drops the log messages from and to a host; entries and
	// agents still reach it.
	partitioned []*atomic.Bool
	disks       []*stallingDisk
}

// partitionableLog is a Log that drops received messages while partitioned is set.
type partitionableLog struct {
	Log
	partitioned *atomic.Bool
}

// Receive implements Log.
func (l partitionableLog) Receive(body []byte) {
	if !l.partitioned.Load() {
		l.Log.Receive(body)
	}
}

// openPartitionable returns a function for Options.OpenLog that opens a log which
// drops its messages in both directions while partitioned is set.
func openPartitionable(o ReplicaOptions, partitioned *atomic.Bool) func(LogDependencies) (Log, error) {
	return func(deps LogDependencies) (Log, error) {
		send := deps.Send
		deps.Send = func(addr string, body []byte) {
			if !partitioned.Load() {
				send(addr, body)
			}
		}
		log, err := OpenReplica(o)(deps)
		return partitionableLog{log, partitioned}, err
	}
}

func startCluster(t *testing.T, size int) *cluster {
	t.Helper()
	c := &cluster{t: t, authority: newAuthority(t)}
	for range size {
		c.addrs = append(c.addrs, freeAddr(t))
		c.folders = append(c.folders, filepath.Join(t.TempDir(), "data"))
		c.partitioned = append(c.partitioned, new(atomic.Bool))
		c.disks = append(c.disks, &stallingDisk{})
	}
	c.hosts = make([]*testHost, size)
	for i := range size {
		c.start(i, false)
	}
	return c
}

// start starts host i with its data folder.
func (c *cluster) start(i int, join bool) {
	c.t.Helper()
	id := fmt.Sprint("control-", i)
	c.hosts[i] = startTestHost(c.t, Options{
		Self:     wire.Peer{Role: wire.RoleControl, ID: id, Incarnation: uint64(time.Now().UnixNano()), Domain: "sv-a", Addr: c.addrs[i]},
		Identity: identity(c.t, c.authority, wire.RoleControl, id),
		Listen:   c.addrs[i],
		Peers:    c.addrs,
		OpenLog:  openPartitionable(ReplicaOptions{Dir: c.folders[i], Addr: c.addrs[i], Initial: c.addrs, Join: join, FS: c.disks[i]}, c.partitioned[i]),
	})
}

func (c *cluster) leader() int {
	leader := -1
	eventually(c.t, "a leader", func() bool {
		for i, h := range c.hosts {
			if s := h.replica.Status(); s.IsLeader() && s.Fresh {
				leader = i
				return true
			}
		}
		return false
	})
	return leader
}

// change retries a change until it is answered, as an operator's client does.
func change(t *testing.T, h *Host, op string, base uint64, maxTasks int) *control.ChangeReply {
	t.Helper()
	cmd := &control.Command{Apply: &control.Apply{Op: op, Base: base, By: control.Operator{Name: "astrid"}, Sections: sections(maxTasks)}}
	deadline := time.Now().Add(waitTimeout)
	for {
		ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
		reply, err := h.propose(ctx, cmd)
		cancel()
		if err == nil {
			return reply.Change
		}
		require.True(t, time.Now().Before(deadline), "not accepted: %v", err)
	}
}

// acceptedOps returns the accepted operation ids in the audit trail with their
// configuration indices.
func acceptedOps(h *Host) map[string]uint64 {
	out := map[string]uint64{}
	for _, e := range h.machine.Audit(control.AuditFilter{Outcome: control.OutcomeAccepted}) {
		out[e.Op] = e.Index
	}
	return out
}

// Changes are made through every host while leaders are stopped and restarted.
// Every change reported as accepted must be in the audit trail of every host, no
// refused change may be accepted anywhere, and the configuration index at an entry
// must not decrease.
func TestAcceptedChangesSurviveRestarts(t *testing.T) {
	c := startCluster(t, 3)
	entry := startProcess(t, c.authority, wire.RoleEntry, "entry-1", c.addrs...)
	agent := startProcess(t, c.authority, wire.RoleAgent, "agent-1", c.addrs[1:]...)
	c.leader()
	accepted, refused := map[string]uint64{}, map[string]bool{}
	var base uint64
	for n := range 30 {
		host := c.hosts[n%3].Host
		op := fmt.Sprint("op-", n)
		reply := change(t, host, op, base, n+1)
		require.True(t, reply.Accepted, reply.Detail)
		require.Greater(t, reply.Index, base)
		conflicting := change(t, host, op+"-late", base, 999)
		require.False(t, conflicting.Accepted)
		require.Equal(t, reply.Index, conflicting.Winner.Index)
		require.Equal(t, op, conflicting.Winner.Op)
		accepted[op], refused[op+"-late"] = reply.Index, true
		base = reply.Index
		if n%10 == 4 {
			stopped := c.leader()
			c.hosts[stopped].shutDown()
			resent := change(t, c.hosts[(stopped+1)%3].Host, op, base-1, 0)
			require.NotNil(t, resent)
			c.start(stopped, false)
		}
	}
	for _, h := range c.hosts {
		eventually(t, "all hosts applied all changes", func() bool { return h.machine.Stamp().Index == base })
		require.NoError(t, h.machine.VerifyAudit())
		got := acceptedOps(h.Host)
		require.Equal(t, accepted, got)
		for op := range refused {
			require.NotContains(t, got, op)
		}
	}
	eventually(t, "in force at the entry and the agent", func() bool { return entry.index() == base && agent.index() == base })
	indices, configs := entry.received()
	require.IsIncreasing(t, indices)
	require.Equal(t, uint32(30), configs[len(configs)-1].Services["alert-core"].MaxTasks)
}

// Operators submit concurrent changes with the same base version through different
// hosts. Exactly one must be accepted, and the others must be refused with the
// winning change named. A repeated request must get the first answer from any host.
func TestConcurrentChangesHaveOneWinner(t *testing.T) {
	c := startCluster(t, 3)
	c.leader()
	var base uint64
	for round := range 5 {
		replies := make([]*control.ChangeReply, 6)
		var wg sync.WaitGroup
		for n := range replies {
			wg.Go(func() { replies[n] = change(t, c.hosts[n%3].Host, fmt.Sprintf("op-%d-%d", round, n), base, n+1) })
		}
		wg.Wait()
		winner := -1
		for n, r := range replies {
			if r.Accepted {
				require.Equal(t, -1, winner, "two changes were accepted")
				winner = n
			}
		}
		require.NotEqual(t, -1, winner, "no change was accepted")
		for n, r := range replies {
			if n != winner {
				require.Equal(t, control.RefusalConflict, r.Refusal)
				require.Equal(t, fmt.Sprintf("op-%d-%d", round, winner), r.Winner.Op)
			}
			resent := change(t, c.hosts[(n+1)%3].Host, fmt.Sprintf("op-%d-%d", round, n), base, n+1)
			require.True(t, resent.Resent)
			require.Equal(t, r.Accepted, resent.Accepted)
			require.Equal(t, r.Index, resent.Index)
		}
		base = replies[winner].Index
	}
}

// A host that lost the other two rejects changes and claims and reports that it is
// not fresh. An entry that starts in this state and knows no newer version must
// still accept the configuration of this host.
func TestHostWithoutQuorumRejectsChanges(t *testing.T) {
	c := startCluster(t, 3)
	first := change(t, c.hosts[0].Host, "op-1", 0, 1)
	eventually(t, "host 2 applied the first change", func() bool { return c.hosts[2].machine.Stamp().Index == first.Index })
	c.hosts[0].shutDown()
	c.hosts[1].shutDown()
	eventually(t, "host 2 reports no quorum", func() bool { return !c.hosts[2].fresh.Load() })
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := c.hosts[2].propose(ctx, &control.Command{Apply: &control.Apply{Op: "op-2", Base: first.Index, Sections: sections(2)}})
	require.ErrorIs(t, err, errNotFresh)
	require.False(t, c.hosts[2].caughtUp(context.Background()))
	reply := c.hosts[2].claim(context.Background(), &wire.Claim{Request: 3, Team: "night-nurses"})
	require.Equal(t, wire.ClaimUnavailable, reply.State)
	require.Zero(t, reply.RetryAfter)
	entry := startProcess(t, c.authority, wire.RoleEntry, "entry-1", c.addrs...)
	eventually(t, "in force", func() bool { return entry.index() == first.Index })
}

// A control host is partitioned from the other two during hundreds of changes while
// entries still reach it. Neither a running nor a restarted entry may accept its
// stale configuration. The same holds for an entry that reaches only this host,
// because the directory shows that other processes have a newer version; it gets
// the new version once the partition heals.
func TestPartitionedHostServesNoStaleConfig(t *testing.T) {
	c := startCluster(t, 3)
	first := change(t, c.hosts[0].Host, "op-first", 0, 1)
	eventually(t, "host 2 applied the first change", func() bool { return c.hosts[2].machine.Stamp().Index == first.Index })
	running := startProcess(t, c.authority, wire.RoleEntry, "entry-1", c.addrs...)
	eventually(t, "in force", func() bool { return running.index() == first.Index })
	c.partitioned[2].Store(true)
	eventually(t, "host 2 reports no quorum", func() bool { return !c.hosts[2].fresh.Load() })
	base := first.Index
	for n := range 200 {
		base = change(t, c.hosts[n%2].Host, fmt.Sprint("op-", n), base, n+2).Index
	}
	require.Equal(t, first.Index, c.hosts[2].machine.Stamp().Index)
	eventually(t, "in force at the running entry", func() bool { return running.index() == base })

	restarted := startProcess(t, c.authority, wire.RoleEntry, "entry-1", c.addrs...)
	partitionedEntry := startProcess(t, c.authority, wire.RoleEntry, "entry-2", c.addrs[2])
	eventually(t, "in force at the restarted entry", func() bool { return restarted.index() == base })

	c.partitioned[2].Store(false)
	eventually(t, "latest version in force at the partitioned entry", func() bool { return partitionedEntry.index() == base })
	for _, p := range []*testProcess{running, restarted, partitionedEntry} {
		indices, _ := p.received()
		require.IsIncreasing(t, append([]uint64{0}, indices...))
	}
	for _, p := range []*testProcess{restarted, partitionedEntry} {
		indices, _ := p.received()
		require.NotContains(t, indices, first.Index)
	}
}

// All control hosts stop and restart. The entry must keep all agents that it knows.
// An agent that crashes afterwards must still be removed.
func TestRestartOfAllControlHostsKeepsDirectory(t *testing.T) {
	c := startCluster(t, 3)
	change(t, c.hosts[0].Host, "op-1", 0, 1)
	entry := startProcess(t, c.authority, wire.RoleEntry, "entry-1", c.addrs...)
	agents := []*testProcess{
		startProcess(t, c.authority, wire.RoleAgent, "agent-1", c.addrs[0]),
		startProcess(t, c.authority, wire.RoleAgent, "agent-2", c.addrs[1:]...),
	}
	eventually(t, "the entry sees both", func() bool { return entry.hasMember("agent-1") && entry.hasMember("agent-2") })
	for _, h := range c.hosts {
		h.shutDown()
	}
	require.True(t, entry.hasMember("agent-1") && entry.hasMember("agent-2"))
	for i := range c.hosts {
		c.start(i, false)
	}
	eventually(t, "every host sees both again", func() bool {
		for _, h := range c.hosts {
			members, err := h.liveProcesses(context.Background())
			require.NoError(t, err)
			agents := 0
			for _, m := range members {
				if m.Peer.Role == wire.RoleAgent {
					agents++
				}
			}
			if agents != 2 {
				return false
			}
		}
		return true
	})
	require.Zero(t, entry.removals())
	agents[0].stop()
	eventually(t, "a crashed agent is removed", func() bool { return !entry.hasMember("agent-1") })
	require.True(t, entry.hasMember("agent-2"))
}

// A host that lost its disk restarts as a new replica. It waits until it is added
// and becomes a voter after it has caught up. After that the cluster must accept
// changes and keep all earlier ones although a second host stops.
func TestHostWithLostDiskRejoins(t *testing.T) {
	c := startCluster(t, 3)
	var base uint64
	for n := range 20 {
		base = change(t, c.hosts[n%3].Host, fmt.Sprint("op-", n), base, n+1).Index
	}
	old := c.hosts[0].replica.Status().ID
	c.hosts[0].shutDown()
	c.folders[0] = filepath.Join(t.TempDir(), "new")
	c.start(0, true)
	id := c.hosts[0].replica.Status().ID
	require.NotEqual(t, old, id)

	requestMemberChange(t, c.hosts[1].Host, wire.MemberChange{Action: wire.MemberRemove, ID: old})
	requestMemberChange(t, c.hosts[1].Host, wire.MemberChange{Action: wire.MemberAdd, ID: id, Addr: c.addrs[0]})
	requestMemberChange(t, c.hosts[1].Host, wire.MemberChange{Action: wire.MemberPromote, ID: id})
	eventually(t, "caught up", func() bool { return c.hosts[0].machine.Stamp().Index == base })

	c.hosts[2].shutDown()
	next := change(t, c.hosts[0].Host, "op-last", base, 99)
	require.True(t, next.Accepted, next.Detail)
	eventually(t, "host 0 applied all changes", func() bool { return len(acceptedOps(c.hosts[0].Host)) == 21 })
}

// requestMemberChange retries a membership change until it is applied.
func requestMemberChange(t *testing.T, h *Host, m wire.MemberChange) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for {
		err := h.changeMembersWithTimeout(context.Background(), m)
		if err == nil || memberChangeApplied(h, m) {
			return
		}
		require.True(t, time.Now().Before(deadline), "not done: %v", err)
		time.Sleep(retryInterval)
	}
}

// memberChangeApplied reports whether a retried membership change has already been
// applied.
func memberChangeApplied(h *Host, m wire.MemberChange) bool {
	for _, member := range h.replica.Status().Members {
		if member.ID == m.ID {
			return m.Action == wire.MemberAdd || m.Action == wire.MemberPromote && member.Voter
		}
	}
	return m.Action == wire.MemberRemove
}

// Opening a data folder that another host uses fails with an error that names the
// folder.
func TestDataFolderLocked(t *testing.T) {
	c := startCluster(t, 1)
	_, err := OpenReplica(ReplicaOptions{Dir: c.folders[0], Addr: c.addrs[0], Initial: c.addrs})(LogDependencies{
		Machine: control.NewMachine(nil), Send: func(string, []byte) {}, Log: discardLogger,
	})
	require.ErrorContains(t, err, c.folders[0])
}
