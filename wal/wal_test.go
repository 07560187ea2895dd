package wal_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/fireflytray/fireflytray/raft"
	"github.com/fireflytray/fireflytray/wal"
	"github.com/fireflytray/fireflytray/wal/waltest"
)

const dir = "/data"

func newID() uint64 { return 7 }

func entries(from, to, term uint64) []raft.Entry {
	var ents []raft.Entry
	for i := from; i <= to; i++ {
		data := fmt.Appendf(nil, "change %d of term %d", i, term)
		ents = append(ents, raft.Entry{Index: i, Term: term, Kind: raft.EntryCommand, Data: data})
	}
	return ents
}

func save(from, to, term uint64) *raft.Save {
	return &raft.Save{Hard: raft.HardState{Term: term, Vote: 7}, Entries: entries(from, to, term)}
}

func openWAL(t require.TestingT, fs wal.FS) (*wal.WAL, wal.State) {
	w, st, err := wal.Open(fs, dir, newID)
	require.NoError(t, err)
	return w, st
}

// segmentPath returns the path of a segment.
func segmentPath(n int) string { return fmt.Sprintf("%s/%016x.log", dir, n) }

// filledFS returns a folder with three records, closed.
func filledFS(t *testing.T) *waltest.FS {
	fs := waltest.New(1)
	w, _ := openWAL(t, fs)
	for i := uint64(1); i <= 3; i++ {
		require.NoError(t, w.Save(save(i, i, 1)))
	}
	require.NoError(t, w.Close())
	return fs
}

func TestOpenOfLockedFolderFails(t *testing.T) {
	for name, fs := range map[string]wal.FS{"memory": waltest.New(1), "os": wal.OS{}} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			w, _, err := wal.Open(fs, dir, newID)
			require.NoError(t, err)
			_, _, err = wal.Open(fs, dir, newID)
			require.ErrorIs(t, err, wal.ErrLocked)
			require.NoError(t, w.Close())
			w, _, err = wal.Open(fs, dir, newID)
			require.NoError(t, err)
			require.NoError(t, w.Close())
		})
	}
}

// Whatever is saved, overwritten and compacted comes back, over crashes that
// tear unsynced writes, as a plain list of entries says.
func TestReopenMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fs := waltest.New(rapid.Uint64().Draw(t, "seed"))
		m := &model{fs: fs, term: 1}
		m.wal, _ = openWAL(t, fs)
		t.Repeat(map[string]func(*rapid.T){
			"save":     m.save,
			"snapshot": m.snapshot,
			"install":  m.install,
			"crash":    m.crash,
			"full":     m.saveOnFullDisk,
			"die":      m.killMidway,
		})
		m.crash(t)
	})
}

// model is the naive version: the entries after a snapshot, in a slice.
type model struct {
	fs   *waltest.FS
	wal  *wal.WAL
	hard raft.HardState
	snap raft.Snapshot
	ents []raft.Entry
	term uint64
}

func (m *model) nextSave(t *rapid.T) *raft.Save {
	m.term++
	from := m.snap.Index + 1 + uint64(rapid.IntRange(0, len(m.ents)).Draw(t, "from"))
	n := uint64(rapid.IntRange(1, 4).Draw(t, "count"))
	return save(from, from+n-1, m.term)
}

func (m *model) save(t *rapid.T) {
	s := m.nextSave(t)
	require.NoError(t, m.wal.Save(s))
	m.applySave(s)
}

func (m *model) applySave(s *raft.Save) {
	m.hard = s.Hard
	m.ents = append(m.ents[:s.Entries[0].Index-m.snap.Index-1:s.Entries[0].Index-m.snap.Index-1], s.Entries...)
}

func (m *model) snapshot(t *rapid.T) {
	if len(m.ents) == 0 {
		t.Skip("nothing to compact")
	}
	m.compact(rapid.IntRange(1, len(m.ents)).Draw(t, "applied"))
	require.NoError(t, m.wal.SaveSnapshot(m.snap))
}

