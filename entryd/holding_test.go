package entryd

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/task"
)

// longHold outlasts every wait of a test.
const longHold = time.Minute

func (f *clientFixture) awaitHeld(n int) {
	f.t.Helper()
	f.eventually(func() bool { return f.d.holding.count() == n }, "%d requests held", n)
}

// After a loss of all power the callers come back before the entry has a
// configuration or an agent. Their jobs run in the order in which they arrived.
func TestHeldRequestsAreServedInOrder(t *testing.T) {
	f := newUnconfiguredFixture(t, longHold)
	f.serve()
	const jobs = 5
	var refs []string
	for i := range jobs {
		refs = append(refs, fmt.Sprintf("%016x", i))
		f.send(refs[i])
		f.awaitHeld(i + 1)
	}
	f.configure()
	require.Equal(t, jobs, f.d.holding.count(), "no agent is connected yet")
	require.Equal(t, 0, f.startedCount())
	f.connect()
	for i, ref := range refs {
		id := f.awaitStart(i + 1)
		require.Equal(t, ref+".0.0.0", f.name(id))
		f.end(id, task.Outcome{State: task.Complete})
	}
	f.awaitHeld(0)
	f.send("00000000000000ff")
	f.awaitStart(jobs + 1)
}

// Released all at once, the held jobs are late for all callers on a small host, and for
// the pings of its peers. A few are in progress at first, and each answer admits two.
func TestReleasedRequestsArePaced(t *testing.T) {
	const jobs = firstTurns + 5
	f := newUnconfiguredFixture(t, longHold)
	f.serve()
	ref := func(i int) string { return fmt.Sprintf("%016x", i) }
	for i := range jobs {
		f.send(ref(i))
		f.awaitHeld(i + 1)
	}
	f.configure()
	f.connect()
	for done := range jobs {
		id := f.awaitStart(done + 1)
		last := min(jobs, 2*done+firstTurns)
		f.eventually(func() bool { return f.d.InFlight(ref(last - 1)) }, "job %d in flight", last-1)
		if last < jobs {
			require.False(t, f.d.InFlight(ref(last)))
		}
		f.end(id, task.Outcome{State: task.Complete})
	}
}

// A request held at the start of a drain is refused as not run, and its job can't
// start any more. Without the setting it is refused at once.
func TestHeldRequestIsRefusedByDrain(t *testing.T) {
	for _, wait := range []time.Duration{0, longHold} {
		f := newUnconfiguredFixture(t, wait)
		f.serve()
		conn := f.send(testRef)
		if wait > 0 {
			f.awaitHeld(1)
			f.d.endHolds()
		}
		status, body := f.answer(conn)
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.Contains(t, body, "no configuration yet")
		f.configure()
		f.connect()
		require.Zero(t, f.startedCount())
	}
}

// A caller with little time left is refused while it can still use the answer.
func TestHoldLeavesTimeToTheCaller(t *testing.T) {
	f := newUnconfiguredFixture(t, longHold)
	f.serve()
	f.send(testRef)
	f.awaitHeld(1)
	impatient := f.send("00000000000000cc", "X-Fireflytray-Deadline-Ms: 150")
	status, _ := f.answer(impatient)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Contains(t, f.logs.text(), "outcome=expired")
	require.Equal(t, 1, f.d.holding.count(), "the other one has time")
}

// A job whose turn comes after its caller's time was started nevertheless, with too little
// time left to end, in place of others. It is refused as not run.
func TestMissedTurnIsRefused(t *testing.T) {
	const jobs = firstTurns + 1
	f := newUnconfiguredFixture(t, longHold)
	f.serve()
	for i := range firstTurns {
		f.send(fmt.Sprintf("%016x", i))
		f.awaitHeld(i + 1)
	}
	impatient := f.send("00000000000000cc", "X-Fireflytray-Deadline-Ms: 400")
	f.awaitHeld(jobs)
	f.configure()
	f.connect()
	f.eventually(func() bool { return f.d.InFlight(fmt.Sprintf("%016x", firstTurns-1)) }, "the first turns have begun")
	status, body := f.answer(impatient)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Contains(t, body, "turn")
	require.False(t, f.d.InFlight("00000000000000cc"))
}

// A request that is still held at its end, because no agent is connected, has missed no
// turn: it is handled as without a hold.
func TestHeldRequestWithoutAgentMissesNoTurn(t *testing.T) {
	f := newUnconfiguredFixture(t, longHold)
	// The caller waits on after the hold, however late the request is handled then.
	f.d.holding = newHolding(longHold, 9*time.Second)
	f.serve()
	conn := f.send(testRef, "X-Fireflytray-Deadline-Ms: 9400")
	f.awaitHeld(1)
	f.configure()
	status, body := f.answer(conn)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Contains(t, body, "no upstream")
}

// The time of a hold counts against the job's deadline.
func TestHoldCountsAgainstTheDeadline(t *testing.T) {
	f := newUnconfiguredFixture(t, longHold)
	f.serve()
	const deadline, held = 9 * time.Second, 50 * time.Millisecond
	f.send(testRef, fmt.Sprintf("X-Fireflytray-Deadline-Ms: %d", deadline.Milliseconds()))
	f.awaitHeld(1)
	f.configure()
	time.Sleep(held)
	f.connect()
	id := f.awaitStart(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	require.LessOrEqual(t, f.within[id], deadline-held)
}

// A caller that leaves during the hold gets no run: it sends its job to another
// entry.
func TestHeldCallerThatLeavesGetsNoRun(t *testing.T) {
	for name, leave := range leaves {
		t.Run(name, func(t *testing.T) {
			f := newUnconfiguredFixture(t, longHold)
			f.serve()
			conn := f.send(testRef)
			f.awaitHeld(1)
			stays := f.send(waitingRef)
			f.awaitHeld(2)
			require.NoError(t, leave(conn))
			f.awaitHeld(1)
			f.configure()
			f.connect()
			id := f.awaitStart(1)
			require.Equal(t, waitingRef+".0.0.0", f.name(id))
			f.end(id, task.Outcome{State: task.Complete})
			status, _ := f.answer(stays)
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, 1, f.startedCount())
		})
	}
}
