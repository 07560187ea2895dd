package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/entry/placement"
	"github.com/fireflytray/fireflytray/entry/queue"
	"github.com/fireflytray/fireflytray/task"
)

// An entry without a configuration refuses submissions as not run.
func TestSubmissionBeforeConfigurationIsNotRun(t *testing.T) {
	e := New(Options{Policy: placement.Random{}, Order: queue.FIFO, Seed: 1})
	sub := task.Submission{Service: "s", Team: "t", Tasks: []task.Spec{{}}}
	out := e.Step(0, Submit{ID: task.NewSubmissionID(1, 1), Sub: sub}, nil)
	require.Len(t, out, 1)
	a := out[0].(Answer).Answer
	require.Equal(t, task.NotRun, a.State)
	require.Equal(t, task.ReasonBusy, a.Reason)
	require.NotZero(t, a.RetryAfter)
}