// compact puts a snapshot in place of the first n entries.
func (m *model) compact(n int) {
	e := m.ents[n-1]
	m.snap = raft.Snapshot{Index: e.Index, Term: e.Term, Data: []byte("state")}
	m.ents = m.ents[n:]
}

func (m *model) install(t *rapid.T) { require.NoError(t, m.wal.Save(m.nextInstall(t))) }

func (m *model) nextInstall(t *rapid.T) *raft.Save {
	m.term++
	index := m.snap.Index + uint64(rapid.IntRange(1, 9).Draw(t, "ahead"))
	m.snap = raft.Snapshot{Index: index, Term: m.term, Data: []byte("leader's state")}
	m.ents = nil
	m.hard.Term = m.term
	snap := m.snap
	return &raft.Save{Hard: m.hard, Snapshot: &snap}
}

func (m *model) crash(t *rapid.T) {
	m.fs.Crash()
	m.fs.SetFreeSpace(-1)
	w, st := openWAL(t, m.fs)
	m.wal = w
	m.compare(t, st)
}

func (m *model) compare(t *rapid.T, st wal.State) {
	require.Equal(t, m.hard, st.Hard)
	require.Equal(t, m.snap, st.Snapshot)
	require.Equal(t, len(m.ents), len(st.Entries))
	for i := range m.ents {
		require.Equal(t, m.ents[i], st.Entries[i])
	}
}

// saveOnFullDisk saves while the disk has little room. What was refused may be lost, but
// nothing that was accepted is; the log takes nothing more until a restart.
func (m *model) saveOnFullDisk(t *rapid.T) {
	m.fs.SetFreeSpace(rapid.IntRange(0, 60).Draw(t, "room"))
	s := m.nextSave(t)
	err := m.wal.Save(s)
	if err == nil {
		m.applySave(s)
	} else {
		require.ErrorIs(t, err, wal.ErrDiskFull)
		m.fs.SetFreeSpace(-1)
		require.ErrorIs(t, m.wal.Save(s), wal.ErrDiskFull)
	}
	m.crash(t)
}

// killMidway does one of the above while the process dies in the middle. What was
// reported done is there; what was not is there wholly or not at all.
func (m *model) killMidway(t *rapid.T) {
	before := *m
	before.ents = slices.Clone(m.ents)
	m.fs.KillAfter(rapid.IntRange(0, 25).Draw(t, "steps"))
	after := *m
	after.ents = slices.Clone(m.ents)
	err := after.randomOp(t)
	m.fs.Crash()
	w, st := openWAL(t, m.fs)
	if err != nil && !after.matches(st) {
		tried := after
		after = before
		after.term = tried.term
		// The snapshot may be there before the hard state is.
		if st.Snapshot.Index != before.snap.Index {
			after.snap, after.ents = tried.snap, nil
		}
	}
	*m = after
	m.wal = w
	m.compare(t, st)
}

// randomOp does one random thing and returns its error; m tells the state after it.
func (m *model) randomOp(t *rapid.T) error {
	switch kind := rapid.IntRange(0, 2).Draw(t, "kind"); {
	case kind == 0:
		s := m.nextSave(t)
		m.applySave(s)
		return m.wal.Save(s)
	case kind == 1 && len(m.ents) > 0:
		m.compact(rapid.IntRange(1, len(m.ents)).Draw(t, "applied"))
		return m.wal.SaveSnapshot(m.snap)
	default:
		return m.wal.Save(m.nextInstall(t))
	}
}

func (m *model) matches(st wal.State) bool {
	return m.hard == st.Hard && m.snap.Index == st.Snapshot.Index && m.snap.Term == st.Snapshot.Term &&
		len(m.ents) == len(st.Entries)
}

func TestCorruptRecordIsRefused(t *testing.T) {
	size := filledFS(t).Size(segmentPath(1))
	for off := range size {
		fs := filledFS(t)
		fs.FlipBit(segmentPath(1), off)
		w, st, err := wal.Open(fs, dir, newID)
		if err == nil {
			// Only the last record looks like a write that was cut short.
			require.Len(t, st.Entries, 2, "offset %d", off)
			require.Positive(t, st.Truncated)
			require.NoError(t, w.Close())
			continue
		}
		require.True(t, isRefusal(err), "offset %d: %v", off, err)
	}
}

