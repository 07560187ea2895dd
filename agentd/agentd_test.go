package agentd

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/agent"
	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/upstream"
	"github.com/fireflytray/fireflytray/wire"
)

func TestEachTaskReceivesItsOwnResponse(t *testing.T) {
	s := newFixture(t, agent.Config{})
	c := s.dial(1, 0)
	c.awaitSlots(8)
	ids := taskIDs(8)
	for i, id := range ids {
		c.send(upstream.Payload{RunMS: float64(40 - 4*i), Echo: id.String()}, id)
	}
	for _, id := range ids {
		r := c.result(id)
		require.Equal(t, task.Complete, r.Outcome.State)
		var a upstream.Answer
		require.NoError(t, json.Unmarshal(r.Outcome.Body, &a))
		require.Equal(t, id.String(), a.Echo)
		require.Equal(t, id.String(), a.ID)
		require.Equal(t, 1, s.starts()[id.String()])
	}
}

func TestKilledUpstreamLeavesRunningTasksUnknown(t *testing.T) {
	s := newFixture(t, agent.Config{})
	c := s.dial(1, 0)
	c.awaitSlots(8)
	running := taskID(1)
	c.send(upstream.Payload{RunMS: 60_000}, running)
	s.awaitStart(running)
	s.upstream.Kill()
	out := c.result(running).Outcome
	require.Equal(t, task.Unknown, out.State)
	require.Equal(t, task.ReasonUpstreamGone, out.Reason)

	late := taskID(2)
	c.send(upstream.Payload{}, late)
	require.Equal(t, task.NotRun, c.result(late).Outcome.State)
	require.Zero(t, s.starts()[late.String()])

	c.awaitSlots(0)
	s.runUpstream(upstream.Options{})
	c.awaitSlots(8)
	again := taskID(3)
	c.send(upstream.Payload{}, again)
	require.Equal(t, task.Complete, c.result(again).Outcome.State)
}

func TestFrozenUpstreamStartsNoTaskTwice(t *testing.T) {
	s := newFixture(t, agent.Config{})
	c := s.dial(1, 0)
	c.awaitSlots(8)
	running := taskID(1)
	c.send(upstream.Payload{RunMS: 400}, running)
	s.awaitStart(running)
	require.NoError(t, s.upstream.SetFault(upstream.Fault{Mode: upstream.FaultFreeze}))
	c.awaitSlots(0)
	require.Equal(t, task.Unknown, c.result(running).Outcome.State)
	late := taskID(2)
	c.send(upstream.Payload{}, late)
	require.Equal(t, task.NotRun, c.result(late).Outcome.State)

	require.NoError(t, s.upstream.SetFault(upstream.Fault{Mode: upstream.FaultNone}))
	c.awaitSlots(8)
	next := taskID(3)
	c.send(upstream.Payload{}, next)
	require.Equal(t, task.Complete, c.result(next).Outcome.State)
	require.Equal(t, map[string]int{running.String(): 1, next.String(): 1}, s.starts())
	c.mu.Lock()
	defer c.mu.Unlock()
	require.Equal(t, 1, c.resultCounts[running], "the late response was reported too")
}

func TestSilentConnectionDoesNotFailUpstream(t *testing.T) {
	s := newFixture(t, agent.Config{CheckAfter: testLease / 4, CheckInterval: testLease / 4})
	c := s.dial(1, 0)
	c.awaitSlots(8)
	lost := taskID(1)
	c.send(upstream.Payload{RunMS: 300, Echo: "kept"}, lost)
	s.awaitStart(lost)
	require.NoError(t, s.upstream.SetFault(upstream.Fault{Mode: upstream.FaultSilent}))
	out := c.result(lost).Outcome
	require.Equal(t, task.Complete, out.State, "a status query returns the response")
	require.Contains(t, string(out.Body), "kept")
	for n := uint64(2); n < 30; n++ {
		c.send(upstream.Payload{}, taskID(n))
		require.Equal(t, task.Complete, c.result(taskID(n)).Outcome.State)
	}
	require.Equal(t, 1, s.starts()[lost.String()])
}

