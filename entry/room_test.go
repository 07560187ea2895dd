package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// boundedFixture is an entry with one agent that holds at most the given number of
// submissions and bytes.
func boundedFixture(t *testing.T, submissions, bytes int) *fixture {
	f := newFixture(t, "a1")
	f.e.opts.MaxSubmissions, f.e.opts.MaxBytes = submissions, bytes
	return f
}

func payloadJob(payloads ...[]byte) task.Submission {
	sub := job(len(payloads))
	for i, p := range payloads {
		sub.Tasks[i].Payload = p
	}
	return sub
}

// An entry ran out of memory on few but large requests: what it holds was bounded by
// number only. What doesn't fit is refused at once as not run, and fits once others are
// answered.
func TestSubmissionsInFlightAreBoundedInBytes(t *testing.T) {
	const payload = 10_000
	f := boundedFixture(t, 0, 3*(payload+taskOverhead))
	for n := range uint64(3) {
		require.Empty(t, answers(f.submit(n, payloadJob(make([]byte, payload)))))
	}
	got := answers(f.submit(3, payloadJob([]byte("x"))))
	require.Len(t, got, 1)
	require.Equal(t, task.NotRun, got[0].State)
	require.Equal(t, task.ReasonOverload, got[0].Reason)
	require.Positive(t, got[0].RetryAfter)
	require.EqualValues(t, 1, f.e.View().Stats.NoRoomForBytes)
	require.Equal(t, f.e.opts.MaxBytes, f.e.View().Bytes)

	f.step(Cancel{IDs: []task.SubmissionID{task.NewSubmissionID(1, 0)}})
	require.Empty(t, answers(f.submit(4, payloadJob([]byte("x")))))
	for n := range uint64(5) {
		f.step(Cancel{IDs: []task.SubmissionID{task.NewSubmissionID(1, n)}})
	}
	require.Zero(t, f.e.View().Bytes)
}

// A submission that could never fit is refused for good, not asked to come back.
func TestSubmissionAboveTheBoundIsTooLarge(t *testing.T) {
	f := boundedFixture(t, 0, 1000)
	got := answers(f.submit(1, payloadJob(make([]byte, 1000))))
	require.Len(t, got, 1)
	require.Equal(t, task.ReasonTooLarge, got[0].Reason)
	require.Zero(t, got[0].RetryAfter)
}

// The bound on the number of submissions had no effect.
func TestSubmissionsInFlightAreBoundedInNumber(t *testing.T) {
	f := boundedFixture(t, 2, 0)
	for n := range uint64(2) {
		require.Empty(t, answers(f.submit(n, job(1))))
	}
	got := answers(f.submit(2, job(1)))
	require.Len(t, got, 1)
	require.Equal(t, task.ReasonOverload, got[0].Reason)
	require.EqualValues(t, 1, f.e.View().Stats.NoRoomForSubmissions)
	f.step(Cancel{IDs: []task.SubmissionID{task.NewSubmissionID(1, 0)}})
	require.Empty(t, answers(f.submit(3, job(1))))
}

// Answers of tasks that wait for the rest of their job count too.
func TestAnswersThatWaitCountAsBytesInFlight(t *testing.T) {
	f := boundedFixture(t, 0, 1<<20)
	var tasks []wire.Assignment
	for _, s := range sends(f.submit(1, job(2))) {
		tasks = append(tasks, s.Update.Tasks...)
	}
	require.NotEmpty(t, tasks)
	before := f.e.View().Bytes
	body := make([]byte, 5000)
	f.step(Received{Agent: "a1", Session: f.e.agents["a1"].session, Report: f.report("a1", 1, wire.Result{ID: tasks[0].ID, Outcome: task.Outcome{State: task.Complete, Body: body}})})
	require.Equal(t, before+len(body), f.e.View().Bytes)
	f.step(Cancel{IDs: []task.SubmissionID{task.NewSubmissionID(1, 1)}})
	require.Zero(t, f.e.View().Bytes)
}

// A payload that all tasks of a job share is held once.
func TestSharedPayloadCountsOnce(t *testing.T) {
	p := make([]byte, 4000)
	require.Equal(t, 4000+3*taskOverhead, submissionSize(&task.Submission{Tasks: []task.Spec{{Payload: p}, {Payload: p}, {Payload: p}}}))
	require.Equal(t, 4002+3*taskOverhead, submissionSize(&task.Submission{Tasks: []task.Spec{{Payload: p}, {}, {Payload: []byte("ab")}}}))
}
