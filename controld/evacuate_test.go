package controld

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/adminapi"
	"github.com/fireflytray/fireflytray/control"
	"github.com/fireflytray/fireflytray/directory"
	"github.com/fireflytray/fireflytray/loop"
	"github.com/fireflytray/fireflytray/wire"
)

// order repeats an order until it is answered, as an operator's client does.
func order(t *testing.T, h *Host, domain string, evacuated bool) *control.EvacuateReply {
	t.Helper()
	var reply *control.EvacuateReply
	eventually(t, "an answer to the order", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
		defer cancel()
		var err error
		reply, err = h.Evacuate(ctx, control.Operator{Name: "astrid"}, domain, evacuated)
		return err == nil
	})
	return reply
}

func (h *testHost) isEvacuated(domain string) bool {
	_, doc := h.machine.Current()
	return doc.Effective("").Evacuated(domain)
}

// The leader, whose own domain is evacuated, is cut off right after its
// acknowledgement. A host that was cut off before the order comes back.
func TestAcknowledgedEvacuationSurvivesItsLeader(t *testing.T) {
	c := startCluster(t, 3)
	leader := c.leader()
	away, stays := (leader+1)%3, (leader+2)%3
	entry := startProcess(t, c.authority, wire.RoleEntry, "entry-1", c.addrs...)
	c.partitioned[away].Store(true)
	require.True(t, order(t, c.hosts[leader].Host, "sv-a", true).Accepted)
	c.partitioned[leader].Store(true)
	c.partitioned[away].Store(false)
	eventually(t, "the others have it", func() bool { return c.hosts[away].isEvacuated("sv-a") && c.hosts[stays].isEvacuated("sv-a") })
	require.True(t, order(t, c.hosts[stays].Host, "sv-a", true).Accepted, "resent through another host")
	eventually(t, "the entry knows", func() bool {
		_, configs := entry.received()
		return len(configs) > 0 && configs[len(configs)-1].Evacuated("sv-a")
	})
	require.True(t, order(t, c.hosts[stays].Host, "sv-a", false).Accepted)
	c.partitioned[leader].Store(false)
	eventually(t, "the old leader has the withdrawal", func() bool {
		return c.hosts[leader].machine.DomainOrder("sv-a").Last == c.hosts[stays].machine.DomainOrder("sv-a").Last
	})
	require.False(t, c.hosts[leader].isEvacuated("sv-a"))
}

// A leader that is cut off can't make an order durable and must not acknowledge it.
func TestOrderWithoutQuorumIsNotAcknowledged(t *testing.T) {
	c := startCluster(t, 3)
	leader := c.leader()
	c.partitioned[leader].Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	_, err := c.hosts[leader].Evacuate(ctx, control.Operator{Name: "astrid"}, "sv-a", true)
	require.Error(t, err)
	other := c.hosts[(leader+1)%3]
	require.True(t, order(t, other.Host, "sv-a", true).Accepted)
	require.True(t, order(t, other.Host, "sv-a", false).Accepted)
	c.partitioned[leader].Store(false)
	eventually(t, "the old leader has the last order", func() bool {
		return c.hosts[leader].machine.DomainOrder("sv-a").Last == other.machine.DomainOrder("sv-a").Last
	})
	require.False(t, c.hosts[leader].isEvacuated("sv-a"), "the order that was not acknowledged undoes the later ones")
}

// A host that is cut off keeps an order while its operator goes elsewhere, evacuates the
// domain there and takes it back. The order must not be proposed when the link is back.
func TestAbandonedOrderIsNotProposed(t *testing.T) {
	c := startCluster(t, 3)
	leader := c.leader()
	c.partitioned[leader].Store(true)
	ctx, leave := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		_, err := c.hosts[leader].Evacuate(ctx, control.Operator{Name: "astrid"}, "sv-a", true)
		ended <- err
	}()
	other := c.hosts[(leader+1)%3]
	require.True(t, order(t, other.Host, "sv-a", true).Accepted)
	require.True(t, order(t, other.Host, "sv-a", false).Accepted)
	leave()
	c.partitioned[leader].Store(false)
	require.Error(t, <-ended)
	eventually(t, "the old leader has the last order", func() bool {
		return c.hosts[leader].machine.DomainOrder("sv-a").Last == other.machine.DomainOrder("sv-a").Last
	})
	require.False(t, c.hosts[leader].isEvacuated("sv-a"))
}

