package e2e

import (
	"context"
	"fmt"
	"io"
	"regexp"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/fireflytray/fireflytray/agentd"
	"github.com/fireflytray/fireflytray/controlclient"
	"github.com/fireflytray/fireflytray/keys"
	"github.com/fireflytray/fireflytray/logging"
	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/transport"
	"github.com/fireflytray/fireflytray/transport/relaytest"
	"github.com/fireflytray/fireflytray/wire"
)

// Jobs in flight get whole answers though every open flow between entries and
// the agent goes silent for good: the entries dial again and ask for outcomes.
// The agent runs in the test's process, since an agent's settings have one
// address for listening and for being reached; all else are processes.
func TestSilentFlows(t *testing.T) {
	const rounds = 2
	c := prepareCluster(t)
	for _, group := range [][]*process{c.controls, c.entries, c.upstreams[:1]} {
		for _, p := range group {
			p.start(t)
		}
	}
	relay := c.runAgentBehindRelay()
	c.awaitReady(1)
	var answers []answer
	for range rounds {
		before := len(c.startCounts(0))
		wait := inBackground(2*entries, func(i int) answer { return c.job(i%entries, 2, longRunMS) })
		c.awaitStarts(0, before, slots)
		relay.DropFlows()
		list := wait()
		c.requireAllAnswered(list)
		c.requireAllComplete(list)
		answers = append(answers, list...)
	}
	for i := range c.entries {
		lost := regexp.MustCompile("connection is silent").FindAllString(c.entries[i].readLog(t), -1)
		require.GreaterOrEqual(t, len(lost), 1, "%s has lost no connection", c.entries[i].name)
	}
	c.checkStarts(answers)
}

// runAgentBehindRelay runs the first agent in this process. It announces the
// relay's address in place of its own.
func (c *cluster) runAgentBehindRelay() *relaytest.Relay {
	c.t.Helper()
	peers := freeAddr(c.t)
	relay := relaytest.New(c.t, peers)
	identity, err := keys.Load(c.path("keys", agentID(0)))
	require.NoError(c.t, err)
	logs, err := logging.New(io.Discard, "info", "text")
	require.NoError(c.t, err)
	self := wire.Peer{Role: wire.RoleAgent, ID: agentID(0), Domain: domain, Addr: relay.Addr(), Incarnation: agentd.NewIncarnation()}
	b := &announcer{self: wire.Announce{From: self}}
	client := controlclient.New(controlclient.Options{
		Controls:  c.controlAddrs,
		Transport: transport.Options{Identity: identity},
		Self:      b.current,
		Site:      site,
		Log:       logs.For(logging.PartAgent),
	})
	b.changed = client.Announce
	ctx, cancel := context.WithCancel(context.Background())
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return client.Run(ctx) })
	g.Go(func() error {
		err := agentd.Run(ctx, agentd.Options{
			Self:     self,
			Identity: identity,
			Peers:    peers,
			Upstream: c.announceAddrs[0],
			Offered:  task.Resources{MilliCPU: 8000, MemoryMB: 16_000},
			Rack:     "rack-1",
			Control:  b,
			Stamp:    client.Stamp,
			OnStamp:  client.ObserveStamp,
			Log:      logs.For(logging.PartAgent),
		})
		if err != nil {
			return fmt.Errorf("agent behind the relay: %w", err)
		}
		return nil
	})
	c.t.Cleanup(func() {
		cancel()
		if err := g.Wait(); err != nil {
			c.t.Log(err)
		}
	})
	return relay
}

// announcer holds the announcement of the agent in the test's process.
type announcer struct {
	mu      sync.Mutex
	self    wire.Announce
	changed func()
}

// Announce implements agentd.Control.
func (b *announcer) Announce(self wire.Peer, w wire.Worker, _ bool) {
	b.mu.Lock()
	b.self.From, b.self.Worker = self, &w
	b.mu.Unlock()
	b.changed()
}

func (b *announcer) current() wire.Announce {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.self
}
