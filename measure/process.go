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
	// processCommand is the subcommand that runs one process of the fleet.
	processCommand = "measure-process"
	// processEnv limits the processors that the Go runtime uses in each process.
	processEnv   = "GOMAXPROCS=2"
	startTimeout = 60 * time.Second
	pollInterval = 50 * time.Millisecond
	loopbackAddr = "127.0.0.1:0"
	domain       = "domain-a"
	site         = "measure"
)

// ProcessSpec describes one process of the fleet. It is passed to the process in a
// file.
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

// process is a running process of the fleet.
type process struct {
	spec ProcessSpec
	cmd  *exec.Cmd
}

// startProcess starts this executable as one process of the fleet. The kernel kills
// it when this process dies.
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
		return nil, fmt.Errorf("measure: find own executable: %w", err)
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

// stop kills the process and waits for it.
func (p *process) stop() {
	// Signalling fails if the process has already ended, which is not an error here.
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	_ = p.cmd.Wait()
}

func (p *process) scrape(client *fasthttp.Client) (scrape.Page, error) {
	return scrape.Get(client, "http://"+p.spec.Metrics+metrics.Path)
}

// usage is the resource usage of a process since its start.
type usage struct {
	cpuSeconds float64
	// memory is the current resident memory in bytes.
	memory float64
	// messages and bytes are the traffic between processes.
	messages float64
	bytes    float64
	// kinds splits messages and bytes by kind.
	kinds map[string]Traffic
}

// Traffic counts messages sent and received, and the bytes of their frames.
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

// since returns the usage since before. The memory is the current value, not a
// difference.
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

// The ports of a fleet are below the ephemeral port range of common systems, so that
// an outgoing connection cannot take a port before its process starts.
const (
	firstPort    = 20_000
	lastPort     = 31_999
	loopbackHost = "127.0.0.1"
)

// portAllocator allocates unused loopback addresses and returns each at most once.
type portAllocator struct{ next int }

// udp returns an unused UDP address.
func (p *portAllocator) udp() (string, error) {
	return p.findPort(func(addr string) error {
		c, err := net.ListenPacket("udp", addr)
		if err != nil {
			return err
		}
		return c.Close()
	})
}

// tcp returns an unused TCP address.
func (p *portAllocator) tcp() (string, error) {
	return p.findPort(func(addr string) error {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			return err
		}
		return l.Close()
	})
}

func (p *portAllocator) findPort(listen func(addr string) error) (string, error) {
	for p.next <= lastPort-firstPort {
		addr := net.JoinHostPort(loopbackHost, strconv.Itoa(firstPort+p.next))
		p.next++
		if listen(addr) == nil {
			return addr, nil
		}
	}
	return "", fmt.Errorf("measure: no free port from %d to %d", firstPort, lastPort)
}

// poll calls attempt until it succeeds, ctx ends or startTimeout has passed.
func poll(ctx context.Context, operation string, attempt func() error) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		err := attempt()
		if err == nil {
			return nil
		}
		if !pause(ctx, pollInterval) {
			return fmt.Errorf("measure: %s: %w", operation, err)
		}
	}
}

// pause waits for d and returns false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
