package daemon

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/keys"
	"github.com/fireflytray/fireflytray/metrics"
	"github.com/fireflytray/fireflytray/settings"
	"github.com/fireflytray/fireflytray/wire"
)

// output is a buffer that a daemon and its test share. It also sends each line to
// a channel.
type output struct {
	mu    sync.Mutex
	buf   bytes.Buffer
	lines chan string
}

func newOutput() *output { return &output{lines: make(chan string, 64)} }

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	// Lines that are queued together are written together.
	for line := range strings.Lines(string(p)) {
		o.lines <- line
	}
	return o.buf.Write(p)
}

// await returns once a line contains text.
func (o *output) await(t *testing.T, text string) {
	t.Helper()
	for line := range o.lines {
		if strings.Contains(line, text) {
			return
		}
	}
}

// awaitAny returns the first line that contains one of the texts.
func (o *output) awaitAny(t *testing.T, texts ...string) string {
	t.Helper()
	for line := range o.lines {
		for _, text := range texts {
			if strings.Contains(line, text) {
				return line
			}
		}
	}
	return ""
}

const agentSettings = `[process]
id = %s
domain = sv-a
site = svealand
drain-timeout = 10m
[listen]
peers = 127.0.0.1:7101
upstream = 127.0.0.1:7201
[control]
addresses = 127.0.0.1:7001
[worker]
rack = rack-1
processors = 32
memory-mb = 128000
`

// writeAgentFiles creates a directory with a certificate authority, the keys of
// agent-1 and settings with the given id. It returns the path of the settings.
func writeAgentFiles(t *testing.T, id string) (path string) {
	t.Helper()
	dir := t.TempDir()
	require.NoError(t, keys.Init(dir+"/ca"))
	name := keys.Name{Role: wire.RoleAgent, ID: "agent-1", Domain: "sv-a"}
	require.NoError(t, keys.Issue(dir+"/ca", name, keys.DefaultValidity, dir+"/keys"))
	path = filepath.Join(dir, "agent.ini")
	require.NoError(t, os.WriteFile(path, fmt.Appendf(nil, agentSettings, id), 0o600))
	return path
}

func program(run func(context.Context, Runtime, *settings.Agent) error) Program[settings.Agent] {
	return Program[settings.Agent]{
		Name:     "fireflytray-agent",
		Role:     wire.RoleAgent,
		Load:     settings.LoadAgent,
		Process:  func(s *settings.Agent) *settings.Process { return &s.Process },
		Controls: func(s *settings.Agent) []string { return s.Control },
		Run:      run,
	}
}

func signalSelf(t *testing.T, s syscall.Signal) {
	t.Helper()
	require.NoError(t, syscall.Kill(os.Getpid(), s))
}

// SIGHUP reloads the keys and the log level, SIGTERM ends the program's context,
// and the daemon exits with success only after the program has drained.
func TestSignalsReloadAndDrain(t *testing.T) {
	out := newOutput()
	drained := false
	p := program(func(ctx context.Context, rt Runtime, s *settings.Agent) error {
		<-ctx.Done()
		drained = true
		return nil
	})
	path := writeAgentFiles(t, "agent-1")
	code := make(chan int, 1)
	go func() { code <- Main(p, []string{"--config", path}, out, out) }()
	out.await(t, "started")
	signalSelf(t, syscall.SIGHUP)
	out.await(t, "keys reloaded")
	out.await(t, "log level reloaded")
	require.NoError(t, os.WriteFile(path, []byte("[process]\n"), 0o600))
	signalSelf(t, syscall.SIGHUP)
	out.await(t, "settings not reloaded")
	signalSelf(t, syscall.SIGTERM)
	require.Equal(t, ExitOK, <-code)
	require.True(t, drained)
}

