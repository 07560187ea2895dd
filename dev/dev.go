// Package dev runs a whole fleet in one process on loopback: one control host
// on a temporary data folder, one entry, and agents with stand-in upstreams.
// It is for trying things out; keys and data are gone when it ends.
package dev

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fireflytray/fireflytray/adminapi"
	"github.com/fireflytray/fireflytray/entry/placement"
	"github.com/fireflytray/fireflytray/entry/queue"
	"github.com/fireflytray/fireflytray/keys"
	"github.com/fireflytray/fireflytray/logging"
	"github.com/fireflytray/fireflytray/node"
	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/upstream"
	"github.com/fireflytray/fireflytray/wire"
)

const (
	// Service and Team are what the sample configuration has.
	Service = "sample"
	Team    = "team-a"
	domain  = "dev-a"
	site    = "dev"
	// readyTimeout bounds the start of the fleet.
	readyTimeout = 20 * time.Second
	// pollInterval is the time between looks at what is starting.
	pollInterval     = 50 * time.Millisecond
	agentCount       = 2
	slotsPerUpstream = 8
	connsPerUpstream = 64
	offeredCores     = 8
	offeredMemoryMB  = 16_000
)

// config is the fleet's configuration.
const config = `[service ` + Service + `]
max-tasks = 140
deadline = 30s
max-deadline = 60s

[team ` + Team + `]
weight = 1
`

// Fleet is a running fleet.
type Fleet struct {
	// EntryURL is the entry's base URL.
	EntryURL string
	// AdminAddr is the control host's HTTPS host:port.
	AdminAddr string
	// Operator is an operator's identity for Admin.
	Operator *keys.Identity
	// Upstreams are the stand-ins, for faults and journals.
	Upstreams []*upstream.Server

	logs           *logging.Root
	authority      *keys.Authority
	dataDir        string
	entryListener  net.Listener
	controlAddr    string
	controlOptions node.ControlOptions
	agents         []node.AgentOptions
}

// New makes keys, a data folder and addresses; Run starts the processes.
func New(logs *logging.Root) (*Fleet, error) {
	authority, err := keys.NewAuthority()
	if err != nil {
		return nil, fmt.Errorf("dev: %w", err)
	}
	dir, err := os.MkdirTemp("", "fireflytray-dev-")
	if err != nil {
		return nil, fmt.Errorf("dev: make data folder: %w", err)
	}
	f := &Fleet{logs: logs, authority: authority, dataDir: dir}
	if err := f.prepare(); err != nil {
		os.RemoveAll(dir)
		return nil, fmt.Errorf("dev: %w", err)
	}
	return f, nil
}

func (f *Fleet) prepare() error {
	var err error
	if f.Operator, err = f.authority.Identity(wire.RoleOperator, "operator", domain); err != nil {
		return err
	}
	if f.entryListener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	f.EntryURL = "http://" + f.entryListener.Addr().String()
	if err := f.prepareControl(); err != nil {
		return err
	}
	for i := range agentCount {
		if err := f.prepareAgent(i); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) common(r wire.Role, id string) (node.Common, error) {
	identity, err := f.authority.Identity(r, id, domain)
	return node.Common{
		ID:       id,
		Domain:   domain,
		Site:     site,
		Identity: identity,
		Logs:     f.logs,
		Controls: []string{f.controlAddr},
	}, err
}

func (f *Fleet) prepareControl() error {
	var err error
	if f.controlAddr, err = freeUDPAddr(); err != nil {
		return err
	}
	admin, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.AdminAddr = admin.Addr().String()
	common, err := f.common(wire.RoleControl, "control-1")
	f.controlOptions = node.ControlOptions{
		Common:        common,
		Peers:         f.controlAddr,
		AdminListener: admin,
		Data:          filepath.Join(f.dataDir, "control-1"),
		Initial:       []string{f.controlAddr},
	}
	return err
}

func (f *Fleet) prepareAgent(i int) error {
	peers, err := freeUDPAddr()
	if err != nil {
		return err
	}
	announce, err := freeTCPAddr()
	if err != nil {
		return err
	}
	common, err := f.common(wire.RoleAgent, fmt.Sprintf("agent-%d", i+1))
	if err != nil {
		return err
	}
	f.agents = append(f.agents, node.AgentOptions{
		Common:   common,
		Peers:    peers,
		Upstream: announce,
		Rack:     "rack-1",
		Offered:  task.Resources{MilliCPU: offeredCores * 1000, MemoryMB: offeredMemoryMB},
	})
	up, err := upstream.New(upstream.Options{
		Tasks:       "127.0.0.1:0",
		Agent:       announce,
		Service:     Service,
		Slots:       slotsPerUpstream,
		Connections: connsPerUpstream,
		Rack:        "rack-1",
		Log:         f.logs.For(logging.PartUpstream),
	})
	f.Upstreams = append(f.Upstreams, up)
	return err
}

// Run runs the fleet until ctx ends; ready is called once a job would run.
func (f *Fleet) Run(ctx context.Context, ready func(context.Context) error) error {
	defer os.RemoveAll(f.dataDir)
	common, err := f.common(wire.RoleEntry, "entry-1")
	if err != nil {
		return fmt.Errorf("dev: %w", err)
	}
	stopControl, control := f.runControl(ctx)
	defer stopControl()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return control.waitFailure(ctx) })
	for _, a := range f.agents {
		g.Go(func() error { return node.RunAgent(ctx, a) })
	}
	for _, u := range f.Upstreams {
		g.Go(func() error { return u.Run(ctx) })
	}
	g.Go(func() error {
		return node.RunEntry(ctx, node.EntryOptions{
			Common:   common,
			Listener: f.entryListener,
			Policy:   placement.Credits{},
			Order:    queue.LeftOverSlowdown,
		})
	})
	g.Go(func() error {
		if err := f.awaitReady(ctx); err != nil {
			return err
		}
		return ready(ctx)
	})
	err = g.Wait()
	stopControl()
	<-control.ended
	if errors.Is(err, ErrDone) || ctx.Err() != nil && errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// controlHost is a control host that outlives the processes that announce
