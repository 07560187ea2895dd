package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/fireflytray/fireflytray/load/scrape"
	"github.com/fireflytray/fireflytray/metrics"
	"github.com/fireflytray/fireflytray/wire"
)

const (
	// processCommand is the command that runs one process of a measurement.
	processCommand = "measure-process"
	// processEnv is the number of processors that Go uses in a process.
	processEnv   = "GOMAXPROCS=2"
	startTimeout = 60 * time.Second
	pollInterval = 50 * time.Millisecond
	loopbackAddr = "127.0.0.1:0"
	domain       = "domain-a"
	site         = "measure"
)

// ProcessSpec says what one process of a measurement is; it travels in a file.
type ProcessSpec struct {
	Role     wire.Role `json:"role"`
	ID       string    `json:"id"`
	Keys     string    `json:"keys"`
	Metrics  string    `json:"metrics"`
	Peers    string    `json:"peers,omitempty"`
	Callers  string    `json:"callers,omitempty"`
	Upstream string    `json:"upstream,omitempty"`
	Admin    string    `json:"admin,omitempty"`
	Data     string    `json:"data,omitempty"`
	Controls []string  `json:"controls"`
}

// process is a running process of a measurement.
type process struct {
	spec ProcessSpec
	cmd  *exec.Cmd
}

// startProcess starts this program again as one process of a measurement. It
// dies with this one.
func startProcess(ctx context.Context, dir string, spec ProcessSpec) (*process, error) {
	file := filepath.Join(dir, spec.ID+".json")
	b, err := json.Marshal(spec)
	if err != nil {
		return nil, fmt.Errorf("measure: encode %s: %w", spec.ID, err)
	}
	if err := os.WriteFile(file, b, fileMode); err != nil {
		return nil, fmt.Errorf("measure: %w", err)
	}
	self, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("measure: find this program: %w", err)
	}
	log, err := os.Create(filepath.Join(dir, spec.ID+".log"))
	if err != nil {
		return nil, fmt.Errorf("measure: %w", err)
	}
	defer log.Close()
	cmd := exec.CommandContext(ctx, self, processCommand, "--spec", file)
	cmd.Env = append(os.Environ(), processEnv)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("measure: start %s: %w", spec.ID, err)
	}
	return &process{spec: spec, cmd: cmd}, nil
}

// stop ends the process and waits for it.
func (p *process) stop() {
	// A process that has ended by itself can't be signalled; that is fine.
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	_ = p.cmd.Wait()
}

func (p *process) scrape(client *fasthttp.Client) (scrape.Page, error) {
	return scrape.Get(client, "http://"+p.spec.Metrics+metrics.Path)
}

// usage is what a process has used since its start.
type usage struct {
	cpuSeconds float64
	memory     float64
	messages   float64
	bytes      float64
	// kinds splits messages and bytes by kind.
	kinds map[string]Traffic
}

// Traffic is messages and bytes of frames, sent and received.
type Traffic struct {
	Messages float64 `json:"messages"`
	Bytes    float64 `json:"bytes"`
}

func (t Traffic) plus(o Traffic) Traffic { return Traffic{t.Messages + o.Messages, t.Bytes + o.Bytes} }

func (t Traffic) scale(f float64) Traffic { return Traffic{t.Messages * f, t.Bytes * f} }

const (
	transportMetrics = "transport"
	messagesSuffix   = "_messages"
	bytesSuffix      = "_bytes"
)

func (p *process) usage(client *fasthttp.Client) (usage, error) {
	page, err := p.scrape(client)
	if err != nil {
		return usage{}, fmt.Errorf("measure: %s: %w", p.spec.ID, err)
	}
	u := usage{
		cpuSeconds: page.Counters["process_cpu_seconds_total"],
		memory:     page.Gauges["process_resident_memory_bytes"],
	}
	u.addTraffic(page)
	return u, nil
}

func (u *usage) addTraffic(page scrape.Page) {
	u.kinds = map[string]Traffic{}
	for k, v := range page.CountersByKind {
		if !strings.Contains(k.Name, transportMetrics) {
			continue
		}
		t := u.kinds[k.Kind]
		switch {
		case strings.HasSuffix(k.Name, messagesSuffix):
			t.Messages += v
		case strings.HasSuffix(k.Name, bytesSuffix):
			t.Bytes += v
		}
		u.kinds[k.Kind] = t
	}
	for _, t := range u.kinds {
		u.messages += t.Messages
		u.bytes += t.Bytes
	}
}

// since returns what was used after before; the memory is the present one.
func (u usage) since(before usage) usage {
	memory := u.memory
	u = u.plus(before.scale(-1))
	u.memory = memory
	return u
}

func (u usage) plus(o usage) usage {
	sum := usage{u.cpuSeconds + o.cpuSeconds, u.memory + o.memory, u.messages + o.messages, u.bytes + o.bytes, map[string]Traffic{}}
	for _, kinds := range []map[string]Traffic{u.kinds, o.kinds} {
		for kind, t := range kinds {
			sum.kinds[kind] = sum.kinds[kind].plus(t)
		}
	}
	return sum
}

func (u usage) scale(f float64) usage {
	scaled := usage{u.cpuSeconds * f, u.memory * f, u.messages * f, u.bytes * f, map[string]Traffic{}}
	for kind, t := range u.kinds {
		scaled.kinds[kind] = t.scale(f)
	}
	return scaled
}

func (u usage) divide(n float64) usage { return u.scale(1 / n) }

// Addresses for a fleet come from ports below those that systems hand out to
// connections, so that a connection can't take one before its process starts.
const (
	firstPort    = 20_000
	lastPort     = 31_999
	loopbackHost = "127.0.0.1"
)

// portAllocator hands out free loopback addresses, each once.
type portAllocator struct{ next int }

// udp returns an address that is free for datagrams.
func (p *portAllocator) udp() (string, error) {
	return p.findPort(func(addr string) error {
		c, err := net.ListenPacket("udp", addr)
		if err != nil {
			return err
		}
		return c.Close()
	})
}

// tcp returns an address that is free for connections.
func (p *portAllocator) tcp() (string, error) {
	return p.findPort(func(addr string) error {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			return err
		}
		return l.Close()
	})
}

func (p *portAllocator) findPort(try func(addr string) error) (string, error) {
	for p.next <= lastPort-firstPort {
		addr := net.JoinHostPort(loopbackHost, strconv.Itoa(firstPort+p.next))
		p.next++
		if try(addr) == nil {
			return addr, nil
		}
	}
	return "", fmt.Errorf("measure: no free port from %d to %d", firstPort, lastPort)
}

// poll calls try until it succeeds, ctx ends or startWithin has passed.
func poll(ctx context.Context, what string, try func() error) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		err := try()
		if err == nil {
			return nil
		}
		if !pause(ctx, pollInterval) {
			return fmt.Errorf("measure: %s: %w", what, err)
		}
	}
}

// pause waits for d and returns false if ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
