package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
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
	// processThreads is the number of processors that Go uses in a process.
	processThreads = "GOMAXPROCS=2"
	startWithin    = 60 * time.Second
	pollEvery      = 50 * time.Millisecond
	loopback       = "127.0.0.1:0"
	domain         = "domain-a"
	site           = "measure"
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
	cmd.Env = append(os.Environ(), processThreads)
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

func (p *process) page(client *fasthttp.Client) (scrape.Page, error) {
	return scrape.Get(client, "http://"+p.spec.Metrics+metrics.Path)
}

// usage is what a process has used since its start.
type usage struct {
	cpuSeconds float64
	memory     float64
	messages   float64
	bytes      float64
}

func (p *process) usage(client *fasthttp.Client) (usage, error) {
	page, err := p.page(client)
	if err != nil {
		return usage{}, fmt.Errorf("measure: %s: %w", p.spec.ID, err)
	}
	u := usage{
		cpuSeconds: page.Counters["process_cpu_seconds_total"],
		memory:     page.Gauges["process_resident_memory_bytes"],
	}
	for name, v := range page.Counters {
		switch {
		case !strings.Contains(name, "transport"):
		case strings.HasSuffix(name, "_messages"):
			u.messages += v
		case strings.HasSuffix(name, "_bytes"):
			u.bytes += v
		}
	}
	return u, nil
}

// since returns what was used after before; the memory is the present one.
func (u usage) since(before usage) usage {
	u.cpuSeconds -= before.cpuSeconds
	u.messages -= before.messages
	u.bytes -= before.bytes
	return u
}

func (u usage) plus(o usage) usage {
	return usage{u.cpuSeconds + o.cpuSeconds, u.memory + o.memory, u.messages + o.messages, u.bytes + o.bytes}
}

func (u usage) over(n float64) usage {
	return usage{u.cpuSeconds / n, u.memory / n, u.messages / n, u.bytes / n}
}

// freeUDP and freeTCP return loopback addresses that were free a moment ago.
func freeUDP() (string, error) {
	c, err := net.ListenPacket("udp", loopback)
	if err != nil {
		return "", fmt.Errorf("measure: %w", err)
	}
	defer c.Close()
	return c.LocalAddr().String(), nil
}

func freeTCP() (string, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", fmt.Errorf("measure: %w", err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// poll calls try until it succeeds, ctx ends or startWithin has passed.
func poll(ctx context.Context, what string, try func() error) error {
	ctx, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	for {
		err := try()
		if err == nil {
			return nil
		}
		if !pause(ctx, pollEvery) {
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
