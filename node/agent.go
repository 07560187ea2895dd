package node

import (
	"context"
	"sync"

	"github.com/fireflytray/fireflytray/agent"
	"github.com/fireflytray/fireflytray/agentd"
	"github.com/fireflytray/fireflytray/controlclient"
	"github.com/fireflytray/fireflytray/logging"
	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// agentSessions is the number of control hosts that an agent keeps sessions to. Control
// hosts tell one another of the agents, so that one of them would do.
const agentSessions = 3

// AgentOptions are the settings of an agent.
type AgentOptions struct {
	Common
	// Peers is the UDP host:port to listen on for entries, Upstream the HTTP
	// host:port for the upstream's announcements.
	Peers    string
	Upstream string
	Offered  task.Resources
	Rack     string
	Agent    agent.Config
	// Leased is set if the upstream's runs are covered by a lease.
	Leased *agentd.LeasedOptions
	// Ready is called once the agent listens on both addresses.
	Ready func(peers, upstream string)
}

// RunAgent runs an agent until ctx ends and the agent has drained.
func RunAgent(ctx context.Context, o AgentOptions) error {
	self := o.peer(wire.RoleAgent, o.Peers)
	o.Agent.DrainTimeout = o.DrainTimeout
	announced := &announcement{announce: wire.Announce{From: self}}
	logger := o.Logs.For(logging.PartAgent)
	configs := &configRelay{}
	client := controlclient.New(controlclient.Options{
		Controls:        o.Controls,
		ControlsChanged: o.ControlsChanged,
		Sessions:        agentSessions,
		Transport:       o.transport(),
		Self:            announced.current,
		Site:            o.Site,
		OnConfig:        configs.put,
		Log:             logger,
	})
	announced.onChange = client.Announce
	return withClient(ctx, client, func(ctx context.Context) error {
		return agentd.Run(ctx, agentd.Options{
			Self:     self,
			Identity: o.Identity,
			Peers:    o.Peers,
			Upstream: o.Upstream,
			Offered:  o.Offered,
			Rack:     o.Rack,
			Agent:    o.Agent,
			Leased:   o.Leased,
			Control:  announced,
			Stamp:    client.Stamp,
			OnStamp:  client.ObserveStamp,
			Ready:    o.Ready,

			Configure: configs.subscribe,

			Log:   logger,
			Lines: o.Logs.Lines(logging.PartAgent),
			Scope: o.Scope,
		})
	})
}

// announcement holds the current announcement of an agent.
type announcement struct {
	mu       sync.Mutex
	announce wire.Announce
	onChange func()
}

// Announce implements agentd.Control.
func (b *announcement) Announce(self wire.Peer, w wire.Worker, _ bool) {
	b.mu.Lock()
	b.announce.From = self
	b.announce.Worker = &w
	b.mu.Unlock()
	b.onChange()
}

func (b *announcement) current() wire.Announce {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.announce
}
