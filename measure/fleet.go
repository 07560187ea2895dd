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
	controlHosts = 3
	keyLifetime  = 24 * time.Hour
	operator     = "operator"
	baseConfig   = "[service " + service + "]\nmax-tasks = 140\nmax-body = 1048576\ndeadline = 60s\nmax-deadline = 120s\nmax-waiting = 100000\n"
	adminTimeout = 10 * time.Second
)

// testFleet is a fleet of processes on loopback: control hosts, one entry and
// agents with stand-in upstreams.
type testFleet struct {
	dir string
	// announceToOne has each agent announce itself to one control host; otherwise
	// each announces itself to all of them.
	announceToOne bool
	controlAddrs  []string // peer addresses of the control hosts
	adminAddrs    []string
	control       []*process
	entry         *process
	extraEntries  []*process // further entries
	agents        []*process
	admin         *adminapi.Client
	metricsClient *fasthttp.Client
	ports         portAllocator
	version       uint64
	changeNumber  int
}

// newFleet starts the control hosts and the entry in dir.
func newFleet(ctx context.Context, dir string, spread bool) (*testFleet, error) {
	f := &testFleet{dir: dir, announceToOne: spread, metricsClient: &fasthttp.Client{MaxIdleConnDuration: time.Minute}}
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

// issueKeys makes the keys of a process and returns their folder.
func (f *testFleet) issueKeys(role wire.Role, id string) (string, error) {
	dir := filepath.Join(f.dir, "keys", id)
	name := keys.Name{Role: role, ID: id, Domain: domain}
	if err := keys.Issue(f.authority(), name, keyLifetime, dir); err != nil {
		return "", fmt.Errorf("measure: %w", err)
	}
	return dir, nil
}

// newSpec returns what every process has.
func (f *testFleet) newSpec(role wire.Role, id string) (ProcessSpec, error) {
	dir, err := f.issueKeys(role, id)
	if err != nil {
		return ProcessSpec{}, err
	}
	page, err := f.ports.tcp()
	if err != nil {
		return ProcessSpec{}, err
	}
	peers, err := f.ports.udp()
	return ProcessSpec{Role: role, ID: id, Keys: dir, Metrics: page, Peers: peers, Controls: f.controlAddrs}, err
}

func (f *testFleet) startControl(ctx context.Context) error {
	var specs []ProcessSpec
	for i := range controlHosts {
		s, err := f.newSpec(wire.RoleControl, fmt.Sprintf("control-%d", i+1))
		if err != nil {
			return err
		}
		if s.Admin, err = f.ports.tcp(); err != nil {
			return err
		}
		s.Data = filepath.Join(f.dir, s.ID)
		specs = append(specs, s)
		f.controlAddrs = append(f.controlAddrs, s.Peers)
		f.adminAddrs = append(f.adminAddrs, s.Admin)
	}
	for _, s := range specs {
		s.Controls = f.controlAddrs
		p, err := startProcess(ctx, f.dir, s)
		if err != nil {
			return err
		}
		f.control = append(f.control, p)
	}
	return nil
}

func (f *testFleet) connectAdmin() error {
	dir, err := f.issueKeys(wire.RoleOperator, operator)
	if err != nil {
		return err
	}
	identity, err := keys.Load(dir)
	if err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	f.admin = adminapi.NewClient(identity, f.adminAddrs)
	return nil
}

func (f *testFleet) startEntry(ctx context.Context) error {
	var err error
	if f.entry, err = f.newEntry(ctx, 1); err != nil {
		return err
	}
	return poll(ctx, "apply the first configuration", func() error { return f.applyChange(ctx) })
}

func (f *testFleet) newEntry(ctx context.Context, n int) (*process, error) {
	s, err := f.newSpec(wire.RoleEntry, fmt.Sprintf("entry-%d", n))
	if err != nil {
		return nil, err
	}
	if s.Callers, err = f.ports.tcp(); err != nil {
		return nil, err
	}
	return startProcess(ctx, f.dir, s)
}

// scaleEntries starts entries until there are n.
func (f *testFleet) scaleEntries(ctx context.Context, n int) error {
	for len(f.extraEntries)+1 < n {
		p, err := f.newEntry(ctx, len(f.extraEntries)+2)
		if err != nil {
			return err
		}
		f.extraEntries = append(f.extraEntries, p)
	}
	return nil
}

// stopExtraEntries ends all entries but the first.
func (f *testFleet) stopExtraEntries() {
	for _, p := range f.extraEntries {
		p.stop()
	}
	f.extraEntries = nil
}

// applyChange applies a configuration that differs from the last in one weight.
func (f *testFleet) applyChange(ctx context.Context) error {
	text := baseConfig
	for i := range configTeams {
		weight := 1
		if i == f.changeNumber%configTeams {
			weight = 2 + f.changeNumber/configTeams
		}
		text += fmt.Sprintf("[team team-%d]\nweight = %d\n", i, weight)
	}
	req := adminapi.ApplyRequest{
		Op: fmt.Sprintf("change-%d", f.changeNumber), Base: f.version,
		Sources: []adminapi.Source{{File: "base.ini", Text: text}},
	}
	var reply adminapi.ChangeReply
	if err := f.post(ctx, req, &reply); err != nil {
		return err
	}
	if !reply.Accepted {
		return fmt.Errorf("measure: change %d was refused: %s", f.changeNumber, reply.Detail)
	}
	f.version = reply.Index
	f.changeNumber++
	return nil
}

func (f *testFleet) post(ctx context.Context, req adminapi.ApplyRequest, reply *adminapi.ChangeReply) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	if err := f.admin.Post(ctx, adminapi.PathApply, req, reply); err != nil {
		return fmt.Errorf("measure: apply change %d: %w", f.changeNumber, err)
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

// scaleAgents starts agents until there are n, and waits until all are announced.
func (f *testFleet) scaleAgents(ctx context.Context, n int) error {
	for i := len(f.agents); i < n; i++ {
		s, err := f.newSpec(wire.RoleAgent, fmt.Sprintf("agent-%d", i+1))
		if err != nil {
			return err
		}
		if s.Upstream, err = f.ports.tcp(); err != nil {
			return err
		}
		if f.announceToOne {
			s.Controls = f.controlAddrs[i%controlHosts : i%controlHosts+1]
		}
		p, err := startProcess(ctx, f.dir, s)
		if err != nil {
			return err
		}
		f.agents = append(f.agents, p)
	}
	return poll(ctx, fmt.Sprintf("wait for %d agents", n), func() error { return f.checkAnnounced(ctx, n) })
}

func (f *testFleet) checkAnnounced(ctx context.Context, n int) error {
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
	f.stopExtraEntries()
	all := append(append([]*process{}, f.agents...), f.control...)
	if f.entry != nil {
		all = append(all, f.entry)
	}
	for _, p := range all {
		p.stop()
	}
	f.agents, f.control, f.entry = nil, nil, nil
}