// Connections that fall silent must not leak. The upstream allows four, and each
// fault silences all of them, so a leak exhausts the pool within a few rounds.
func TestSilentConnectionsDontLeak(t *testing.T) {
	s := newFixture(t, agent.Config{CheckAfter: testLease / 6, CheckInterval: testLease / 6})
	s.stopUpstream()
	require.NoError(t, await(t, s.upstreamDone))
	s.runUpstream(upstream.Options{Slots: 2, Connections: 4})
	c := s.dial(1, 0)
	c.awaitSlots(2)
	for n := uint64(1); n <= 8; n++ {
		c.send(upstream.Payload{RunMS: 150}, taskID(n))
		s.awaitStart(taskID(n))
		require.NoError(t, s.upstream.SetFault(upstream.Fault{Mode: upstream.FaultSilent}))
		got := c.result(taskID(n)).Outcome
		require.Equal(t, task.Complete, got.State, "round %d: %+v", n, got)
	}
}

// A worker that fails every task is suspended after a few submissions, tried with
// one task at a time, and reinstated once a task succeeds. A single submission
// whose tasks all fail does not suspend it.
func TestFailingWorkerIsSuspendedAndReinstated(t *testing.T) {
	s := newFixture(t, agent.Config{SuspendFirst: testLease / 4})
	c := s.dial(1, 0)
	c.awaitSlots(8)
	for i := range uint32(20) {
		id := taskID(1)
		id.Index = i
		c.send(upstream.Payload{Fail: true}, id)
		require.Equal(t, task.Failed, c.result(id).Outcome.State)
	}
	succeeding := taskID(2)
	c.send(upstream.Payload{}, succeeding)
	require.Equal(t, task.Complete, c.result(succeeding).Outcome.State)

	require.NoError(t, s.upstream.SetFault(upstream.Fault{Mode: upstream.FaultFail}))
	for n := uint64(3); n < 8; n++ {
		c.send(upstream.Payload{}, taskID(n))
		require.Equal(t, task.Failed, c.result(taskID(n)).Outcome.State)
	}
	c.awaitSlots(1)
	trial := taskID(8)
	c.send(upstream.Payload{}, trial)
	require.Equal(t, task.Failed, c.result(trial).Outcome.State)

	require.NoError(t, s.upstream.SetFault(upstream.Fault{Mode: upstream.FaultNone}))
	c.awaitSlots(1)
	recovered := taskID(9)
	c.send(upstream.Payload{}, recovered)
	require.Equal(t, task.Complete, c.result(recovered).Outcome.State)
	c.awaitSlots(8)
}

func TestLeavingUpstreamOnlyFinishesRunningTasks(t *testing.T) {
	s := newFixture(t, agent.Config{})
	c := s.dial(1, 0)
	c.awaitSlots(8)
	running := taskID(1)
	c.send(upstream.Payload{RunMS: 2 * float64(testLease.Milliseconds())}, running)
	s.awaitStart(running)
	s.stopUpstream()
	c.awaitSlots(0)
	late := taskID(2)
	c.send(upstream.Payload{}, late)
	out := c.result(late).Outcome
	require.Equal(t, task.NotRun, out.State)
	require.Equal(t, task.ReasonDraining, out.Reason)
	require.Equal(t, task.Complete, c.result(running).Outcome.State)
	require.NoError(t, await(t, s.upstreamDone))
	require.Equal(t, map[string]int{running.String(): 1}, s.starts())
}