func isRefusal(err error) bool {
	for _, want := range []error{wal.ErrCorrupt, wal.ErrForeign, wal.ErrNewerVersion} {
		if errorsIs(err, want) {
			return true
		}
	}
	return false
}

// A cut at any length of the last segment keeps a prefix of the records.
func TestTornTailIsTruncated(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for seed := range uint64(200) {
		fs := waltest.New(seed)
		w, _ := openWAL(t, fs)
		require.NoError(t, w.Save(save(1, 2, 1)))
		fs.FailSyncs(true)
		require.ErrorIs(t, w.Save(save(3, 3+rng.Uint64N(5), 1)), waltest.ErrSync)
		require.Error(t, w.Save(save(3, 3, 1)), "a failed sync must end the log")
		fs.FailSyncs(false)
		fs.Crash()
		w, st := openWAL(t, fs)
		require.GreaterOrEqual(t, len(st.Entries), 2)
		require.NoError(t, w.Save(save(3, 3, 2)))
		fs.Crash()
		_, st = openWAL(t, fs)
		require.Equal(t, append(entries(1, 2, 1), entries(3, 3, 2)...), st.Entries)
	}
}

// Large and many entries and a large snapshot are read as they were written.
func TestLargeRecords(t *testing.T) {
	const count, size = 100_000, 1 << 20
	fs := waltest.New(1)
	w, _ := openWAL(t, fs)
	many := entries(1, count, 1)
	require.NoError(t, w.Save(&raft.Save{Entries: many}))
	large := []raft.Entry{{Index: count + 1, Term: 1, Data: make([]byte, size)}}
	require.NoError(t, w.Save(&raft.Save{Entries: large}))
	snap := raft.Snapshot{Index: count, Term: 1, Data: make([]byte, size)}
	require.NoError(t, w.SaveSnapshot(snap))
	fs.Crash()
	_, st := openWAL(t, fs)
	require.Len(t, st.Snapshot.Data, size)
	require.Len(t, st.Entries, 1)
	require.Len(t, st.Entries[0].Data, size)
}

func TestMissingSegmentIsRefused(t *testing.T) {
	fs := waltest.New(1)
	w, _ := openWAL(t, fs)
	for i := uint64(1); i <= 3; i++ {
		require.NoError(t, w.Save(&raft.Save{Entries: []raft.Entry{{Index: i, Term: 1, Data: make([]byte, wal.SegmentBytes)}}}))
	}
	require.NoError(t, w.Close())
	require.NoError(t, fs.Remove(segmentPath(2)))
	_, _, err := wal.Open(fs, dir, newID)
	require.ErrorIs(t, err, wal.ErrCorrupt)
}

func TestLogWithoutIdentityIsRefused(t *testing.T) {
	fs := filledFS(t)
	require.NoError(t, fs.Remove(dir+"/identity"))
	_, _, err := wal.Open(fs, dir, newID)
	require.ErrorIs(t, err, wal.ErrForeign)
}

func TestMemberWithoutLogIsRefused(t *testing.T) {
	fs := filledFS(t)
	w, _ := openWAL(t, fs)
	require.NoError(t, w.SetIdentity(wal.Identity{Phase: wal.PhaseMember}))
	require.NoError(t, w.Close())
	require.NoError(t, fs.Remove(segmentPath(1)))
	_, _, err := wal.Open(fs, dir, newID)
	require.ErrorIs(t, err, wal.ErrCorrupt)
}

func TestSegmentOfAnotherReplicaIsRefused(t *testing.T) {
	fs := filledFS(t)
	require.NoError(t, fs.Rename(segmentPath(1), "/other"))
	require.NoError(t, fs.Remove(dir+"/identity"))
	w, _, err := wal.Open(fs, dir, func() uint64 { return 8 })
	require.NoError(t, err)
	require.NoError(t, w.Close())
	require.NoError(t, fs.Rename("/other", segmentPath(1)))
	_, _, err = wal.Open(fs, dir, newID)
	require.ErrorIs(t, err, wal.ErrForeign)
}
