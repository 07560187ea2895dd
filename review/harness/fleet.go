package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/fireflytray/fireflytray/platform/standin"
)

// The deployment that the cases play.
const (
	service      = "statements"
	region       = "prairie"
	fronts       = 3
	clientsPort  = 8161
	readyPort    = 8167
	controlPort  = 8166
	upstreamPort = 8080
	// holdMax is the longest lease of an upstream, graceTime the time from SIGTERM to
	// SIGKILL, heartbeatInterval the time between liveness reports.
	holdMax           = time.Second
	graceTime         = 6 * time.Second
	heartbeatInterval = 1500 * time.Millisecond
	stopGrace         = 50 * time.Millisecond
	// hostMilliCPU is the capacity of an upstream.
	hostMilliCPU = 64_000
	// startTimeout bounds the start of the fleet.
	startTimeout = 30 * time.Second
	fileMode     = 0o600
)

var zones = []string{"regina", "winnipeg", "saskatoon"}

// fleet is a small deployment: front machines with a control host and an entry each,
// and side machines with an agent and an upstream each.
type fleet struct {
	repository string
	dir        string
	rec        *record
	network    string
	ledger     *standin.Ledger

	mu        sync.Mutex
	processes []*process
	// helpers are the upstreams and what else runs until the fleet is closed.
	helpers sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
}

func newFleet(repository string, rec *record) (*fleet, error) {
	repository, err := filepath.Abs(repository)
	if err != nil {
		return nil, fmt.Errorf("find the repository: %w", err)
	}
	dir, err := os.MkdirTemp("", "fireflytray-review-")
	if err != nil {
		return nil, fmt.Errorf("create a folder: %w", err)
	}
	f := &fleet{repository: repository, dir: dir, rec: rec, network: freeNetwork(), ledger: standin.NewLedger()}
	f.ledger.SetTrace(func(format string, args ...any) { rec.add("upstream: "+format, args...) })
	f.ctx, f.cancel = context.WithCancel(context.Background())
	return f, nil
}

// freeNetwork returns the first three numbers of loopback addresses that no other
// process listens on.
func freeNetwork() string {
	for {
		network := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250))
		ln, err := net.Listen("tcp", network+".1:"+strconv.Itoa(controlPort))
		if err == nil {
			ln.Close()
			return network
		}
	}
}

// close ends every process and upstream that the fleet started.
func (f *fleet) close() {
	f.cancel()
	f.helpers.Wait()
	f.mu.Lock()
	processes := f.processes
	f.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir)
	} else {
		fmt.Println("settings and logs are in", f.dir)
	}
}

// machine is one machine of the deployment.
type machine struct {
	name, zone, ip string
	// seeds and bootstrap are those of the settings.
	seeds     []string
	bootstrap bool
}

func (f *fleet) ip(last int) string { return f.network + "." + strconv.Itoa(last) }

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// front returns the front machine with the number i, from 0.
func (f *fleet) front(i int) *machine {
	return &machine{name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], 1+i/len(zones)), zone: zones[i%len(zones)], ip: f.ip(1 + i), bootstrap: i < fronts}
}

// firstSideIP, firstUpstreamIP and firstProxyIP are the last numbers of the addresses of
// the first side machine, of its upstream and of what stands between the two.
const (
	firstSideIP     = 100
	firstUpstreamIP = 150
	firstProxyIP    = 200
)

// side returns the side machine with the number i, from 0.
func (f *fleet) side(i int) *machine {
	return &machine{name: fmt.Sprintf("side-%s-%d", zones[i%len(zones)], 1+i/len(zones)), zone: zones[i%len(zones)], ip: f.ip(firstSideIP + i)}
}

func controlAddresses(machines []*machine) []string {
	var out []string
	for _, m := range machines {
		out = append(out, address(m.ip, controlPort))
	}
	return out
}

// process is a running program of the project.
type process struct {
	name  string
	rec   *record
	cmd   *exec.Cmd
	ended chan struct{}
}

var section = regexp.MustCompile(`\{\{([#^])bootstrap\}\}(.*?)\{\{/bootstrap\}\}`)

// render fills in a template of the deploy file as DEPLOY.md says, as far as the
// project's templates need it.
func (f *fleet) render(role string, m *machine) (string, error) {
	text, err := os.ReadFile(filepath.Join(f.repository, "deploy", role+".ini"))
	if err != nil {
		return "", fmt.Errorf("read a template: %w", err)
	}
	out := section.ReplaceAllStringFunc(string(text), func(s string) string {
		parts := section.FindStringSubmatch(s)
		if (parts[1] == "#") == m.bootstrap {
			return parts[2]
		}
		return ""
	})
	out = strings.NewReplacer(
		"{{node}}", m.name, "{{zone}}", m.zone, "{{region}}", region, "{{ip}}", m.ip,
		"{{seeds}}", strings.Join(m.seeds, ","), "{{dataDir}}", f.dataDir(m), "{{faultTolerance.machines}}", "1",
		"{{listen.front}}", address(m.ip, clientsPort), "{{listen.ready}}", address(m.ip, readyPort),
		"{{listen.control}}", address(m.ip, controlPort), "{{bounds.holdMaxMs}}", strconv.FormatInt(holdMax.Milliseconds(), 10),
	).Replace(out)
	if strings.Contains(out, "{{") {
		return "", fmt.Errorf("template %s has an unknown placeholder", role)
	}
	return out, nil
}

