package agentd

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/agent"
	"github.com/fireflytray/fireflytray/keys"
	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/upstream"
	"github.com/fireflytray/fireflytray/wire"
)

// processKeysEnv names the folder of keys for a test binary that runs an agent.
const processKeysEnv = "FIREFLYTRAY_TEST_AGENT_KEYS"

const testCertValidity = time.Hour

func TestMain(m *testing.M) {
	if dir := os.Getenv(processKeysEnv); dir != "" {
		agentProcess(dir)
		return
	}
	os.Exit(m.Run())
}

// agentProcess runs an agent until it is killed.
func agentProcess(dir string) {
	id, err := keys.Load(dir)
	if err == nil {
		err = Run(context.Background(), Options{
			Self:     wire.Peer{ID: "agent-1", Domain: "sv-a"},
			Identity: id,
			Peers:    "127.0.0.1:0",
			Upstream: "127.0.0.1:0",
			Ready:    func(peers, up string) { fmt.Println(peers, up) },
		})
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}

// newProcessFixture is a site whose agent is a process of its own.
func newProcessFixture(t *testing.T) (*fixture, *os.Process) {
	dir := t.TempDir()
	ca, proc := filepath.Join(dir, "ca"), filepath.Join(dir, "agent")
	require.NoError(t, keys.Init(ca))
	require.NoError(t, keys.Issue(ca, keys.Name{Role: wire.RoleAgent, ID: "agent-1", Domain: "sv-a"}, testCertValidity, proc))
	authority, err := keys.OpenAuthority(ca)
	require.NoError(t, err)

	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), processKeysEnv+"="+proc)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	require.NoError(t, err)
	s := &fixture{t: t, ca: authority, start: time.Now()}
	s.peers, s.announce, _ = strings.Cut(strings.TrimSpace(line), " ")
	s.runUpstream(upstream.Options{})
	return s, cmd.Process
}

// An agent that was stopped by a signal starts nothing whose start deadline
// passed meanwhile, neither what waited inside it nor what waited in its
// socket, and loses no run that ended meanwhile.
func TestFrozenAgentStartsNoExpiredTask(t *testing.T) {
	const within, frozen = 500 * time.Millisecond, 1500 * time.Millisecond
	s, process := newProcessFixture(t)
	c := s.dial(1, 0)
	c.awaitSlots(8)
	ids := taskIDs(20)
	running, queued, buffered := ids[:8], ids[8:11], ids[11:]
	c.sendWithin(testTimeout, upstream.Payload{RunMS: 1000}, running...)
	for _, id := range running {
		s.awaitStart(id)
	}
	c.sendWithin(within, upstream.Payload{}, queued...)
	require.NoError(t, process.Signal(syscall.SIGSTOP))
	s.eventually(func() bool { return stopped(t, process.Pid) })
	c.sendWithin(within, upstream.Payload{}, buffered...)
	time.Sleep(frozen)
	require.NoError(t, process.Signal(syscall.SIGCONT))

	for _, id := range running {
		require.Equal(t, task.Complete, c.result(id).Outcome.State)
	}
	for _, id := range ids[8:] {
		out := c.result(id).Outcome
		require.Equal(t, task.NotRun, out.State)
		require.Equal(t, task.ReasonStartExpired, out.Reason)
	}
	require.Len(t, s.starts(), len(running))

	again := taskID(100)
	c.sendWithin(testTimeout, upstream.Payload{}, again)
	require.Equal(t, task.Complete, c.result(again).Outcome.State)
}

// stopped reports whether every thread of a process is stopped.
func stopped(t *testing.T, pid int) bool {
	stats, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	require.NoError(t, err)
	require.NotEmpty(t, stats)
	for _, path := range stats {
		stat, err := os.ReadFile(path)
		require.NoError(t, err)
		if _, after, _ := strings.Cut(string(stat), ") "); !strings.HasPrefix(after, "T") {
			return false
		}
	}
	return true
}

// A killed agent's tasks are never said not to have run by its successor.
func TestKilledAgentLeavesItsTasksUnknown(t *testing.T) {
	s, process := newProcessFixture(t)
	c := s.dial(1, 0)
	c.awaitSlots(8)
	id := taskID(1)
	c.sendWithin(testTimeout, upstream.Payload{RunMS: 200}, id)
	s.awaitStart(id)
	require.NoError(t, process.Kill())
	next := &fixture{t: t, ca: s.ca, start: s.start}
	next.runAgent(agent.Config{})
	again := next.dial(2, c.welcome.From.Incarnation, id)
	out := again.result(id).Outcome
	require.Equal(t, task.Unknown, out.State)
	require.Equal(t, task.ReasonAgentRestarted, out.Reason)
}
