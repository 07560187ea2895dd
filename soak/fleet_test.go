package soak

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/platform/standin"
)

var (
	controls   = flag.Int("soak.controls", 3, "number of control hosts")
	entries    = flag.Int("soak.entries", 2, "least number of entries")
	agents     = flag.Int("soak.agents", 4, "least number of agents, each with one upstream")
	queueShare = flag.Bool("soak.queue-share", true, "set queue-share in the agents' settings; earlier programs don't know it")
)

const (
	portControl    = 17720
	portAgent      = 17721
	portOperators  = 17722
	portClients    = 17723
	portReady      = 17724
	portAdmin      = 17725
	portCallers    = 17726
	portHeartbeats = 17727
	portUpstream   = 17728
	portSpare      = 17729

	killTimeout = 5 * time.Second
	// failureDomains is the number of failure domains of the processes.
	failureDomains = 3
	// defaultDrain is the drain time-out in the settings.
	defaultDrain = 5 * time.Second
	// stopGrace is the time beyond the drain time-out that the platform gives a
	// process to end after SIGTERM before it is killed.
	stopGrace = time.Second
	// stopTimeout bounds the time beyond the drain time-out that a planned stop
	// takes. A program may take 2 s.
	stopTimeout = 3 * time.Second
)

// process is one of the programs under test.
type process struct {
	name, role string
	// id is that in the settings: the name, unless another process has taken the
	// place of the first one.
	id       string
	addr     string // IP address
	domain   string // failure domain
	data     string // data folder
	settings string // path of the settings file

	mu     sync.Mutex
	cmd    *exec.Cmd
	done   chan struct{}
	starts []time.Time // of all incarnations
	// stopping is set once the current incarnation has been told to end.
	stopping bool
	// paused is set while a fault pauses the process.
	paused bool
	// disturbances lists the unplanned faults, planned the signals that operators
	// send, both of all incarnations.
	disturbances []disturbance
	planned      []plannedSignal
}

// disturbance is an unplanned fault of a process.
type disturbance struct {
	kind     string
	from, to time.Time // to is zero while the fault lasts
}

type plannedSignal struct {
	name string
	at   time.Time
}

const (
	disturbanceKill  = "process killed"
	disturbancePause = "process paused"
)

// fleet holds the processes of one run and the relays between them.
type fleet struct {
	size
	t         *testing.T
	dir       string
	processes []*process
	logFile   *os.File
	// relays forward the traffic of callers and upstreams, and that of entries
	// and agents to the control hosts in their settings.
	relays []*relay
	ledger *standin.Ledger
	// plannedOnly makes each code other than 0 a violation: all work is planned, and
	// must not be cut off by the time-out of a drain.
	plannedOnly bool
	// drain is the drain time-out in the settings.
	drain      time.Duration
	singleCore bool
	// upstreamCrashes make the upstream of an agent crash.
	upstreamCrashes []chan struct{}
	// added holds control hosts that took the place of others. Only the injector of
	// faults and close use it.
	added []*process

	mu sync.Mutex
	// stops counts the incarnations that ended after SIGTERM, by role and status.
	stops map[string]int
}

// Third octets of the addresses, 127.SLOT.NET.i.
const (
	netControl = 1 + iota
	netEntry
	netAgent
	netToControl
	netToEntry
	netToAgent
	netToUpstream
)

// size holds the numbers of a fleet's processes and the slot of its addresses.
type size struct {
	slot, controls, entries, agents int
	// hosts holds the numbers of the control hosts that are not gone for good.
	hosts *hostNumbers
}

func (s size) address(net, i, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", s.slot, net, i+1, port)
}

func (s size) controlAddresses(net int) string {
	var list []string
	for _, i := range s.hosts.all() {
		through := net
		if i >= s.controls {
			through = netControl // those that are added have no relay
		}
		list = append(list, s.address(through, i, portControl))
	}
	return strings.Join(list, ",")
}

func (f *fleet) addRelays(net, to, count, port int) {
	for i := range count {
		f.relays = append(f.relays, newRelay(f.t, f.address(net, i, port), f.address(to, i, port)))
	}
}

func newFleet(t *testing.T, s size, dir, bin string, ledger *standin.Ledger, m mode) *fleet {
	f := &fleet{size: s, t: t, dir: dir, ledger: ledger, plannedOnly: m.plannedOnly, drain: m.drain, singleCore: m.singleCore, stops: map[string]int{}}
	f.openLog()
	for i := range f.controls {
		f.add("control", i, netControl)
	}
	for i := range f.entries {
		f.add("entry", i, netEntry)
	}
	for i := range f.agents {
		f.add("agent", i, netAgent)
		f.upstreamCrashes = append(f.upstreamCrashes, make(chan struct{}))
	}
	f.addRelays(netToControl, netControl, f.controls, portControl)
	f.addRelays(netToEntry, netEntry, f.entries, portClients)
	f.addRelays(netToAgent, netAgent, f.agents, portHeartbeats)
	f.addRelays(netToUpstream, netAgent, f.agents, portUpstream)
	for _, p := range f.processes {
		f.writeSettings(p, false)
		f.start(bin, p)
	}
	return f
}

