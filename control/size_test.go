package control

import (
	"crypto/sha256"
	"fmt"
	"math"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// upgrade puts the latest state format in force.
func (f *machineDriver) upgrade() {
	f.t.Helper()
	f.apply(&Command{Upgrade: &Upgrade{Format: LatestFormat}})
	require.Equal(f.t, LatestFormat, f.m.Format())
}

// routeSections returns a document whose routes all have the given time-out.
func routeSections(routes, timeout int) []wire.ConfigSection {
	out := []wire.ConfigSection{{Name: "service s"}}
	for n := range routes {
		out = append(out, wire.ConfigSection{Name: fmt.Sprintf("route r-%04d", n), Keys: []wire.ConfigPair{
			{Key: "host", Value: fmt.Sprintf("host%04d.example", n)}, {Key: "prefix", Value: fmt.Sprintf("/p%04d/", n)},
			{Key: "service", Value: "s"}, {Key: "timeout", Value: fmt.Sprintf("%dms", timeout)},
			{Key: "target-latency", Value: "60ms"}, {Key: "priority", Value: "0"}, {Key: "idempotent", Value: "false"},
		}})
	}
	return out
}

// publishRoutes publishes a document whose routes all have another time-out than in the
// version before.
func (f *machineDriver) publishRoutes(routes, version int) {
	f.t.Helper()
	reply := f.apply(&Command{Publish: &Publish{Version: uint64(version), Sections: routeSections(routes, 1000+version)}}).Publish
	require.True(f.t, reply.Accepted, reply.Detail)
}

// applyRoutes does the same by an operator's change.
func (f *machineDriver) applyRoutes(routes, n int) *ChangeReply {
	f.t.Helper()
	return f.apply(&Command{Apply: &Apply{
		Op: fmt.Sprint("op-", n), Base: f.m.Stamp().Index, By: Operator{Name: "astrid"}, Sections: routeSections(routes, 1000+n),
	}}).Change
}

func (f *machineDriver) usage(part string) Usage {
	f.t.Helper()
	for _, u := range f.m.Usage() {
		if u.Part == part {
			return u
		}
	}
	require.FailNow(f.t, "no such part", part)
	return Usage{}
}

// restored returns a driver of a machine that was restored from a snapshot of this one.
func (f *machineDriver) restored() *machineDriver {
	f.t.Helper()
	snapshot, err := f.m.Snapshot()
	require.NoError(f.t, err)
	out := &machineDriver{t: f.t, m: NewMachine(nil), index: f.index}
	require.NoError(f.t, out.m.Restore(f.index, snapshot))
	return out
}

// liveHeap returns the size of the reachable objects.
func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Control hosts ran out of memory, at each start again, after 112 to 150 versions that
// changed all routes of a large manifest: the history was bounded by number only.
func TestMemoryOfLargeChangesIsBounded(t *testing.T) {
	const (
		routes  = 1000
		maxMore = 64 << 20
	)
	f := newMachineDriver(t)
	f.upgrade()
	version := 1
	for ; version <= 10; version++ {
		f.publishRoutes(routes, version)
	}
	early := liveHeap()
	for ; version <= 600; version++ {
		f.publishRoutes(routes, version)
	}
	require.Less(t, int64(liveHeap())-int64(early), int64(maxMore))
	snapshot, err := f.m.Snapshot()
	require.NoError(t, err)
	require.Less(t, len(snapshot), maxMore)
	again := f.restored()
	require.Less(t, int64(liveHeap())-int64(early), int64(maxMore), "with a restored replica")
	require.Equal(t, f.m.Stamp(), again.m.Stamp())
	u := f.usage(PartHistory)
	require.LessOrEqual(t, u.Bytes, u.Limit)
	require.Positive(t, u.Reached)
	require.Greater(t, u.Items, 10)
}

// Small changes are bounded by number as before, and any of them can be rolled back to.
func TestHistoryOfSmallChangesIsKeptWhole(t *testing.T) {
	f := newMachineDriver(t)
	f.upgrade()
	for n := range maxHistory + 10 {
		f.config(fmt.Sprint("op-", n), f.m.Stamp().Index, n)
	}
	require.Len(t, f.m.History(0), maxHistory)
	require.Zero(t, f.usage(PartHistory).Reached)
	oldest := f.m.History(0)[maxHistory-1]
	reply := f.restored().apply(&Command{Rollback: &Rollback{Op: "back", Base: f.m.Stamp().Index, To: oldest.Index}}).Change
	require.True(t, reply.Accepted, reply.Detail)
	require.Equal(t, oldest.Digest, reply.Digest)
}

// Replicas must drop the same versions, whether they applied all commands or began with a
// snapshot: otherwise a rollback would succeed on one and fail on the other.
func TestRestoredReplicaDropsTheSameVersions(t *testing.T) {
	f := newMachineDriver(t)
	f.upgrade()
	for version := 1; version <= 90; version++ {
		f.publishRoutes(400, version)
	}
	g := f.restored()
	for version := 91; version <= 120; version++ {
		f.publishRoutes(400, version)
		g.publishRoutes(400, version)
	}
	require.Positive(t, f.usage(PartHistory).Reached)
	require.Equal(t, f.m.History(0), g.m.History(0))
	one, err := f.m.Snapshot()
	require.NoError(t, err)
	two, err := g.m.Snapshot()
	require.NoError(t, err)
	require.Equal(t, one, two)
}

// A replica loads the state of an earlier build, however large, and keeps all of it until
// the new format is in force; then it drops what exceeds the bounds.
func TestUpgradeDropsWhatExceedsTheBounds(t *testing.T) {
	f := newMachineDriver(t)
	const versions = 150
	for n := 1; n <= versions; n++ {
		require.True(t, f.applyRoutes(600, n).Accepted)
	}
	f = f.restored()
	require.Len(t, f.m.History(0), versions)
	require.NotNil(t, f.m.DocumentAt(f.m.History(0)[versions-1].Index))
	require.False(t, f.m.SnapshotDue())
	inForce, doc := f.m.Current()

	f.upgrade()
	require.True(t, f.m.SnapshotDue(), "a snapshot replaces the large one at once")
	require.False(t, f.m.SnapshotDue())
	for _, part := range []string{PartHistory, PartOperations, PartAudit} {
		u := f.usage(part)
		require.LessOrEqual(t, u.Bytes, u.Limit, part)
	}
	require.Less(t, len(f.m.History(0)), versions)
	require.NoError(t, f.m.VerifyAudit())
	f = f.restored()
	require.Equal(t, LatestFormat, f.m.Format())
	after, sameDoc := f.m.Current()
	require.Equal(t, inForce, after)
	require.Equal(t, doc.Digest(), sameDoc.Digest())
}

// A build that knows only the first format must not load a later one and go on under the
// rules of the first.
func TestSnapshotOfLaterFormatIsRefused(t *testing.T) {
	f := newMachineDriver(t)
	f.config("op", 0, 5)
	f.upgrade()
	snapshot, err := f.m.Snapshot()
	require.NoError(t, err)
	var s State
	require.ErrorContains(t, s.decode(snapshot, formatUnbounded), "want format 1")
	require.NoError(t, s.decode(snapshot, LatestFormat))
	s.Format = LatestFormat + 1
	later, err := s.MarshalMsg(nil)
	require.NoError(t, err)
	require.Error(t, NewMachine(nil).Restore(f.index, later))
}

// An upgrade that arrives twice, or names an earlier or an unknown format, changes nothing.
func TestUpgradeChangesOnlyToLaterFormats(t *testing.T) {
	f := newMachineDriver(t)
	f.upgrade()
	f.config("op", 0, 5)
	for _, format := range []uint32{0, 1, LatestFormat} {
		f.apply(&Command{Upgrade: &Upgrade{Format: format}})
		require.Equal(t, LatestFormat, f.m.Format())
	}
	f.index++
	raw, err := (&Command{Upgrade: &Upgrade{Format: LatestFormat + 1}}).Encode()
	require.NoError(t, err)
	_, err = DecodeReply(f.m.Apply(f.index, raw))
	require.ErrorContains(t, err, "not supported")
	require.Equal(t, LatestFormat, f.m.Format())
}

// The replies to operations are bounded in bytes: a refused change names the version in
// force with all its changed sections.
func TestRepliesToOperationsAreBoundedInBytes(t *testing.T) {
	f := newMachineDriver(t)
	f.upgrade()
	f.applyRoutes(1000, 1)
	for n := range 200 {
		reply := f.apply(&Command{Apply: &Apply{Op: fmt.Sprint("late-", n), Base: 77, Sections: routeSections(1, 5)}}).Change
		require.Equal(t, RefusalConflict, reply.Refusal)
	}
	u := f.usage(PartOperations)
	require.LessOrEqual(t, u.Bytes, u.Limit)
	require.Positive(t, u.Reached)
	require.Len(t, f.m.configs.byOp, u.Items)
	require.Equal(t, u.Bytes, f.restored().usage(PartOperations).Bytes)
	again := f.apply(&Command{Apply: &Apply{Op: "late-199", Base: 77, Sections: routeSections(1, 5)}}).Change
	require.True(t, again.Resent)
}

// The audit trail is bounded in bytes, and the texts of an entry too; the chain can still
// be verified.
func TestAuditTrailIsBoundedInBytes(t *testing.T) {
	f := newMachineDriver(t)
	f.upgrade()
	limit := boundsOf(LatestFormat).auditText
	for n := range 4000 {
		f.apply(&Command{Note: &Note{Action: "test", Op: fmt.Sprint(n), Detail: strings.Repeat("ö", limit), Reason: strings.Repeat("r", limit+n)}})
	}
	u := f.usage(PartAudit)
	require.LessOrEqual(t, u.Bytes, u.Limit)
	require.Positive(t, u.Reached)
	for _, e := range f.m.Audit(AuditFilter{}) {
		require.LessOrEqual(t, len(e.Detail), limit)
		require.LessOrEqual(t, len(e.Reason), limit)
		require.True(t, strings.HasSuffix(e.Detail, "ö"+truncationMark))
	}
	require.NoError(t, f.restored().m.VerifyAudit())
	require.Equal(t, u.Bytes, f.restored().usage(PartAudit).Bytes)
}

// A week of ordinary changes stays in the audit trail, as the operators' page says.
func TestOrdinaryAuditEntriesAreKeptByNumber(t *testing.T) {
	f := newMachineDriver(t)
	f.upgrade()
	for n := range maxAudit {
		f.apply(&Command{Note: &Note{By: Operator{Name: "astrid.andersson", Addr: "10.1.0.13:49152"}, Action: "config apply", Op: fmt.Sprint("operation-", n), Detail: "apply: version 123456 replaces 123455; base/route r-1", Accepted: true}})
	}
	require.Len(t, f.m.Audit(AuditFilter{}), maxAudit)
	require.Zero(t, f.usage(PartAudit).Reached)
}

// Claims and their outcomes are bounded in bytes together. What doesn't fit is refused
// before it runs, or remembered as unknown; no live claim is dropped.
func TestClaimsAreBoundedInBytes(t *testing.T) {
	f := newMachineDriver(t)
	f.upgrade()
	f.config("op", 0, maxClaims)
	key := func(n int) string { return fmt.Sprintf("%0*d", maxKeyLength, n) }
	granted := 0
	for f.claim(key(granted), 1) == wire.ClaimGranted {
		granted++
		require.Less(t, granted, maxClaims)
	}
	u := f.usage(PartClaims)
	require.Equal(t, granted, u.Items)
	require.LessOrEqual(t, u.Bytes, u.Limit)
	require.Equal(t, uint64(1), u.Reached)

	f.resolve(key(0), 1, make([]byte, maxOutcomeBody))
	reply := f.apply(&Command{Claim: &wire.Claim{Team: "day", Service: "s", Key: key(0), Owner: task.NewSubmissionID(1, 2)}}).Claim
	require.Equal(t, wire.ClaimDone, reply.State)
	require.Equal(t, task.ReasonTooLarge, reply.Outcome.Reason)
	require.Equal(t, f.usage(PartClaims).Bytes, f.restored().usage(PartClaims).Bytes)

	f.index++
	raw, err := (&Command{At: (25 * time.Hour).Milliseconds(), Claim: &wire.Claim{Team: "day", Service: "s", Key: "next", Owner: task.NewSubmissionID(1, 2)}}).Encode()
	require.NoError(t, err)
	after, err := DecodeReply(f.m.Apply(f.index, raw))
	require.NoError(t, err)
	require.Equal(t, wire.ClaimGranted, after.Claim.State, "expired claims make room")
}

// The backup of an earlier build may be as large as its state. What exceeds the bounds is
// left out, so that the cluster that takes it in stays within them.
func TestBackupOfEarlierFormatIsBounded(t *testing.T) {
	f := newMachineDriver(t)
	for n := 1; n <= 200; n++ {
		f.applyRoutes(600, n)
	}
	backup, err := f.m.Snapshot()
	require.NoError(t, err)
	parts, err := RestoreParts(backup, Operator{Name: "bo"})
	require.NoError(t, err)
	for _, format := range []uint32{formatUnbounded, LatestFormat} {
		fresh := newMachineDriver(t)
		fresh.apply(&Command{Upgrade: &Upgrade{Format: format}})
		for _, p := range parts {
			require.Empty(t, fresh.apply(&Command{Restore: p}).Restore.Refusal)
		}
		require.Equal(t, f.m.Stamp().Digest, fresh.m.Stamp().Digest)
		require.Equal(t, max(format, 1), fresh.m.Format())
		require.LessOrEqual(t, fresh.usage(PartHistory).Bytes, boundsOf(LatestFormat).history+(1<<20))
		require.NoError(t, fresh.m.VerifyAudit())
	}
}

// wholeBackup returns the only part of a small backup.
func wholeBackup(backup []byte) *Restore {
	return &Restore{Sum: sha256.Sum256(backup), Data: backup, Last: true}
}

// A cluster under the first format may have replicas that can't read a later one, so its
// replicas all refuse such a backup.
func TestBackupOfLaterFormatNeedsThatFormat(t *testing.T) {
	f := newMachineDriver(t)
	f.upgrade()
	f.config("op", 0, 5)
	snapshot, err := f.m.Snapshot()
	require.NoError(t, err)
	raw := &machineDriver{t: t, m: NewMachine(nil)}
	require.Contains(t, raw.apply(&Command{Restore: wholeBackup(snapshot)}).Restore.Refusal, "want format 1")
	parts, err := RestoreParts(snapshot, Operator{})
	require.NoError(t, err)
	require.Len(t, parts, 1)
	require.Empty(t, raw.apply(&Command{Restore: parts[0]}).Restore.Refusal, "the parts are in the first format")
}

// The scan of an encoded version and the sizes of a decoded one agree, so that a replica
// that loads a snapshot counts as one that applied the commands.
func TestScannedVersionMatchesDecodedOne(t *testing.T) {
	s := newCommandStream(3)
	for range 200 {
		v := &Version{
			Info: VersionInfo{Index: s.rng.Uint64(), Digest: s.rng.Uint64(), Op: s.op(), By: Operator{Name: "a"}, Changed: []string{"-/route r-1", "/team x"}},
			Undo: Undo{Sections: s.sections(s.rng.IntN(20)), Removed: []string{"/route r-2"}},
		}
		raw, err := v.MarshalMsg(nil)
		require.NoError(t, err)
		info, size, rest, err := scanVersion(append(raw, 1, 2))
		require.NoError(t, err)
		require.Equal(t, []byte{1, 2}, rest)
		require.Equal(t, versionSize(v), size)
		want := v.Info
		want.Changed = nil
		require.Equal(t, want, info)
		for n := range raw {
			_, _, _, err := scanVersion(raw[:n])
			require.Error(t, err, "%d of %d bytes", n, len(raw))
		}
	}
}

// A stored version that was changed is found when a snapshot is loaded, not when an
// operator rolls back to it.
func TestDamagedStoredVersionIsRefused(t *testing.T) {
	f := newMachineDriver(t)
	f.upgrade()
	f.config("op-1", 0, 5)
	damage := map[string]func(s *StoredVersion){
		"packed": func(s *StoredVersion) { s.Packed = s.Packed[:len(s.Packed)-1] },
		"size":   func(s *StoredVersion) { s.Size-- },
		"index":  func(s *StoredVersion) { s.Info.Index-- },
		"digest": func(s *StoredVersion) { s.Info.Digest++ },
	}
	for name, change := range damage {
		t.Run(name, func(t *testing.T) {
			snapshot, err := f.m.Snapshot()
			require.NoError(t, err)
			var s State
			require.NoError(t, s.decode(snapshot, LatestFormat))
			change(&s.Stored[0])
			raw, err := s.MarshalMsg(nil)
			require.NoError(t, err)
			require.Error(t, NewMachine(nil).Restore(f.index, raw))
		})
	}
}

// The sizes of the first format are reported without a limit.
func TestUsageOfTheFirstFormat(t *testing.T) {
	f := newMachineDriver(t)
	f.config("op", 0, 5)
	for _, u := range f.m.Usage() {
		require.NotEqual(t, math.MaxInt, u.Limit)
		require.Zero(t, u.Reached)
	}
	require.Zero(t, f.usage(PartHistory).Limit)
	require.Positive(t, f.usage(PartHistory).Bytes)
}
