package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// processTimeout bounds the run time of each process.
	processTimeout = 2 * time.Minute
	// waitTimeout bounds each wait for a condition.
	waitTimeout = 30 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 25 * time.Millisecond
	fileMode     = 0o600
	// processThreadLimit limits the threads of each process, because many
	// processes run on one machine.
	processThreadLimit = "GOMAXPROCS=2"
)

// process is one process of a fleet. It can be restarted after it has exited.
type process struct {
	name    string
	args    []string
	logPath string
	cmd     *exec.Cmd
	ended   chan struct{}
	cancel  context.CancelFunc
}

// start starts the program in its own process group.
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

// signal sends a signal to the process only, which must still be running.
func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Signal(s), "signal %v to %s", s, p.name)
}

// pause sends SIGSTOP to the process and waits until each of its threads has stopped,
// which the kernel does some time after the signal.
func (p *process) pause(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGSTOP)
	dir := fmt.Sprintf("/proc/%d/task", p.cmd.Process.Pid)
	require.Eventually(t, func() bool {
		threads, err := os.ReadDir(dir)
		if err != nil {
			return false
		}
		for _, thread := range threads {
			if threadState(filepath.Join(dir, thread.Name(), "stat")) != "T" {
				return false
			}
		}
		return len(threads) > 0
	}, waitTimeout, time.Millisecond, "%s has not stopped", p.name)
}

// threadState returns the state in a stat file of /proc, the field after the name in
// parentheses; empty if the file can't be read.
func threadState(file string) string {
	text, err := os.ReadFile(file)
	if err != nil {
		return ""
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	state, _, _ := strings.Cut(rest, " ")
	return state
}

// kill sends SIGKILL to the process group and waits until the process exits.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	select {
	case <-p.ended:
	default:
		// The group may exit between the check and the signal.
		_ = syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL)
		<-p.ended
	}
	p.cancel()
}

// running reports whether the process is still running.
func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// awaitExit waits for the process to exit and returns the exit code.
func (p *process) awaitExit(t *testing.T) int {
	t.Helper()
	select {
	case <-p.ended:
	case <-time.After(waitTimeout):
		require.Fail(t, "process has not exited", p.name)
	}
	return p.cmd.ProcessState.ExitCode()
}

// readLog returns the output of the process.
func (p *process) readLog(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(p.logPath)
	require.NoError(t, err)
	return string(text)
}

func binaryPath(name string) string { return filepath.Join(binaryDir, name) }

// poll calls try until it returns an empty string. A non-empty result describes
// what is still missing.
func poll(t *testing.T, condition string, try func() string) {
	t.Helper()
	missing := ""
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if missing = try(); missing == "" {
			return
		}
	}
	require.Fail(t, "timed out waiting for a condition", "%s: %s", condition, missing)
}

// The port range lies below the ephemeral ports of common systems, so that no
// outgoing connection takes the port of a process that is to be restarted, and apart from
// that of package controld, whose tests run at the same time.
const (
	firstPort = 26_000
	lastPort  = 31_999
	loopback  = "127.0.0.1"
)

var ports = struct {
	sync.Mutex
	next int
}{next: firstPort + rand.IntN(lastPort-firstPort)}

// freeAddr returns a loopback address that is free for both TCP and UDP. It
// returns no address twice until the port range wraps around.
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
