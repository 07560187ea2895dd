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
	go d.SubmitJob(task.Submission{Ref: testRef, Job: true, Service: "s", Tasks: []task.Spec{{Name: "a"}}}, func(task.Answer) {})
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
		r, _ := d.jobs.open(0, &task.Submission{Ref: testRef}, d.newSubmissionID(), func(task.Answer) {})
		acknowledged := make(chan bool, 1)
		go func() { acknowledged <- d.CancelJob(testRef) }()
		synctest.Wait()
		require.Empty(t, acknowledged, "the submission is not posted yet")
		close(r.submitted)
		require.True(t, <-acknowledged)
	})
}
