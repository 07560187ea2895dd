package measure

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/fireflytray/fireflytray/adminapi"
	"github.com/fireflytray/fireflytray/keys"
	"github.com/fireflytray/fireflytray/wire"
)

const (
	controls    = 3
	keysValid   = 24 * time.Hour
	operator    = "operator"
	baseConfig  = "[service " + service + "]\nmax-tasks = 140\nmax-body = 1048576\ndeadline = 60s\nmax-deadline = 120s\nmax-waiting = 100000\n"
	adminWithin = 10 * time.Second
)

// testFleet is a fleet of processes on loopback: control hosts, one entry and
// agents with stand-in upstreams.
type testFleet struct {
	dir string
	// spread has each agent announce itself to one control host; otherwise
	// each announces itself to all of them.
	spread   bool
	peers    []string // peer addresses of the control hosts
	admins   []string
	control  []*process
	entry    *process
	more     []*process // further entries
	agents   []*process
	admin    *adminapi.Client
	pages    *fasthttp.Client
	ports    ports
	version  uint64
	changeNo int
}

// newFleet starts the control hosts and the entry in dir.
func newFleet(ctx context.Context, dir string, spread bool) (*testFleet, error) {
	f := &testFleet{dir: dir, spread: spread, pages: &fasthttp.Client{MaxIdleConnDuration: time.Minute}}
	if err := keys.Init(f.authority()); err != nil {
		return nil, fmt.Errorf("measure: %w", err)
	}
	if err := f.startControl(ctx); err != nil {
		return f, err
	}
	if err := f.connectAdmin(); err != nil {
		return f, err
	}
	return f, f.startEntry(ctx)
}

func (f *testFleet) authority() string { return filepath.Join(f.dir, "authority") }

// issue makes the keys of a process and returns their folder.
func (f *testFleet) issue(role wire.Role, id string) (string, error) {
	dir := filepath.Join(f.dir, "keys", id)
	name := keys.Name{Role: role, ID: id, Domain: domain}
	if err := keys.Issue(f.authority(), name, keysValid, dir); err != nil {
		return "", fmt.Errorf("measure: %w", err)
	}
	return dir, nil
}

// spec returns what every process has.
func (f *testFleet) spec(role wire.Role, id string) (ProcessSpec, error) {
	dir, err := f.issue(role, id)
	if err != nil {
		return ProcessSpec{}, err
	}
	page, err := f.ports.tcp()
	if err != nil {
		return ProcessSpec{}, err
	}
	peers, err := f.ports.udp()
	return ProcessSpec{Role: role, ID: id, Keys: dir, Metrics: page, Peers: peers, Controls: f.peers}, err
}

func (f *testFleet) startControl(ctx context.Context) error {
	var specs []ProcessSpec
	for i := range controls {
		s, err := f.spec(wire.RoleControl, fmt.Sprintf("control-%d", i+1))
		if err != nil {
			return err
		}
		if s.Admin, err = f.ports.tcp(); err != nil {
			return err
		}
		s.Data = filepath.Join(f.dir, s.ID)
		specs = append(specs, s)
		f.peers = append(f.peers, s.Peers)
		f.admins = append(f.admins, s.Admin)
	}
	for _, s := range specs {
		s.Controls = f.peers
		p, err := startProcess(ctx, f.dir, s)
		if err != nil {
			return err
		}
		f.control = append(f.control, p)
	}
	return nil
}

func (f *testFleet) connectAdmin() error {
	dir, err := f.issue(wire.RoleOperator, operator)
	if err != nil {
		return err
	}
	identity, err := keys.Load(dir)
	if err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	f.admin = adminapi.NewClient(identity, f.admins)
	return nil
}

func (f *testFleet) startEntry(ctx context.Context) error {
	var err error
	if f.entry, err = f.newEntry(ctx, 1); err != nil {
		return err
	}
	return poll(ctx, "apply the first configuration", func() error { return f.change(ctx) })
}

