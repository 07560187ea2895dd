package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	controls = 3
	entries  = 2
	agents   = 4

	portControl    = 17720
	portAgent      = 17721
	portOperators  = 17722
	portClients    = 17723
	portReady      = 17724
	portAdmin      = 17725
	portCallers    = 17726
	portHeartbeats = 17727
	portUpstream   = 17728
)

// process is one of the programs under test.
type process struct {
	name, role string
	addr       string // IP address
	data       string // data folder
	settings   string // path of the settings file

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// fleet holds the processes of one run and the relays between them.
type fleet struct {
	t         *testing.T
	dir       string
	processes []*process
	logFile   *os.File
	// relays forward the traffic of callers and upstreams, and that of entries
	// and agents to the control hosts in their settings.
	relays []*relay
}

// Third octets of the addresses, 127.0.NET.i.
const (
	netControl = 1 + iota
	netEntry
	netAgent
	netToControl
	netToEntry
	netToAgent
	netToUpstream
)

func address(net, i, port int) string { return fmt.Sprintf("127.0.%d.%d:%d", net, i+1, port) }

func (f *fleet) addRelays(net, to, count, port int) {
	for i := range count {
		f.relays = append(f.relays, newRelay(f.t, address(net, i, port), address(to, i, port)))
	}
}

func newFleet(t *testing.T, dir, bin string) *fleet {
	f := &fleet{t: t, dir: dir}
	var err error
	f.logFile, err = os.Create(filepath.Join(dir, "processes.log"))
	require.NoError(t, err)
	for i := range controls {
		f.add("control", i, netControl)
	}
	for i := range entries {
		f.add("entry", i, netEntry)
	}
	for i := range agents {
		f.add("agent", i, netAgent)
	}
	f.addRelays(netToControl, netControl, controls, portControl)
	f.addRelays(netToEntry, netEntry, entries, portClients)
	f.addRelays(netToAgent, netAgent, agents, portHeartbeats)
	f.addRelays(netToUpstream, netAgent, agents, portUpstream)
	for _, p := range f.processes {
		f.writeSettings(p, false)
		f.start(bin, p)
	}
	return f
}

func (f *fleet) add(role string, i, net int) {
	name := fmt.Sprintf("%s-%d", role, i+1)
	f.processes = append(f.processes, &process{
		name: name, role: role, addr: fmt.Sprintf("127.0.%d.%d", net, i+1),
		data: filepath.Join(f.dir, name), settings: filepath.Join(f.dir, name+".ini"),
	})
}

func controlAddresses(net int) string {
	var list []string
	for i := range controls {
		list = append(list, address(net, i, portControl))
	}
	return strings.Join(list, ",")
}

// writeSettings writes the settings that deploy/ renders on the platform.
func (f *fleet) writeSettings(p *process, join bool) {
	text := fmt.Sprintf("[process]\nid = %s\ndomain = zone-%s\nsite = soak\nsilence = 500ms\ndrain-timeout = 5s\n[keys]\nself-signed = true\n",
		p.name, p.name[len(p.name)-1:])
	switch p.role {
	case "control":
		text += fmt.Sprintf("[listen]\nadmin = %s:%d\npeers = %s:%d\n[data]\nfolder = %s\n[cluster]\ninitial = %s\njoin = %t\nmanaged = true\nelection-timeout = 300ms\n[platform]\noperators = %s:%d\n",
			p.addr, portAdmin, p.addr, portControl, p.data, controlAddresses(netControl), join, p.addr, portOperators)
	case "entry":
		text += fmt.Sprintf("[listen]\ncallers = %s:%d\n[control]\naddresses = %s\n[placement]\norder = urgent\n[agents]\npulse = 250ms\ngone-after = 1s\n[platform]\nclients = %s:%d\nreadiness = %s:%d\n",
			p.addr, portCallers, controlAddresses(netToControl), p.addr, portClients, p.addr, portReady)
	case "agent":
		text += fmt.Sprintf("[listen]\npeers = %s:%d\nupstream = 127.0.0.1:1\n[control]\naddresses = %s\n[worker]\nrack = r\nprocessors = 1\nmemory-mb = 1\n[entries]\norphan-after = 800ms\n[platform]\nheartbeats = %s:%d\n",
			p.addr, portAgent, controlAddresses(netToControl), p.addr, portHeartbeats)
	}
	require.NoError(f.t, os.WriteFile(p.settings, []byte(text), 0o600))
}

func (f *fleet) start(bin string, p *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(filepath.Join(bin, "fireflytray-"+p.role), "--config", p.settings)
	cmd.Stdout, cmd.Stderr = f.logFile, f.logFile
	require.NoError(f.t, cmd.Start())
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait() // returns an error for killed processes
		close(done)
	}()
	p.cmd, p.done = cmd, done
}

// signal sends a signal to a process that the fleet started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s) // it may have exited
}

// awaitExit waits for the process to exit and reports whether it exited in time.
func (p *process) awaitExit(within time.Duration) bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	select {
	case <-done:
		return true
	case <-time.After(within):
		return false
	}
}

func (p *process) killAndWait() {
	p.signal(syscall.SIGKILL)
	p.awaitExit(5 * time.Second)
}

func (f *fleet) close() {
	for _, p := range f.processes {
		p.signal(syscall.SIGCONT)
		p.killAndWait()
	}
	for _, r := range f.relays {
		r.close()
	}
	f.logFile.Close()
}