// A process that runs on while all control hosts that it knows are replaced hears of the
// new ones by its settings; it must not need a restart to take them up.
func TestHangupPassesOnControlHosts(t *testing.T) {
	out := newOutput()
	changed := make(chan []string, 1)
	p := program(func(ctx context.Context, rt Runtime, s *settings.Agent) error {
		select {
		case addrs := <-rt.ControlsChanged:
			changed <- addrs
		case <-ctx.Done():
		}
		<-ctx.Done()
		return nil
	})
	path := writeAgentFiles(t, "agent-1")
	code := make(chan int, 1)
	go func() { code <- Main(p, []string{"--config", path}, out, out) }()
	out.await(t, "started")
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	before := regexp.MustCompile(`(?m)^addresses = .*$`)
	require.Regexp(t, before, string(text))
	text = before.ReplaceAll(text, []byte("addresses = 10.9.9.9:7720"))
	require.NoError(t, os.WriteFile(path, text, 0o600))
	signalSelf(t, syscall.SIGHUP)
	require.Equal(t, []string{"10.9.9.9:7720"}, <-changed)
	signalSelf(t, syscall.SIGTERM)
	require.Equal(t, ExitOK, <-code)
}

// A second SIGINT forces the exit of a daemon whose program does not drain.
func TestSecondInterruptForcesExit(t *testing.T) {
	out := newOutput()
	release := make(chan struct{})
	defer close(release)
	p := program(func(context.Context, Runtime, *settings.Agent) error {
		<-release
		return nil
	})
	path := writeAgentFiles(t, "agent-1")
	code := make(chan int, 1)
	go func() { code <- Main(p, []string{"--config", path}, out, out) }()
	out.await(t, "started")
	signalSelf(t, syscall.SIGINT)
	out.await(t, "draining")
	signalSelf(t, syscall.SIGINT)
	require.Equal(t, ExitForced, <-code)
}

// Repeated SIGTERMs, as supervisors send them in overlapping restarts, must not cut
// off work in flight.
func TestRepeatedSigtermDoesNotCutOffDrain(t *testing.T) {
	out := newOutput()
	release := make(chan struct{})
	drained := false
	p := program(func(ctx context.Context, _ Runtime, _ *settings.Agent) error {
		<-ctx.Done()
		<-release
		drained = true
		return nil
	})
	path := writeAgentFiles(t, "agent-1")
	code := make(chan int, 1)
	go func() { code <- Main(p, []string{"--config", path}, out, out) }()
	out.await(t, "started")
	signalSelf(t, syscall.SIGTERM)
	out.await(t, "draining")
	for range 3 {
		signalSelf(t, syscall.SIGTERM)
		require.Contains(t, out.awaitAny(t, "already draining", "cut off"), "already draining")
	}
	signalSelf(t, syscall.SIGINT)
	require.Contains(t, out.awaitAny(t, "already draining", "cut off"), "already draining")
	close(release)
	require.Equal(t, ExitOK, <-code)
	require.True(t, drained)
}

