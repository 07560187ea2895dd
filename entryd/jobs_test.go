package entryd

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/entry"
	"github.com/fireflytray/fireflytray/task"
)

const testRef = "0123456789abcdef"

// A cancellation must name the submission of its job also while that is being posted.
func TestAcknowledgedCancellationNamesItsSubmission(t *testing.T) {
	d := New(Options{Log: log.New(io.Discard)})
	filled := make(chan struct{})
	go func() { // the loop does not run: Post blocks once the queue is full
		defer close(filled)
		for range 4096 {
			d.loop.Post(entry.Tick{})
		}
	}()
	<-filled
	go d.SubmitJob(draftOf(task.Submission{Ref: testRef, Job: true, Service: "s", Tasks: []task.Spec{{Name: "a"}}}), nil, func(task.Answer) {})
	require.Eventually(t, func() bool { return d.InFlight(testRef) }, 5*time.Second, time.Millisecond)
	time.Sleep(20 * time.Millisecond)
	r := d.jobs.inFlight(testRef)
	require.NotNil(t, r, "CancelJob acknowledges the cancellation")
	require.NotEqual(t, task.SubmissionID{}, r.id, "CancelJob cancels this submission")
}

// A cancellation must be posted after its submission: an earlier one has no effect.
func TestCancellationFollowsItsSubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Options{Log: log.New(io.Discard)})
		r, _ := d.jobs.open(0, &task.Submission{Ref: testRef}, d.newSubmissionID(), &jobCaller{done: func(task.Answer) {}})
		acknowledged := make(chan task.Cancellation, 1)
		go func() { acknowledged <- d.CancelJob(testRef) }()
		synctest.Wait()
		require.Empty(t, acknowledged, "the submission is not posted yet")
		close(r.submitted)
		require.Equal(t, task.Cancelled, <-acknowledged)
	})
}

// The entry that holds a job ended it by itself, so that nobody else knew and a copy of the
// request at another entry ran the job. The agents that keep the lock learn of it first.
func TestCancellationAtTheHolderIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Options{Log: log.New(io.Discard)})
		r, _ := d.jobs.open(0, &task.Submission{Ref: testRef}, d.newSubmissionID(), &jobCaller{done: func(task.Answer) {}})
		close(r.submitted)
		acknowledged := make(chan task.Cancellation, 1)
		go func() { acknowledged <- d.CancelJob(testRef) }()
		synctest.Wait()
		require.Empty(t, acknowledged, "the agents have not answered")
		d.cancellations.answer(entry.JobCancelled{Request: 1, Outcome: task.NoSuchJob})
		require.Equal(t, task.Cancelled, <-acknowledged, "this entry has cancelled it, whatever they say")
	})
}

func newTestCaller() (c *jobCaller, answers chan task.Answer) {
	answers = make(chan task.Answer, 2)
	return &jobCaller{done: func(a task.Answer) { answers <- a }, stopWatch: func() {}}, answers
}

// The reducer keeps a new submission of a job from starting before the runs of the
// cancelled one have ended. It must learn of the cancellation first.
func TestResubmissionFollowsCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Options{Log: log.New(io.Discard)})
		c, answers := newTestCaller()
		sub := task.Submission{Ref: testRef, Job: true, Service: "s", Tasks: []task.Spec{{Name: "a"}}}
		r, _ := d.jobs.open(0, &sub, d.newSubmissionID(), c)
		left := make(chan struct{})
		go func() { defer close(left); d.callerLeft(c) }()
		synctest.Wait()
		resubmitted := make(chan struct{})
		go func() { defer close(resubmitted); d.SubmitJob(draftOf(sub), nil, func(task.Answer) {}) }()
		synctest.Wait()
		require.Empty(t, d.callbacks, "the cancellation is not posted yet")
		close(r.submitted)
		<-left
		<-resubmitted
		require.Len(t, d.callbacks, 1)
		require.Equal(t, task.ReasonCallerGone, (<-answers).Reason)
		require.Empty(t, answers)
	})
}

