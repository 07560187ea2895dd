package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/wire"
)

// An assignment that was read after a pause of the agent started, although its entry
// had given it up long before.
func TestStaleAssignmentAfterPauseIsRefused(t *testing.T) {
	s := newTestState(Config{OrphanAfter: lockOrphanAfter})
	s.Step(0, Announced{leasedUpstream(1000)}, nil)
	s.Step(0, SessionOpened{Session: 1, Hello: hello(1, 1)}, nil)
	const wokenAt = 2 * lockOrphanAfter
	s.Step(wokenAt, Tick{}, nil)
	effs := s.Step(wokenAt, UpdateReceived{Session: 1, Update: &wire.Update{
		Seq: 1, SentAt: time.Millisecond, Tasks: []wire.Assignment{assignmentOf(0, 800)},
	}}, nil)
	require.Zero(t, startsIn(effs))
	running, queued := s.Load()
	require.Zero(t, running+queued)
}
