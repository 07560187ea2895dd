package e2e

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// processTimeout bounds the life of each process.
	processTimeout = 2 * time.Minute
	// waitTimeout bounds each wait for something that has to come.
	waitTimeout = 30 * time.Second
	// pollInterval is the time between two looks at it.
	pollInterval = 25 * time.Millisecond
	fileMode     = 0o600
	// processThreadLimit keeps many processes from crowding the machine.
	processThreadLimit = "GOMAXPROCS=2"
)

// process is one process of a fleet. It can be started again after its end.
type process struct {
	name    string
	args    []string
	logPath string
	cmd     *exec.Cmd
	ended   chan struct{}
	cancel  context.CancelFunc
}

// start runs the program in a process group of its own.
func (p *process) start(t *testing.T) {
	t.Helper()
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	require.NoError(t, err)
	defer log.Close()
	ctx, cancel := context.WithTimeout(context.Background(), processTimeout)
	cmd := exec.CommandContext(ctx, p.args[0], p.args[1:]...)
	cmd.Env = append(os.Environ(), processThreadLimit)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	require.NoError(t, cmd.Start())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = cmd.Wait()
	}()
	p.cmd, p.ended, p.cancel = cmd, ended, cancel
}

// signal signals the process itself; it must not have ended.
func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Signal(s), "signal %v to %s", s, p.name)
}

// kill ends the process with SIGKILL and waits for its end.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	select {
	case <-p.ended:
	default:
		// The group may end between the look and the signal.
		_ = syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL)
		<-p.ended
	}
	p.cancel()
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// awaitExit returns the exit code.
func (p *process) awaitExit(t *testing.T) int {
	t.Helper()
	select {
	case <-p.ended:
	case <-time.After(waitTimeout):
		require.Fail(t, "process has not ended", p.name)
	}
	return p.cmd.ProcessState.ExitCode()
}

// readLog returns what the process has logged.
func (p *process) readLog(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(p.logPath)
	require.NoError(t, err)
	return string(text)
}

func binaryPath(name string) string { return filepath.Join(binaryDir, name) }

// poll calls try until it returns an empty string, which says what is missing.
func poll(t *testing.T, what string, try func() string) {
	t.Helper()
	missing := ""
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if missing = try(); missing == "" {
			return
		}
	}
	require.Fail(t, "waited in vain", "%s: %s", what, missing)
}

// Addresses come from ports below those that systems hand out to connections,
// so that a process can be started again on its own.
const (
	firstPort = 20_000
	lastPort  = 31_999
	loopback  = "127.0.0.1"
)

var ports = struct {
	sync.Mutex
	next int
}{next: firstPort + rand.IntN(lastPort-firstPort)}

// freeAddr returns a loopback address that is free for datagrams and
// connections; this run of the tests gets each once.
func freeAddr(t *testing.T) string {
	t.Helper()
	ports.Lock()
	defer ports.Unlock()
	for range lastPort - firstPort {
		addr := net.JoinHostPort(loopback, strconv.Itoa(ports.next))
		ports.next++
		if ports.next > lastPort {
			ports.next = firstPort
		}
		if isFree(addr) {
			return addr
		}
	}
	require.Fail(t, "no free port")
	return ""
}

func isFree(addr string) bool {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	defer l.Close()
	c, err := net.ListenPacket("udp", addr)
	if err != nil {
		return false
	}
	return c.Close() == nil
}
