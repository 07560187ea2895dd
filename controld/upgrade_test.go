package controld

import (
	"bytes"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/fireflytray/fireflytray/control"
	"github.com/fireflytray/fireflytray/wire"
)

// announce records an announcement of a host's replica that names the latest state format
// it supports; zero is that of a build that knows no formats.
func announce(m *memberManager, addr string, id uint64, format uint32) {
	m.recordAnnouncement(&wire.Announce{From: wire.Peer{Addr: addr}, Replica: &wire.Replica{ID: id, Format: format}})
}

// A member of an earlier build, or one that is silent, must hold up the state format: it
// would go on under the earlier rules and come to another state.
func TestMemberOfEarlierBuildHoldsUpTheStateFormat(t *testing.T) {
	m := newMemberManager(&Host{})
	status := LogStatus{ID: 1, Members: []LogMember{{ID: 1, Voter: true}, {ID: 2, Voter: true}, {ID: 3}}}
	supported := func(later time.Duration) bool {
		return m.allSupport(status, control.LatestFormat, time.Now().Add(later))
	}
	require.False(t, supported(0), "nothing is known of the others")
	announce(m, "b", 2, control.LatestFormat)
	require.False(t, supported(0), "nothing is known of the learner")
	announce(m, "c", 3, 0)
	require.False(t, supported(0), "the learner is of an earlier build")
	announce(m, "c", 4, control.LatestFormat)
	require.False(t, supported(0), "another replica at the learner's address")
	announce(m, "c", 3, control.LatestFormat)
	require.True(t, supported(0))
	require.False(t, supported(2*announcementTTL), "announcements have expired")
	announce(m, "b", 2, 0)
	require.False(t, supported(0), "a member went back to an earlier build")
}

// A cluster whose hosts all support the latest state format puts it in force by itself, and
// a host with an empty disk gets the state in that format.
func TestClusterRaisesTheStateFormat(t *testing.T) {
	c := startCluster(t, 3)
	for _, h := range c.hosts {
		eventually(t, "the latest format is in force", func() bool { return h.machine.Format() == control.LatestFormat })
	}
	for _, h := range c.hosts {
		require.Empty(t, h.machine.Audit(control.AuditFilter{}), "no operator did this")
	}
}

// A host of an earlier build that waits to be added is not: it could not load the state.
func TestHostThatLacksTheStateFormatIsNotAdded(t *testing.T) {
	h := &Host{machine: control.NewMachine(nil)}
	m := newMemberManager(h)
	m.recordAnnouncement(&wire.Announce{From: wire.Peer{Addr: "d"}, Replica: &wire.Replica{ID: 4, Waiting: true}})
	require.Len(t, m.membershipView(LogStatus{}, time.Now()).Candidates, 1, "the first format is in force")
	h.machine.StartAtLatestFormat()
	require.Empty(t, m.membershipView(LogStatus{}, time.Now()).Candidates)
	m.recordAnnouncement(&wire.Announce{From: wire.Peer{Addr: "d"}, Replica: &wire.Replica{ID: 4, Waiting: true, Format: control.LatestFormat}})
	require.Len(t, m.membershipView(LogStatus{}, time.Now()).Candidates, 1)
}

// An operator must see that a bound was reached, in the metrics and in the log, but not in a
// line for each version that is dropped.
func TestReachedBoundIsReported(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	var out bytes.Buffer
	r := newSizeReporter(scope, log.New(&out))
	now := time.Now()
	report := func(reached, dropped uint64, after time.Duration) {
		r.report([]control.Usage{{Part: control.PartHistory, Items: 5, Bytes: 80, Limit: 100, Reached: reached}},
			LogStatus{SnapshotBytes: 7, LogBytes: 3, DroppedMessages: dropped}, now.Add(after))
	}
	lines := func() int { return bytes.Count(out.Bytes(), []byte("a bound in bytes was reached")) }
	report(0, 0, 0)
	require.Zero(t, lines())
	report(2, 0, time.Second)
	require.Equal(t, 1, lines())
	require.Contains(t, out.String(), "part=history bytes=80 limit=100 items=5 dropped=2 total=2")
	report(4, 1, 2*time.Second)
	require.Equal(t, 2, lines(), "the messages; the history was reported a second ago")
	report(4, 1, time.Minute)
	require.Equal(t, 3, lines())
	require.Contains(t, out.String(), "dropped=2 total=4")

	counters, gauges := scope.Snapshot().Counters(), scope.Snapshot().Gauges()
	require.EqualValues(t, 4, counters["control.bound_reached+part=history"].Value())
	require.EqualValues(t, 1, counters["control.bound_reached+part=messages"].Value())
	require.EqualValues(t, 80, gauges["control.state_bytes+part=history"].Value())
	require.EqualValues(t, 5, gauges["control.state_items+part=history"].Value())
	require.EqualValues(t, 7, gauges["control.snapshot_bytes+"].Value())
	require.EqualValues(t, 3, gauges["control.log_bytes_since_snapshot+"].Value())
}