func (f *fleet) openLog() {
	var err error
	f.logFile, err = os.Create(filepath.Join(f.dir, "processes.log"))
	require.NoError(f.t, err)
}

func (f *fleet) add(role string, i, net int) {
	f.processes = append(f.processes, f.newProcess(role, i, net))
}

func (f *fleet) newProcess(role string, i, net int) *process {
	name := fmt.Sprintf("%s-%d", role, i+1)
	return &process{
		name: name, id: name, role: role, addr: fmt.Sprintf("127.%d.%d.%d", f.slot, net, i+1),
		domain: fmt.Sprintf("zone-%d", 1+i%failureDomains), data: filepath.Join(f.dir, name), settings: filepath.Join(f.dir, name+".ini"),
	}
}

// writeSettings writes the settings that deploy/ renders on the platform.
func (f *fleet) writeSettings(p *process, join bool) {
	text := fmt.Sprintf("[process]\nid = %s\ndomain = %s\nsite = soak\nsilence = 500ms\ndrain-timeout = %s\n[keys]\nself-signed = true\n",
		p.id, p.domain, f.drain)
	switch p.role {
	case "control":
		text += fmt.Sprintf("[listen]\nadmin = %s:%d\npeers = %s:%d\n[data]\nfolder = %s\n[cluster]\ninitial = %s\njoin = %t\nmanaged = true\nelection-timeout = 300ms\n[platform]\noperators = %s:%d\n",
			p.addr, portAdmin, p.addr, portControl, p.data, f.controlAddresses(netControl), join, p.addr, portOperators)
	case "entry":
		text += fmt.Sprintf("[listen]\ncallers = %s:%d\n[control]\naddresses = %s\n[placement]\norder = urgent\nspeeds = true\n[agents]\npoke = 16\npulse = 250ms\ngone-after = 1s\ndials = 16\n[crashes]\nquarantine-share = 0.25\n[platform]\nclients = %s:%d\nreadiness = %s:%d\n",
			p.addr, portCallers, f.controlAddresses(netToControl), p.addr, portClients, p.addr, portReady)
	case "agent":
		credit := ""
		if *queueShare {
			credit = "queue-share = 0.05\n"
		}
		text += fmt.Sprintf("[listen]\npeers = %s:%d\nupstream = 127.0.0.1:1\n[control]\naddresses = %s\n[worker]\nrack = r\nprocessors = 1\nmemory-mb = 1\n[credit]\npolicy = rank\n%s[entries]\norphan-after = 800ms\n[platform]\nheartbeats = %s:%d\nlease = 1000ms\n",
			p.addr, portAgent, f.controlAddresses(netToControl), credit, p.addr, portHeartbeats)
	}
	require.NoError(f.t, os.WriteFile(p.settings, []byte(text), 0o600))
}

// start starts a process. It reports a failure without ending the test's
// goroutine, because faults call it from goroutines of their own.
func (f *fleet) start(bin string, p *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(filepath.Join(bin, "fireflytray-"+p.role), "--config", p.settings)
	cmd.Stdout, cmd.Stderr = f.logFile, f.logFile
	if f.singleCore {
		cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	}
	logStart := f.logSize()
	if err := cmd.Start(); err != nil {
		f.t.Errorf("start %s: %v", p.name, err)
		return
	}
	done := make(chan struct{})
	p.cmd, p.done, p.stopping, p.paused = cmd, done, false, false
	p.starts = append(p.starts, time.Now())
	f.note("%s started, pid %d", p.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait() // returns an error for killed processes
		f.note("%s ended: %v", p.name, err)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.endKill(time.Now())
		if !p.stopping {
			f.ledger.AddViolation("%s ended by itself: %v\n%s", p.name, err, f.lastOutput(logStart))
		}
		if code := cmd.ProcessState.ExitCode(); f.plannedOnly && code > 0 {
			f.ledger.AddViolation("%s, pid %d, ended with code %d after planned signals only", p.name, cmd.Process.Pid, code)
		}
		f.countStop(p.role, cmd.ProcessState)
		close(done)
	}()
}

func (f *fleet) countStop(role string, state *os.ProcessState) {
	if state.Sys().(syscall.WaitStatus).Signal() == syscall.SIGKILL {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stops[role+" "+state.String()]++
}

// countedStops describes the stops of all processes.
func (f *fleet) countedStops() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fmt.Sprint(f.stops)
}

// note writes a line of the soak into the log of the processes.
func (f *fleet) note(format string, args ...any) {
	fmt.Fprintf(f.logFile, "%s soak: %s\n", logTime(time.Now()), fmt.Sprintf(format, args...))
}

// logTime formats a time as the logs of the processes do.
func logTime(t time.Time) string { return t.UTC().Format("2006-01-02T15:04:05.000Z") }