// Operators evacuate and take back the same domain at once through different hosts.
func TestRacingOrdersEndInTheLastOne(t *testing.T) {
	c := startCluster(t, 3)
	c.leader()
	var wg sync.WaitGroup
	for n := range 12 {
		wg.Go(func() { order(t, c.hosts[n%3].Host, "sv-a", n%2 == 0) })
	}
	wg.Wait()
	accepted := c.hosts[c.leader()].machine.Audit(control.AuditFilter{Outcome: control.OutcomeAccepted})
	last := accepted[len(accepted)-1]
	for _, h := range c.hosts {
		eventually(t, "all hosts have the last order", func() bool { return h.machine.DomainOrder("sv-a").Last == last.Index })
		require.Equal(t, last.Action == "domain evacuate", h.isEvacuated("sv-a"))
	}
}

// All hosts restart, and the processes of the evacuated domain are gone. The domain
// must stay evacuated and can be taken back; nothing is said yet about a domain
// that nobody has heard of.
func TestEvacuationOutlivesItsProcesses(t *testing.T) {
	c := startCluster(t, 3)
	c.leader()
	agent := startProcessIn(t, c.authority, "sv-b", wire.RoleAgent, "agent-1", c.addrs...)
	require.True(t, order(t, c.hosts[0].Host, "sv-b", true).Accepted)
	agent.stop()
	for i, h := range c.hosts {
		h.shutDown()
		c.start(i, false)
	}
	entry := startProcess(t, c.authority, wire.RoleEntry, "entry-1", c.addrs...)
	eventually(t, "the entry knows", func() bool {
		_, configs := entry.received()
		return len(configs) > 0 && configs[len(configs)-1].Evacuated("sv-b")
	})
	h := c.hosts[c.leader()]
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	_, err := h.Evacuate(ctx, control.Operator{Name: "astrid"}, "sv-c", true)
	require.ErrorIs(t, err, errDomainNotKnownYet)
	require.True(t, order(t, h.Host, "sv-b", false).Accepted)
	require.False(t, h.isEvacuated("sv-b"))
}

// A host that has been up for as long as any lease refuses what it has not heard of,
// but not a domain all of whose processes have failed.
func TestUnknownDomainIsRefused(t *testing.T) {
	a := newAuthority(t)
	h, err := New(Options{
		Self:     wire.Peer{Role: wire.RoleControl, ID: "control-1", Incarnation: 1, Domain: "sv-a"},
		Identity: identity(t, a, wire.RoleControl, "control-1"), Listen: "127.0.0.1:0", Log: discardLogger,
	})
	require.NoError(t, err)
	h.loop = loop.New[directory.Event, directory.Effect](directory.NewReducer(-directory.MaxLease), directory.Event{}, h.effect)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		require.NoError(t, <-done)
	})
	agent := startProcessIn(t, a, "sv-b", wire.RoleAgent, "agent-1", h.Addr())
	eventually(t, "the agent is known", func() bool {
		members, err := h.liveProcesses(ctx)
		require.NoError(t, err)
		return len(members) == 2
	})
	agent.Leave(ctx)
	require.Equal(t, control.RefusalUnknownDomain, order(t, h, "sv-c", true).Refusal)
	require.Equal(t, control.RefusalUnknownDomain, order(t, h, "sv-c", false).Refusal)
	require.Equal(t, control.RefusalInvalid, order(t, h, "sv c", true).Refusal)
	for _, domain := range []string{"sv-a", "sv-b"} {
		require.True(t, order(t, h, domain, true).Accepted)
	}
	require.Len(t, h.machine.Evacuations(), 2)
}

// Control hosts run as separate processes. The leader, and at the end every host, is
// killed with SIGKILL right after an order is acknowledged.
func TestEvacuationSurvivesSIGKILL(t *testing.T) {
	d := startControlProcesses(t)
	for n := range 6 {
		evacuated := n%2 == 0
		var reply adminapi.EvacuationReply
		leader := d.leader()
		d.post(adminapi.PathEvacuations, adminapi.EvacuationRequest{Domain: "sv-a", Evacuated: evacuated}, &reply)
		killed := []int{leader}
		if n >= 4 {
			killed = []int{0, 1, 2}
		}
		for _, i := range killed {
			d.kill(i)
		}
		for _, i := range killed {
			d.start(i)
		}
		var list adminapi.EvacuationsReply
		eventually(t, "a fresh list", func() bool {
			d.get(adminapi.PathEvacuations, &list)
			return list.Fresh
		})
		require.Equal(t, evacuated, len(list.Evacuations) == 1, fmt.Sprint("order ", n))
		require.GreaterOrEqual(t, list.Index, reply.Index)
	}
}