// A metrics address that is still in use by the predecessor must not end the
// daemon; the page is served once the address is free.
func TestMetricsAddressInUseDoesNotEndDaemon(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer taken.Close()
	addr := taken.Addr().String()
	path := writeAgentFiles(t, "agent-1")
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	text = bytes.Replace(text, []byte("[listen]\n"), []byte("[listen]\nmetrics = "+addr+"\n"), 1)
	require.NoError(t, os.WriteFile(path, text, 0o600))
	out := newOutput()
	p := program(func(ctx context.Context, _ Runtime, _ *settings.Agent) error {
		<-ctx.Done()
		return nil
	})
	code := make(chan int, 1)
	go func() { code <- Main(p, []string{"--config", path}, out, out) }()
	require.Contains(t, out.awaitAny(t, "metrics not served", "ended"), "metrics not served")
	require.NoError(t, taken.Close())
	require.Eventually(t, func() bool {
		resp, err := http.Get("http://" + addr + metrics.Path)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, 30*time.Second, 10*time.Millisecond)
	signalSelf(t, syscall.SIGTERM)
	require.Equal(t, ExitOK, <-code)
}

// Each error that prevents the start of a daemon is printed and has its exit code;
// --check never starts the program.
func TestStartupErrors(t *testing.T) {
	started := false
	p := program(func(context.Context, Runtime, *settings.Agent) error {
		started = true
		return nil
	})
	bad := filepath.Join(t.TempDir(), "bad.ini")
	require.NoError(t, os.WriteFile(bad, []byte("[process]\nid = a b\nname = x\n"), 0o600))
	for name, c := range map[string]struct {
		args []string
		code int
		want []string
	}{
		"no --config":                   {nil, ExitUsage, []string{"--config' was not specified"}},
		"missing file":                  {[]string{"--config", bad + "x"}, ExitUsage, []string{"settings: read: open"}},
		"extra argument":                {[]string{"--config", bad, "now"}, ExitUsage, []string{`unexpected argument "now"`}},
		"--check with invalid settings": {[]string{"--config", bad, "--check"}, ExitUsage, []string{bad + ":2: [process] id", bad + ":3: [process] name"}},
		"--check with valid settings":   {[]string{"--config", writeAgentFiles(t, "agent-1"), "--check"}, ExitOK, []string{"no errors"}},
		"keys of another agent":         {[]string{"--config", writeAgentFiles(t, "agent-2")}, ExitFailed, []string{"certificate in", "names agent agent-1 (sv-a), settings name agent agent-2 (sv-a)"}},
		"help":                          {[]string{"--help"}, ExitOK, []string{"--check"}},
	} {
		t.Run(name, func(t *testing.T) {
			out := newOutput()
			require.Equal(t, c.code, Main(p, c.args, out, out))
			for _, want := range c.want {
				require.Contains(t, out.buf.String(), want)
			}
		})
	}
	require.False(t, started)
}

// A program whose drain runs out of time has cut work off: the exit code must say so,
// whether the program reports it or the daemon gives up first.
func TestDrainTimeoutHasForcedExitCode(t *testing.T) {
	out := newOutput()
	p := program(func(ctx context.Context, _ Runtime, _ *settings.Agent) error {
		<-ctx.Done()
		return fmt.Errorf("entry e: drain: 3 requests in flight: %w", context.DeadlineExceeded)
	})
	path := writeAgentFiles(t, "agent-1")
	code := make(chan int, 1)
	go func() { code <- Main(p, []string{"--config", path}, out, out) }()
	out.await(t, "started")
	signalSelf(t, syscall.SIGTERM)
	require.Equal(t, ExitForced, <-code)
	require.Contains(t, out.buf.String(), "3 requests in flight")
}

// An overdue drain left no trace of what it was waiting for.
func TestOverdueDrainLogsStacks(t *testing.T) {
	out := newOutput()
	waiting, release := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(release) })
	p := program(func(ctx context.Context, _ Runtime, _ *settings.Agent) error {
		go waitForSilentPeer(waiting, release)
		<-waiting
		<-ctx.Done()
		return fmt.Errorf("drain: %w", context.DeadlineExceeded)
	})
	path := writeAgentFiles(t, "agent-1")
	code := make(chan int, 1)
	go func() { code <- Main(p, []string{"--config", path}, out, out) }()
	out.await(t, "started")
	signalSelf(t, syscall.SIGTERM)
	line := out.awaitAny(t, "waitForSilentPeer", "more stacks not logged")
	require.Contains(t, line, "still running")
	require.Equal(t, ExitForced, <-code)
}

// waitForSilentPeer closes waiting once it is on the stack of its goroutine.
func waitForSilentPeer(waiting chan<- struct{}, release <-chan struct{}) {
	close(waiting)
	<-release
}

// An error of a program that is not draining is a failure.
func TestFailureOutsideDrainHasFailedExitCode(t *testing.T) {
	out := newOutput()
	p := program(func(context.Context, Runtime, *settings.Agent) error {
		return fmt.Errorf("dial control: %w", context.DeadlineExceeded)
	})
	require.Equal(t, ExitFailed, Main(p, []string{"--config", writeAgentFiles(t, "agent-1")}, out, out))
}