// signal sends a signal to a process that the fleet started.
func (f *fleet) signal(p *process, s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	// The record precedes the signal, so that no effect is seen before it.
	now := time.Now()
	switch s {
	case syscall.SIGKILL:
		p.stopping = true
		p.disturbances = append(p.disturbances, disturbance{kind: disturbanceKill, from: now})
	case syscall.SIGSTOP:
		p.disturbances = append(p.disturbances, disturbance{kind: disturbancePause, from: now})
	case syscall.SIGTERM:
		p.stopping = true
		p.planned = append(p.planned, plannedSignal{"SIGTERM", now})
	case syscall.SIGHUP:
		p.planned = append(p.planned, plannedSignal{"SIGHUP", now})
	}
	p.paused = s == syscall.SIGSTOP || p.paused && s != syscall.SIGCONT
	f.note("%s receives %v", p.name, s)
	_ = p.cmd.Process.Signal(s) // it may have exited
	if n := len(p.disturbances); s == syscall.SIGCONT && n > 0 && p.disturbances[n-1].kind == disturbancePause && p.disturbances[n-1].to.IsZero() {
		p.disturbances[n-1].to = time.Now()
	}
}

// endKill records the end of a process that was killed. Until then the kernel accepts
// connections that nobody will read. The lock is held.
func (p *process) endKill(now time.Time) {
	for i := range p.disturbances {
		if d := &p.disturbances[i]; d.kind == disturbanceKill && d.to.IsZero() {
			d.to = now
		}
	}
}

// cycle sends SIGSTOP or SIGCONT without a record, unless a fault pauses the process.
func (p *process) cycle(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && !p.paused {
		_ = p.cmd.Process.Signal(s) // it may have exited
	}
}

// crashUpstream makes the upstream of an agent crash, if it runs.
func (f *fleet) crashUpstream(agent *process) {
	select {
	case f.upstreamCrashes[slices.Index(f.byRole("agent"), agent)] <- struct{}{}:
	default:
	}
}

// disturbed returns the kind of an unplanned fault that explains the end of a
// connection: a kill since it was opened, or a pause during the request.
func (p *process) disturbed(opened, written, ended time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range p.disturbances {
		begin := written
		if d.kind == disturbanceKill {
			begin = opened
		}
		if d.from.Before(ended) && (d.to.IsZero() || d.to.After(begin)) {
			return d.kind
		}
	}
	return ""
}

// plannedBefore describes the planned signals, before the end of a connection, to
// the incarnation that was the last to start before it was opened, and counts its
// SIGTERMs.
func (p *process) plannedBefore(opened, ended time.Time) (terms int, text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var begin time.Time
	for _, at := range p.starts {
		if at.Before(opened) {
			begin = at
		}
	}
	var list []string
	for _, s := range p.planned {
		if s.at.Before(begin) || s.at.After(ended) {
			continue
		}
		if s.name == "SIGTERM" {
			terms++
		}
		list = append(list, fmt.Sprintf("%s %d ms before the end", s.name, ended.Sub(s.at).Milliseconds()))
	}
	return terms, "signals: " + strings.Join(list, ", ")
}

// uptime returns how long the current incarnation has run.
func (p *process) uptime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.starts) == 0 {
		return 0 // the start failed
	}
	return time.Since(p.starts[len(p.starts)-1])
}

// awaitExit waits for the process to exit and reports whether it exited in time.
func (p *process) awaitExit(within time.Duration) bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(within):
		return false
	}
}

func (f *fleet) killAndWait(p *process) {
	f.signal(p, syscall.SIGKILL)
	if !p.awaitExit(killTimeout) {
		f.t.Errorf("%s did not end within %s of SIGKILL", p.name, killTimeout)
	}
}

// stop sends SIGTERM, calls draining and waits until the process has ended.
func (f *fleet) stop(p *process, draining func()) {
	f.signal(p, syscall.SIGTERM)
	draining()
	if f.plannedOnly && !p.awaitExit(f.drain+stopGrace) {
		f.t.Errorf("%s did not end within %s of SIGTERM, its goroutines are in the log", p.name, f.drain+stopGrace)
		f.signal(p, syscall.SIGQUIT)
	}
	if !p.awaitExit(f.drain + stopTimeout) {
		f.t.Errorf("%s did not end within %s of SIGTERM", p.name, f.drain+stopTimeout)
		f.killAndWait(p)
	}
}

func (f *fleet) byRole(role string) []*process {
	var list []*process
	for _, p := range f.processes {
		if p.role == role {
			list = append(list, p)
		}
	}
	return list
}

// entry returns the entry with the address of index i.
func (f *fleet) entry(i int) *process { return f.byRole("entry")[i] }

func (f *fleet) close() {
	for _, p := range append(f.processes, f.added...) {
		f.signal(p, syscall.SIGCONT)
		f.killAndWait(p)
	}
	for _, r := range f.relays {
		r.close()
	}
	f.logFile.Close()
}