// themselves to it.
type controlHost struct {
	ended chan struct{}
	err   error
}

// runControl starts the control host; it runs until stop is called.
func (f *Fleet) runControl(ctx context.Context) (stop context.CancelFunc, c *controlHost) {
	ctx, stop = context.WithCancel(context.WithoutCancel(ctx))
	c = &controlHost{ended: make(chan struct{})}
	go func() {
		defer close(c.ended)
		c.err = node.RunControl(ctx, f.controlOptions)
	}()
	return stop, c
}

// waitFailure waits until ctx ends or the control host ends by itself, and returns
// why it did.
func (c *controlHost) waitFailure(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-c.ended:
		return fmt.Errorf("dev: control host ended: %w", c.err)
	}
}

// ErrDone is what ready returns to end the fleet without an error.
var ErrDone = errors.New("done")

// awaitReady applies the configuration and waits until it is in force
// everywhere and every upstream is announced.
func (f *Fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	client := adminapi.NewClient(f.Operator, []string{f.AdminAddr})
	apply := adminapi.ApplyRequest{Op: "dev-sample", Sources: []adminapi.Source{{File: "sample.ini", Text: config}}}
	err := poll(ctx, "apply the sample configuration", func() error {
		var reply adminapi.ChangeReply
		if err := client.Post(ctx, adminapi.PathApply, apply, &reply); err != nil {
			return err
		}
		if !reply.Accepted {
			return fmt.Errorf("refused: %s", reply.Detail)
		}
		return nil
	})
	if err != nil {
		return err
	}
	return poll(ctx, "wait for the agents", func() error { return f.checkReady(ctx, client) })
}

// checkReady says whether every upstream is known and configured.
func (f *Fleet) checkReady(ctx context.Context, client *adminapi.Client) error {
	var fleet adminapi.FleetReply
	if err := client.Get(ctx, adminapi.PathFleet, "", &fleet); err != nil {
		return err
	}
	n := 0
	for _, p := range fleet.Processes {
		if p.Slots > 0 {
			n++
		}
	}
	if n < agentCount {
		return fmt.Errorf("%d of %d agents announced an upstream", n, agentCount)
	}
	return probe(ctx, f.EntryURL)
}

// poll calls try until it succeeds or ctx ends.
func poll(ctx context.Context, what string, try func() error) error {
	for {
		err := try()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("dev: %s: %w", what, err)
		case <-time.After(pollInterval):
		}
	}
}

// freeUDPAddr and freeTCP return loopback addresses that were free a moment ago.
func freeUDPAddr() (string, error) {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer c.Close()
	return c.LocalAddr().String(), nil
}

func freeTCPAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