func TestDrainLetsRunningTasksFinish(t *testing.T) {
	s := newFixture(t, agent.Config{})
	c := s.dial(1, 0)
	c.awaitSlots(8)
	ids := taskIDs(12)
	c.send(upstream.Payload{RunMS: 1000}, ids...)
	s.awaitStart(ids[7])
	s.stopAgent()
	for i, id := range ids {
		out := c.result(id).Outcome
		if i < 8 {
			require.Equal(t, task.Complete, out.State, "task %d", i)
			continue
		}
		require.Equal(t, task.NotRun, out.State, "task %d", i)
		require.Equal(t, task.ReasonDraining, out.Reason)
	}
	c.update(&wire.Update{})
	require.NoError(t, await(t, s.agentDone))
	require.Len(t, s.starts(), 8)
}

// A task that crosses the agent's drain on a link with a long delay must be refused:
// if the session ends first, its outcome is unknown, and the request fails.
func TestAssignmentOnTheWayDuringDrainIsRefused(t *testing.T) {
	s := newFixture(t, agent.Config{})
	c := s.dial(1, 0)
	c.awaitSlots(8)
	s.stopAgent()
	// The entry learns of the drain after this delay; until then it sends tasks.
	time.Sleep(4 * lingerAfterDrain)
	late := taskID(1)
	c.send(upstream.Payload{}, late)
	out := c.result(late).Outcome
	require.Equal(t, task.NotRun, out.State)
	require.Equal(t, task.ReasonDraining, out.Reason)
	c.update(&wire.Update{})
	require.NoError(t, await(t, s.agentDone))
	require.Empty(t, s.starts())
}

func TestResultsSurviveSessionLoss(t *testing.T) {
	s := newFixture(t, agent.Config{})
	c := s.dial(1, 0)
	c.awaitSlots(8)
	sent, neverSent := taskID(1), taskID(2)
	c.send(upstream.Payload{RunMS: 100, Echo: "x"}, sent)
	s.awaitStart(sent)
	c.conn.Close("cut")
	reconnected := s.dial(2, c.welcome.From.Incarnation, sent, neverSent)
	require.Equal(t, task.Complete, reconnected.result(sent).Outcome.State)
	out := reconnected.result(neverSent).Outcome
	require.Equal(t, task.NotRun, out.State)
	require.Equal(t, task.ReasonNeverReceived, out.Reason)
	require.Equal(t, map[string]int{sent.String(): 1}, s.starts())
}

func TestRestartedAgentReportsEarlierTasksUnknown(t *testing.T) {
	s := newFixture(t, agent.Config{})
	c := s.dial(1, 0)
	c.awaitSlots(8)
	s.stopAgent()
	require.NoError(t, await(t, s.agentDone))
	s.runAgent(agent.Config{})
	reconnected := s.dial(2, c.welcome.From.Incarnation, taskID(1))
	out := reconnected.result(taskID(1)).Outcome
	require.Equal(t, task.Unknown, out.State)
	require.Equal(t, task.ReasonAgentRestarted, out.Reason)
}

func TestCancelStopsRunningTask(t *testing.T) {
	s := newFixture(t, agent.Config{})
	c := s.dial(1, 0)
	c.awaitSlots(8)
	id := taskID(1)
	c.send(upstream.Payload{RunMS: 60_000}, id)
	s.awaitStart(id)
	c.update(&wire.Update{Cancel: []task.ID{id}})
	out := c.result(id).Outcome
	require.Equal(t, task.Failed, out.State)
	require.Equal(t, task.ReasonCancelled, out.Reason)
	s.eventually(func() bool { return s.upstream.Journal()[0].State == upstream.TaskStopped })
}

func TestHelloMustMatchCertificate(t *testing.T) {
	s := newFixture(t, agent.Config{})
	id, err := s.ca.Identity(wire.RoleEntry, "entry-2", "sv-a")
	require.NoError(t, err)
	conn := dialAs(t, s, id)
	require.NoError(t, conn.Send(&wire.Hello{From: wire.Peer{Role: wire.RoleEntry, ID: "entry-1", Incarnation: 1}, Session: 1}))
	_, _, err = conn.Recv(t.Context())
	require.Error(t, err)
}
