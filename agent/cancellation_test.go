package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/wire"
)

// cancellationNews lists what reports say about cancelled jobs: the submissions as
// entry.submission, and the answers as request:found.
func cancellationNews(effs []Effect) []string {
	var out []string
	for _, eff := range effs {
		if r, ok := eff.(SendReport); ok {
			out = append(out, describeNews(r.Report)...)
		}
	}
	return out
}

func describeNews(r *wire.Report) []string {
	var out []string
	for _, c := range r.Cancelled {
		out = append(out, fmt.Sprintf("%d.%d", c.Submission.Incarnation(), c.Submission[15]))
	}
	for _, w := range r.Withdrawn {
		out = append(out, fmt.Sprintf("%d:%t", w.Request, w.Found))
	}
	return out
}

func (f *lockFixture) send(session SessionID, u wire.Update) []Effect {
	f.seq[session]++
	u.Seq, u.SentAt = f.seq[session], f.now
	return f.step(UpdateReceived{Session: session, Update: &u})
}

// withdraw passes on a cancellation by the entry with the given session.
func (f *lockFixture) withdraw(session SessionID, request uint64) []string {
	return cancellationNews(f.send(session, wire.Update{Withdraw: []wire.Withdrawal{{Request: request, Ref: lockRef}}}))
}

// acknowledge acknowledges each report of the agent on a session.
func (f *lockFixture) acknowledge(session SessionID) []string {
	return cancellationNews(f.send(session, wire.Update{Ack: f.s.sessions[session].reportSeq}))
}

// requestLock is acquire that returns the cancellations.
func (f *lockFixture) requestLock(session SessionID, n uint64, age time.Duration) []string {
	return cancellationNews(f.send(session, wire.Update{Acquire: []wire.LockRequest{{
		Ref: lockRef, Submission: submissionOf(session, n), Age: age, Within: 30 * time.Second,
	}}}))
}

// A cancellation at another entry has to reach the holder and whoever waits, and may be
// confirmed only once both have acknowledged it.
func TestCancellationIsConfirmedOnceItsEntriesKnow(t *testing.T) {
	f := newLockAgent(t)
	f.requestLock(1, 1, 0)
	f.now += time.Second
	f.requestLock(2, 1, 0)
	f.now += time.Second
	require.Equal(t, []string{"1.1", "2.1"}, f.withdraw(3, 7))
	require.Empty(t, f.withdraw(3, 8), "told once on each session")
	require.Empty(t, f.acknowledge(1))
	require.Equal(t, []string{"7:true", "8:true"}, f.acknowledge(2))
	require.Empty(t, f.s.cancellations.pending)
	require.Zero(t, f.s.cancellations.asked)
}

// A holder that releases its lock has no runs left, whatever it has acknowledged.
func TestCancellationIsConfirmedByTheEndOfTheJob(t *testing.T) {
	f := newLockAgent(t)
	f.requestLock(1, 1, 0)
	f.now += time.Second
	require.Equal(t, []string{"1.1"}, f.withdraw(2, 7))
	effs := f.send(1, wire.Update{Release: []wire.LockRef{{Ref: lockRef, Submission: submissionOf(1, 1)}}})
	require.Equal(t, []string{"7:true"}, cancellationNews(effs))
}

// A job that nobody has is answered at once, so that its client need not wait.
func TestCancellationOfAbsentJobIsAnsweredAtOnce(t *testing.T) {
	f := newLockAgent(t)
	require.Equal(t, []string{"1:false"}, f.withdraw(1, 1))
	f.requestLock(2, 1, 0)
	f.now += 31 * time.Second
	require.Equal(t, []string{"2:false"}, f.withdraw(1, 2), "the holder can have no more runs")
}

// A submission whose request for its lock is overtaken by the cancellation went on.
func TestCancellationReachesSubmissionUnderWay(t *testing.T) {
	f := newLockAgent(t)
	require.Equal(t, []string{"1:false"}, f.withdraw(1, 1))
	f.now += time.Second
	require.Equal(t, []string{"2.1"}, f.requestLock(2, 1, 1500*time.Millisecond))
}

// A copy of the request that arrived seconds after the answer to a cancelled job ran the job
// from the start at an entry that knew nothing of it. The id stays that of the one job, also
// once the submission that was cancelled is over.
func TestCopyOfCancelledJobIsCancelled(t *testing.T) {
	f := newLockAgent(t)
	f.requestLock(1, 1, 0)
	f.now += time.Second
	require.Equal(t, []string{"1.1"}, f.withdraw(2, 1))
	require.Equal(t, []string{"1:true"}, f.acknowledge(1))
	f.send(1, wire.Update{Release: []wire.LockRef{{Ref: lockRef, Submission: submissionOf(1, 1)}}})
	f.now += 3500 * time.Millisecond
	require.Equal(t, []string{"3.1"}, f.requestLock(3, 1, 0))
	require.Empty(t, f.acknowledge(3))
	f.send(3, wire.Update{Release: []wire.LockRef{{Ref: lockRef, Submission: submissionOf(3, 1)}}})
	f.now += cancellationRetention - 4*time.Second
	require.Equal(t, []string{"2:false"}, f.withdraw(2, 2), "a second cancellation finds none in progress")
	f.now += cancellationRetention - time.Second
	require.Equal(t, []string{"1.2"}, f.requestLock(1, 2, 0), "it keeps the record for longer")
	f.now += cancellationRetention
	require.Empty(t, f.requestLock(2, 1, 0), "the record is kept no longer")
}

