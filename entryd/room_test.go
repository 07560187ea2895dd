package entryd

import (
	"bytes"
	"testing"
	"testing/synctest"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/entry"
	"github.com/fireflytray/fireflytray/task"
)

// draftOf returns a draft of a submission.
func draftOf(sub task.Submission) task.Draft {
	d := task.Draft{Submission: sub, Count: len(sub.Tasks), Build: func() []task.Spec { return sub.Tasks }}
	d.Tasks = nil
	return d
}

// A body of 200 bytes can ask for 100,000 tasks: whether there is room for them has to be
// known before they are built.
func TestTasksAreBuiltOnlyIfThereIsRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		const tasks = 100
		d := New(Options{Log: log.New(&out), Trace: true, MaxBytes: entry.JobSize(tasks, 0)})
		built := 0
		submit := func(ref string, count int) chan task.Answer {
			answers := make(chan task.Answer, 1)
			d.SubmitJob(task.Draft{Submission: task.Submission{Ref: ref}, Count: count, Build: func() []task.Spec {
				built++
				return make([]task.Spec, count)
			}}, nil, func(a task.Answer) { answers <- a })
			return answers
		}
		a := <-submit("never", tasks+1)
		require.Equal(t, task.NotRun, a.State)
		require.Equal(t, task.ReasonTooLarge, a.Reason)
		first := submit("first", tasks)
		require.Equal(t, 1, built)
		a = <-submit("second", 1)
		require.Equal(t, task.NotRun, a.State)
		require.Equal(t, task.ReasonOverload, a.Reason)
		require.Equal(t, noRoomRetryAfter, a.RetryAfter)
		require.Equal(t, 1, built)
		require.Contains(t, out.String(), "refused a job for want of room job=second")

		resent := submit("first", tasks)
		require.Equal(t, 1, built, "a job that is sent again has its tasks")
		d.answerUnfinished()
		require.Equal(t, task.Unknown, (<-first).State)
		require.Equal(t, task.Unknown, (<-resent).State)
		submit("second", tasks)
		require.Equal(t, 2, built)
		refused, used := d.room.takeRefused()
		require.Equal(t, 1, refused)
		require.Equal(t, d.room.limit, used)
	})
}
