package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/fireflytray/fireflytray/platform/standin"
)

// Ports of the platform's interfaces. The templates fix the other ports.
const (
	portClients    = 8161
	portOperators  = 8166
	portReady      = 8167
	portHeartbeats = 8166
	portExecutor   = 8080
)

// bounds are those of the site in milliseconds or machines.
const (
	configApply   = 2000 * time.Millisecond
	cancelWithin  = 3000 * time.Millisecond
	contact       = 3000 * time.Millisecond
	ackWithin     = 4000 * time.Millisecond
	holdMax       = 1000 * time.Millisecond
	heartbeats    = 1500 * time.Millisecond
	serviceName   = "statements"
	executorCores = 64_000
)

// host is one machine. It has an address of its own and at most two roles.
type host struct {
	name, zone, addr string
	roles            []string
}

// process is one role on a host.
type process struct {
	host           *host
	role, settings string
	cmd            *exec.Cmd
	done           chan struct{}
}

// fleet is a small deployment of the project's own programs.
type fleet struct {
	dir, root string
	rec       *record
	hosts     []*host
	processes []*process
	closing   sync.Once
	ledger    *standin.Ledger
	executors sync.WaitGroup
	stopped   context.CancelFunc
}

// errSetup marks errors that say that the case could not run.
var errSetup = errors.New("the case could not run")

// layout has three hosts with a disk, the given number of other front hosts and of hosts
// with an executor.
func layout(network string, fronts, sides int) []*host {
	zones := []string{"regina", "winnipeg", "saskatoon"}
	var hosts []*host
	add := func(kind string, i int, roles ...string) {
		hosts = append(hosts, &host{
			name: fmt.Sprintf("%s-%d", kind, i+1), zone: zones[i%len(zones)],
			addr: fmt.Sprintf("%s.%d", network, len(hosts)+1), roles: roles,
		})
	}
	for i := range 3 {
		add("core", i, "control", "entry")
	}
	for i := range fronts {
		add("front", i, "entry")
	}
	for i := range sides {
		add("side", i, "agent")
	}
	return hosts
}

// freeNetwork returns the first three octets of loopback addresses at which the ports of
// all hosts are free.
func freeNetwork(hosts int) (string, error) {
	for n := range 200 {
		network := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+n)%200, 1+(os.Getpid()/200+n)%250)
		if networkFree(network, hosts) {
			return network, nil
		}
	}
	return "", fmt.Errorf("%w: no free loopback addresses", errSetup)
}

func networkFree(network string, hosts int) bool {
	for i := range hosts {
		for _, port := range []int{7720, 7721, 7723, 7724, 7725, 7728, portClients, portOperators, portReady, portExecutor} {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, i+1, port))
			if err != nil {
				return false
			}
			ln.Close()
		}
	}
	return true
}

// startFleet starts all processes and one executor beside each agent.
func startFleet(root string, rec *record, fronts, sides int) (*fleet, error) {
	network, err := freeNetwork(3 + fronts + sides)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "fireflytray-review-")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errSetup, err)
	}
	f := &fleet{dir: dir, root: root, rec: rec, hosts: layout(network, fronts, sides), ledger: standin.NewLedger()}
	f.ledger.SetTrace(func(format string, args ...any) { rec.executor(fmt.Sprintf(format, args...)) })
	ctx, stop := context.WithCancel(context.Background())
	f.stopped = stop
	for _, h := range f.hosts {
		for _, role := range h.roles {
			if err := f.add(h, role); err != nil {
				return f, err
			}
		}
		if h.roles[0] == "agent" {
			f.runExecutor(ctx, h)
		}
	}
	for _, p := range f.processes {
		if err := f.start(p); err != nil {
			return f, err
		}
	}
	return f, nil
}

// seeds are the operators' addresses of the hosts with a disk.
func (f *fleet) seeds() string {
	var list []string
	for _, h := range f.hosts {
		if h.roles[0] == "control" {
			list = append(list, fmt.Sprintf("%s:%d", h.addr, portOperators))
		}
	}
	return strings.Join(list, ",")
}

func (f *fleet) add(h *host, role string) error {
	p := &process{host: h, role: role, settings: filepath.Join(f.dir, h.name+"-"+role+".ini")}
	f.processes = append(f.processes, p)
	return f.writeSettings(p, true)
}

// writeSettings renders the template of the deploy folder. Only the first start of the
// whole system is a bootstrap.
func (f *fleet) writeSettings(p *process, bootstrap bool) error {
	h, role := p.host, p.role
	text, err := render(filepath.Join(f.root, "deploy", role+".ini"), map[string]string{
		"node": h.name, "zone": h.zone, "region": "prairie", "ip": h.addr, "seeds": f.seeds(),
		"listen.front": fmt.Sprintf("%s:%d", h.addr, portClients), "listen.ready": fmt.Sprintf("%s:%d", h.addr, portReady),
		"listen.control":          fmt.Sprintf("%s:%d", h.addr, portOperators),
		"dataDir":                 filepath.Join(f.dir, h.name),
		"bootstrap":               "true",
		"faultTolerance.machines": "1",
		"bounds.holdMaxMs":        fmt.Sprint(holdMax.Milliseconds()),
	})
	if err != nil {
		return fmt.Errorf("%w: %w", errSetup, err)
	}
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return fmt.Errorf("%w: %w", errSetup, err)
	}
	return nil
}

// restart starts a process that has ended, as the platform does.
func (f *fleet) restart(p *process) error {
	if err := f.writeSettings(p, false); err != nil {
		return err
	}
	return f.start(p)
}

// start starts a process with the command of the deploy file.
func (f *fleet) start(p *process) error {
	out, err := os.OpenFile(filepath.Join(f.dir, p.host.name+"-"+p.role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("%w: %w", errSetup, err)
	}
	defer out.Close()
	cmd := exec.Command(filepath.Join(f.root, "target", "fireflytray-"+p.role), "--config", p.settings)
	cmd.Dir = f.root
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1", "GOGC=200")
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%w: start %s: %w", errSetup, p.role, err)
	}
	p.cmd, p.done = cmd, make(chan struct{})
	go func() {
		// The error of a process that the case has ended says nothing.
		_ = cmd.Wait()
		close(p.done)
	}()
	return nil
}

func (f *fleet) runExecutor(ctx context.Context, h *host) {
	f.executors.Go(func() {
		err := standin.Run(ctx, standin.Options{
			ID: "w-" + h.name, Service: serviceName, Addr: fmt.Sprintf("%s:%d", h.addr, portExecutor),
			Agent: fmt.Sprintf("%s:%d", h.addr, portHeartbeats), MilliCPU: executorCores, MaxLease: holdMax,
			Heartbeats: heartbeats, Ledger: f.ledger,
		})
		if err != nil {
			f.rec.printf("executor of %s failed: %v", h.name, err)
		}
	})
}

// find returns the process with a role on a host.
func (f *fleet) find(name, role string) *process {
	for _, p := range f.processes {
		if p.host.name == name && p.role == role {
			return p
		}
	}
	return nil
}

func (f *fleet) signal(p *process, s syscall.Signal) {
	f.rec.printf("%s %s: %v", p.host.name, p.role, s)
	_ = p.cmd.Process.Signal(s) // it may have ended
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() { f.closing.Do(f.closeOnce) }

func (f *fleet) closeOnce() {
	for _, p := range f.processes {
		if p.cmd != nil {
			_ = p.cmd.Process.Kill() // it may have ended
			<-p.done
		}
	}
	f.stopped()
	f.executors.Wait()
	os.RemoveAll(f.dir)
}