func (f *fleet) dataDir(m *machine) string { return filepath.Join(f.dir, "data", m.name) }

// start starts the program of a role on a machine with the command of the deploy file.
func (f *fleet) start(role string, m *machine) (*process, error) {
	text, err := f.render(role, m)
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(f.dataDir(m), 0o700); err != nil {
		return nil, fmt.Errorf("create a data folder: %w", err)
	}
	config := filepath.Join(f.dir, m.name+"-"+role+".ini")
	if err := os.WriteFile(config, []byte(text), fileMode); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	logFile, err := os.OpenFile(filepath.Join(f.dir, m.name+"-"+role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, fmt.Errorf("open a log: %w", err)
	}
	defer logFile.Close()
	cmd := exec.Command(filepath.Join(f.repository, "target", "fireflytray-"+role), "--config", config)
	cmd.Dir = f.repository
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1", "GOGC=200")
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	p := &process{name: m.name + "/" + role, rec: f.rec, cmd: cmd, ended: make(chan struct{})}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", p.name, err)
	}
	go func() {
		defer close(p.ended)
		err := cmd.Wait()
		f.rec.add("%s has ended: %v", p.name, err)
	}()
	f.rec.add("started %s, pid %d, address %s, seeds %v", p.name, cmd.Process.Pid, m.ip, m.seeds)
	f.mu.Lock()
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	return p, nil
}

func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process if it runs.
func (p *process) signal(s syscall.Signal) {
	if p.running() {
		p.rec.add("%s gets %v", p.name, s)
		_ = p.cmd.Process.Signal(s) // the process may have just ended
	}
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	if p.running() {
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
}

// terminate stops the process as the platform does and waits for its end.
func (p *process) terminate() {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(graceTime):
		p.kill()
	}
}

// deployment holds the processes of the fleet at its start.
type deployment struct {
	fronts             []*machine
	sides              []*machine
	controls, entries  []*process
	agents             []*process
	stopUpstream       []context.CancelFunc
	upstreamIDs, addrs []string
	// reportTo are the addresses to which the upstreams send their liveness reports.
	reportTo []string
}

// deploy starts a fleet with three front machines, sides side machines and their
// upstreams, and waits until every entry serves.
func (f *fleet) deploy(sides int) (*deployment, error) {
	d := &deployment{}
	for i := range fronts {
		d.fronts = append(d.fronts, f.front(i))
	}
	for _, m := range d.fronts {
		m.seeds = controlAddresses(d.fronts)
		control, err := f.start("control", m)
		if err != nil {
			return nil, err
		}
		entry, err := f.start("entry", m)
		if err != nil {
			return nil, err
		}
		d.controls, d.entries = append(d.controls, control), append(d.entries, entry)
	}
	for i := range sides {
		m := f.side(i)
		m.seeds = controlAddresses(d.fronts)
		agent, err := f.start("agent", m)
		if err != nil {
			return nil, err
		}
		d.sides, d.agents = append(d.sides, m), append(d.agents, agent)
		d.upstreamIDs = append(d.upstreamIDs, fmt.Sprintf("i-%08x", rand.Uint32()))
		d.addrs = append(d.addrs, address(f.ip(firstUpstreamIP+i), upstreamPort))
		d.reportTo = append(d.reportTo, address(m.ip, controlPort))
		d.stopUpstream = append(d.stopUpstream, f.runUpstream(d, i))
	}
	if err := f.publishUntilAccepted(d.fronts, 1); err != nil {
		return nil, err
	}
	for _, m := range d.fronts {
		if err := f.awaitServing(m); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// runUpstream runs the upstream of a side machine until the result is called.
func (f *fleet) runUpstream(d *deployment, i int) context.CancelFunc {
	ctx, cancel := context.WithCancel(f.ctx)
	ended := make(chan struct{})
	f.rec.add("upstream %s of %s starts at %s", d.upstreamIDs[i], d.sides[i].name, d.addrs[i])
	f.helpers.Go(func() {
		defer close(ended)
		err := standin.Run(ctx, standin.Options{
			ID: d.upstreamIDs[i], Service: service, Addr: d.addrs[i], Agent: d.reportTo[i],
			MilliCPU: hostMilliCPU, MaxLease: holdMax, Heartbeats: heartbeatInterval, StopGrace: stopGrace, Ledger: f.ledger,
		})
		if err != nil && !errors.Is(err, context.Canceled) {
			f.rec.add("upstream %s: %v", d.upstreamIDs[i], err)
		}
	})
	return func() {
		cancel()
		<-ended
	}
}