func (f *testFleet) newEntry(ctx context.Context, n int) (*process, error) {
	s, err := f.spec(wire.RoleEntry, fmt.Sprintf("entry-%d", n))
	if err != nil {
		return nil, err
	}
	if s.Callers, err = f.ports.tcp(); err != nil {
		return nil, err
	}
	return startProcess(ctx, f.dir, s)
}

// growEntries starts entries until there are n.
func (f *testFleet) growEntries(ctx context.Context, n int) error {
	for len(f.more)+1 < n {
		p, err := f.newEntry(ctx, len(f.more)+2)
		if err != nil {
			return err
		}
		f.more = append(f.more, p)
	}
	return nil
}

// stopMoreEntries ends all entries but the first.
func (f *testFleet) stopMoreEntries() {
	for _, p := range f.more {
		p.stop()
	}
	f.more = nil
}

// change applies a configuration that differs from the last in one weight.
func (f *testFleet) change(ctx context.Context) error {
	text := baseConfig
	for i := range configTeams {
		weight := 1
		if i == f.changeNo%configTeams {
			weight = 2 + f.changeNo/configTeams
		}
		text += fmt.Sprintf("[team team-%d]\nweight = %d\n", i, weight)
	}
	req := adminapi.ApplyRequest{
		Op: fmt.Sprintf("change-%d", f.changeNo), Base: f.version,
		Sources: []adminapi.Source{{File: "base.ini", Text: text}},
	}
	var reply adminapi.ChangeReply
	if err := f.post(ctx, req, &reply); err != nil {
		return err
	}
	if !reply.Accepted {
		return fmt.Errorf("measure: change %d was refused: %s", f.changeNo, reply.Detail)
	}
	f.version = reply.Index
	f.changeNo++
	return nil
}

func (f *testFleet) post(ctx context.Context, req adminapi.ApplyRequest, reply *adminapi.ChangeReply) error {
	ctx, cancel := context.WithTimeout(ctx, adminWithin)
	defer cancel()
	if err := f.admin.Post(ctx, adminapi.PathApply, req, reply); err != nil {
		return fmt.Errorf("measure: apply change %d: %w", f.changeNo, err)
	}
	return nil
}

// awaitInForce waits until every process has the version in force.
func (f *testFleet) awaitInForce(ctx context.Context) error {
	return poll(ctx, "wait for the configuration", func() error {
		var status adminapi.ConfigStatus
		if err := f.admin.Get(ctx, adminapi.PathStatus, "", &status); err != nil {
			return err
		}
		if !status.Complete || status.Version.Index < f.version {
			return fmt.Errorf("measure: version %d is not in force everywhere", f.version)
		}
		return nil
	})
}

// grow starts agents until there are n, and waits until all are announced.
func (f *testFleet) grow(ctx context.Context, n int) error {
	for i := len(f.agents); i < n; i++ {
		s, err := f.spec(wire.RoleAgent, fmt.Sprintf("agent-%d", i+1))
		if err != nil {
			return err
		}
		if s.Upstream, err = f.ports.tcp(); err != nil {
			return err
		}
		if f.spread {
			s.Controls = f.peers[i%controls : i%controls+1]
		}
		p, err := startProcess(ctx, f.dir, s)
		if err != nil {
			return err
		}
		f.agents = append(f.agents, p)
	}
	return poll(ctx, fmt.Sprintf("wait for %d agents", n), func() error { return f.announced(ctx, n) })
}

func (f *testFleet) announced(ctx context.Context, n int) error {
	var fleet adminapi.FleetReply
	if err := f.admin.Get(ctx, adminapi.PathFleet, "", &fleet); err != nil {
		return err
	}
	seen := 0
	for _, p := range fleet.Processes {
		if p.Slots > 0 {
			seen++
		}
	}
	if seen < n {
		return fmt.Errorf("measure: %d of %d agents are announced", seen, n)
	}
	return nil
}

// stop ends every process.
func (f *testFleet) stop() {
	f.stopMoreEntries()
	all := append(append([]*process{}, f.agents...), f.control...)
	if f.entry != nil {
		all = append(all, f.entry)
	}
	for _, p := range all {
		p.stop()
	}
	f.agents, f.control, f.entry = nil, nil, nil
}