// A copy that waits behind a submission that is being cancelled is cancelled with it, and
// the cancellation is confirmed only once both know.
func TestCopyThatArrivesDuringCancellationIsCancelled(t *testing.T) {
	f := newLockAgent(t)
	f.requestLock(1, 1, 0)
	f.now += time.Second
	require.Equal(t, []string{"1.1"}, f.withdraw(2, 1))
	f.now += time.Second
	require.Equal(t, []string{"3.1"}, f.requestLock(3, 1, 500*time.Millisecond))
	require.Empty(t, f.acknowledge(1))
	require.Equal(t, []string{"1:true"}, f.acknowledge(3))
}

// A cancellation that found no submission was answered "no such job". A submission that
// arrives later is that of a new job, and another cancellation ends it.
func TestJobSubmittedAfterCancellationOfNoneIsNew(t *testing.T) {
	f := newLockAgent(t)
	require.Equal(t, []string{"1:false"}, f.withdraw(2, 1))
	f.now += time.Second
	require.Empty(t, f.requestLock(3, 1, 500*time.Millisecond))
	f.now += time.Second
	require.Equal(t, []string{"3.1"}, f.withdraw(2, 2))
	require.Equal(t, []string{"2:true"}, f.acknowledge(3))
}

// A report may be lost with its session. The holder is told again on the next one, and an
// acknowledgement of another report confirms nothing.
func TestHolderIsToldOfCancellationOnItsNextSession(t *testing.T) {
	f := newLockAgent(t)
	f.requestLock(1, 1, 0)
	f.now += time.Second
	require.Equal(t, []string{"1.1"}, f.withdraw(2, 1))
	f.step(SessionClosed{Session: 1})
	require.Empty(t, f.withdraw(2, 2), "out of reach")
	w := f.open(11, 1, "entry-1")
	require.Equal(t, []string{"1.1"}, describeNews(w.Report))
	require.Equal(t, []string{"1:true", "2:true"}, f.acknowledge(11))
}

// A cancellation waited for an entry that has been restarted, whose runs are being stopped.
func TestLockOfRestartedEntryIsNoJob(t *testing.T) {
	f := newLockAgent(t)
	f.requestLock(1, 1, 0)
	f.now += 100 * time.Millisecond
	require.Equal(t, []string{"1.1"}, f.withdraw(2, 1))
	f.step(SessionClosed{Session: 1})
	h := hello(4, 11)
	h.From.ID = "entry-1"
	require.Equal(t, []string{"1:true"}, cancellationNews(f.step(SessionOpened{Session: 11, Hello: h})))
	require.Equal(t, []string{"2:false"}, f.withdraw(3, 2), "asked after the restart")
}

// An entry of an older build acknowledges the report and goes on with the job.
func TestOlderEntryConfirmsNoCancellation(t *testing.T) {
	f := newLockAgent(t)
	h := hello(4, 11)
	h.From.ID, h.HeedsCancelled = "entry-4", false
	f.step(SessionOpened{Session: 11, Hello: h})
	f.requestLock(11, 1, 0)
	f.now += time.Second
	require.Equal(t, []string{"11.1"}, f.withdraw(2, 1))
	require.Empty(t, f.acknowledge(11))
	effs := f.send(11, wire.Update{Release: []wire.LockRef{{Ref: lockRef, Submission: submissionOf(11, 1)}}})
	require.Equal(t, []string{"1:true"}, cancellationNews(effs))
}

// What entries pass on must not fill the agent's memory, or keep it filled.
func TestCancellationsAreBounded(t *testing.T) {
	f := newLockAgent(t)
	var u wire.Update
	for i := range maxCancellations + 100 {
		u.Withdraw = append(u.Withdraw, wire.Withdrawal{Request: uint64(i), Ref: fmt.Sprint(i)})
	}
	f.send(1, u)
	require.LessOrEqual(t, len(f.s.cancellations.byRef), maxCancellations)
	require.LessOrEqual(t, f.s.cancellations.asked, maxCancellations)
	f.now += cancellationRetention + cancellationSweepInterval
	f.step(Tick{})
	require.Empty(t, f.s.cancellations.byRef)
	require.Empty(t, f.s.cancellations.pending)
	require.Zero(t, f.s.cancellations.asked)
}
