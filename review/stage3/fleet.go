package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports on each machine. The settings of deploy/ fix the others.
const (
	portClients   = 8161
	portReady     = 8167
	portOperators = 8166
	portExecutor  = 8080
)

// The second octets of the loopback addresses.
const firstSlot, slots = 64, 150

// machine is one host with a loopback address of its own.
type machine struct {
	name, zone, ip string
}

func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// process is a program of the project that runs on a machine.
type process struct {
	machine  *machine
	role     string
	settings string
	log      *os.File

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// fleet is a small deployment.
type fleet struct {
	root, dir string
	fronts    []*machine
	sides     []*machine
	seeds     []string
	processes []*process
	record    *record
}

// newFleet lays out machines in three zones. The first front of each zone has a disk and
// serves control.
func newFleet(root, dir string, slot, fronts, sides int, rec *record) *fleet {
	f := &fleet{root: root, dir: dir, record: rec}
	add := func(class string, net, n int) (list []*machine) {
		for i := range n {
			zone := fmt.Sprintf("zone-%d", 1+i%3)
			list = append(list, &machine{name: fmt.Sprintf("%s-%d", class, i+1), zone: zone, ip: fmt.Sprintf("127.%d.%d.%d", slot, net, i+1)})
		}
		return list
	}
	f.fronts, f.sides = add("front", 1, fronts), add("side", 2, sides)
	for _, m := range f.fronts[:3] {
		f.seeds = append(f.seeds, m.at(portOperators))
	}
	return f
}

// freeSlot returns the second octet of loopback addresses at which nothing listens.
func freeSlot() (int, error) {
	first := os.Getpid() % slots
	for n := range slots {
		slot := firstSlot + (first+n)%slots
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.1:%d", slot, portClients))
		if err == nil {
			return slot, ln.Close()
		}
	}
	return 0, errors.New("no free loopback addresses")
}

// start starts all processes, with the settings that deploy/ gives them.
func (f *fleet) start() error {
	for i, m := range f.fronts {
		if i < 3 {
			if err := f.add(m, "control"); err != nil {
				return err
			}
		}
		if err := f.add(m, "entry"); err != nil {
			return err
		}
	}
	for _, m := range f.sides {
		if err := f.add(m, "agent"); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) add(m *machine, role string) error {
	p := &process{machine: m, role: role, settings: filepath.Join(f.dir, m.name+"-"+role+".ini")}
	template, err := os.ReadFile(filepath.Join(f.root, "deploy", role+".ini"))
	if err != nil {
		return err
	}
	if err := p.writeSettings(f.render(string(template), m, true)); err != nil {
		return err
	}
	if p.log, err = os.Create(filepath.Join(f.dir, m.name+"-"+role+".log")); err != nil {
		return err
	}
	f.processes = append(f.processes, p)
	return f.launch(p)
}

func (p *process) writeSettings(text string) error {
	return os.WriteFile(p.settings, []byte(text), 0o600)
}

// render fills in a template of deploy/. bootstrap is true when the whole system starts for
// the first time.
func (f *fleet) render(text string, m *machine, bootstrap bool) string {
	control := m.at(portOperators)
	return strings.NewReplacer(
		"{{node}}", m.name, "{{zone}}", m.zone, "{{region}}", "region", "{{ip}}", m.ip,
		"{{seeds}}", strings.Join(f.seeds, ","), "{{listen.control}}", control,
		"{{listen.front}}", m.at(portClients), "{{listen.ready}}", m.at(portReady),
		"{{bounds.holdMaxMs}}", "1000", "{{dataDir}}", filepath.Join(f.dir, "data-"+m.name),
		"{{faultTolerance.machines}}", "1",
		"{{#bootstrap}}false{{/bootstrap}}{{^bootstrap}}true{{/bootstrap}}", strconv.FormatBool(!bootstrap),
	).Replace(text)
}

// launch starts a process with the command of the deploy file.
func (f *fleet) launch(p *process) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(filepath.Join(f.root, "target", "fireflytray-"+p.role), "--config", p.settings)
	cmd.Dir = f.root
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1", "GOGC=200")
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	f.record.note("%s of %s starts, pid %d", p.role, p.machine.name, cmd.Process.Pid)
	go func() {
		_ = cmd.Wait() // killed processes return an error
		close(ended)
	}()
	return nil
}

// of returns the process with a role on a machine.
func (f *fleet) of(m *machine, role string) *process {
	for _, p := range f.processes {
		if p.machine == m && p.role == role {
			return p
		}
	}
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s) // it may have ended
}

// freeze stops the process for a time.
func (f *fleet) freeze(p *process, d time.Duration) {
	f.record.note("%s of %s freezes for %s", p.role, p.machine.name, d)
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
	f.record.note("%s of %s goes on", p.role, p.machine.name)
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, p := range f.processes {
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
}