// An abandoned job that has completed before its cancellation must not run again,
// while any other answer to it results from the cancellation and is true for nobody.
func TestAbandonedJobAnswersOnlyIfComplete(t *testing.T) {
	for _, state := range []task.State{task.Complete, task.Failed, task.Unknown, task.NotRun} {
		t.Run(state.String(), func(t *testing.T) {
			j := newJobs()
			sub := task.Submission{Ref: testRef}
			c, _ := newTestCaller()
			r, _ := j.open(0, &sub, task.NewSubmissionID(1, 1), c)
			j.leave(c)
			j.close(0, r, task.Answer{State: state, Reason: task.ReasonCallerGone})
			again, answers := newTestCaller()
			_, isNew := j.open(0, &sub, task.NewSubmissionID(1, 2), again)
			require.Equal(t, state != task.Complete, isNew)
			if !isNew {
				require.Equal(t, task.Complete, (<-answers).State)
			}
		})
	}
}

// The end of an abandoned job must not remove or answer the submission that has
// replaced it.
func TestAbandonedJobDoesNotEndItsSuccessor(t *testing.T) {
	for _, state := range []task.State{task.Complete, task.Failed, task.NotRun} {
		j := newJobs()
		sub := task.Submission{Ref: testRef}
		c, _ := newTestCaller()
		r, _ := j.open(0, &sub, task.NewSubmissionID(1, 1), c)
		j.leave(c)
		again, answers := newTestCaller()
		next, isNew := j.open(0, &sub, task.NewSubmissionID(1, 2), again)
		require.True(t, isNew)
		j.close(0, r, task.Answer{State: state})
		require.Same(t, next, j.inFlight(testRef))
		require.Empty(t, answers)
	}
}

// A caller whose connection ends while its job is being submitted must not leave a
// job in flight that nobody waits for.
func TestCallerThatLeavesBeforeItsJobIsOpenSubmitsNothing(t *testing.T) {
	j := newJobs()
	c, _ := newTestCaller()
	j.leave(c)
	r, isNew := j.open(0, &task.Submission{Ref: testRef}, task.NewSubmissionID(1, 1), c)
	require.Nil(t, r)
	require.False(t, isNew)
	require.Nil(t, j.inFlight(testRef))
}

// A request that is read after its deadline is refused as not run only if it would be
// the job's first: an earlier one may have run.
func TestLateRequestJoinsKnownJob(t *testing.T) {
	j := newJobs()
	sub := task.Submission{Ref: testRef}
	late := func() (c *jobCaller, answers chan task.Answer) {
		c, answers = newTestCaller()
		c.late = true
		return c, answers
	}
	c, _ := late()
	r, _ := j.open(0, &sub, task.NewSubmissionID(1, 1), c)
	require.Nil(t, r)
	first, _ := newTestCaller()
	inFlight, _ := j.open(0, &sub, task.NewSubmissionID(1, 2), first)
	c, _ = late()
	r, _ = j.open(0, &sub, task.NewSubmissionID(1, 3), c)
	require.Same(t, inFlight, r)
	j.close(0, r, task.Answer{State: task.Complete})
	c, answers := late()
	_, isNew := j.open(0, &sub, task.NewSubmissionID(1, 4), c)
	require.False(t, isNew)
	require.Equal(t, task.Complete, (<-answers).State)
}

// A job that is answered 504 is sent again to have it run. An entry that kept such an
// answer gave it again for ten seconds without running anything.
func TestJobWithoutAKnownEndRunsAgain(t *testing.T) {
	for _, c := range []struct {
		answer task.Answer
		again  bool
	}{
		{task.Answer{State: task.Failed, Reason: task.ReasonAgentRestarted}, true},
		{task.Answer{State: task.Failed, Reason: task.ReasonDeadline}, true},
		{task.Answer{State: task.Unknown, Reason: task.ReasonDraining}, true},
		{task.Answer{State: task.NotRun, Reason: task.ReasonOverload}, true},
		{task.Answer{State: task.Failed, Reason: task.ReasonUpstreamError}, false},
		{task.Answer{State: task.Failed, Reason: task.ReasonCancelled}, false},
		{task.Answer{State: task.Complete}, false},
	} {
		j := newJobs()
		sub := &task.Submission{Ref: testRef}
		first, answers := newTestCaller()
		r, _ := j.open(0, sub, task.SubmissionID{1}, first)
		j.close(0, r, c.answer)
		require.Len(t, answers, 1)
		again, _ := newTestCaller()
		_, isNew := j.open(time.Second, sub, task.SubmissionID{2}, again)
		require.Equal(t, c.again, isNew, "%v %v", c.answer.State, c.answer.Reason)
	}
}
