package wal

import (
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/fireflytray/fireflytray/raft"
)

// State is what a data folder holds when it is opened.
type State struct {
	Identity Identity
	Hard     raft.HardState
	Snapshot raft.Snapshot
	Entries  []raft.Entry
	// Truncated is how many bytes of an unfinished write were dropped.
	Truncated int
}

// Open locks a data folder and reads it. A folder without an identity is made
// a new replica's, with the id that newID returns. An unfinished last write is
// cut off; anything else that does not add up is an error.
func Open(fs FS, dir string, newID func() uint64) (*WAL, State, error) {
	w := &WAL{fs: fs, dir: dir}
	st, err := w.open(newID)
	if err != nil {
		w.release()
		return nil, State{}, fmt.Errorf("wal: open %s: %w", dir, err)
	}
	return w, st, nil
}

func (w *WAL) open(newID func() uint64) (st State, err error) {
	if err := w.fs.MkdirAll(w.dir); err != nil {
		return st, err
	}
	if w.lock, err = w.fs.Lock(w.path(lockName)); err != nil {
		return st, err
	}
	names, err := w.cleanListing()
	if err != nil {
		return st, err
	}
	if err := w.readIdentity(names, newID); err != nil {
		return st, fmt.Errorf("identity: %w", err)
	}
	st.Identity = w.ident
	if err := w.readSnapshot(names, &st); err != nil {
		return st, err
	}
	if err := w.readSegments(names, &st); err != nil {
		return st, err
	}
	return st, w.fs.SyncDir(w.dir)
}

// discardName marks a folder whose files are to be removed.
const discardName = "discard"

// Discard makes a data folder an empty one again, for a replica that was
// removed from its cluster. If it is interrupted, the next Open finishes it.
func Discard(fs FS, dir string) error {
	w := &WAL{fs: fs, dir: dir}
	f, err := fs.Create(w.path(discardName))
	if err != nil {
		return fmt.Errorf("wal: discard %s: %w", dir, err)
	}
	if err := errors.Join(f.Sync(), f.Close(), fs.SyncDir(dir)); err != nil {
		return fmt.Errorf("wal: discard %s: %w", dir, err)
	}
	if err := w.discard(); err != nil {
		return fmt.Errorf("wal: discard %s: %w", dir, err)
	}
	return nil
}

// discard removes every file; the mark that makes it certain goes last.
func (w *WAL) discard() error {
	names, err := w.fs.ReadDir(w.dir)
	if err != nil {
		return err
	}
	for _, name := range names {
		if name == lockName || name == discardName {
			continue
		}
		if err := w.fs.Remove(w.path(name)); err != nil {
			return err
		}
	}
	if err := w.fs.SyncDir(w.dir); err != nil {
		return err
	}
	if err := w.fs.Remove(w.path(discardName)); err != nil {
		return err
	}
	return w.fs.SyncDir(w.dir)
}

// cleanListing removes what an interrupted write left and returns the other names.
func (w *WAL) cleanListing() ([]string, error) {
	all, err := w.fs.ReadDir(w.dir)
	if err != nil {
		return nil, err
	}
	if slices.Contains(all, discardName) {
		if err := w.discard(); err != nil {
			return nil, err
		}
		all = []string{lockName}
	}
	var names []string
	for _, name := range all {
		if !strings.HasSuffix(name, tmpSuffix) {
			names = append(names, name)
			continue
		}
		if err := w.fs.Remove(w.path(name)); err != nil {
			return nil, err
		}
	}
	slices.Sort(names)
	return names, nil
}

func (w *WAL) path(name string) string { return filepath.Join(w.dir, name) }

func (w *WAL) readIdentity(names []string, newID func() uint64) error {
	if !slices.Contains(names, identityName) {
		return w.createIdentity(names, newID)
	}
	data, err := w.fs.ReadFile(w.path(identityName))
	if err != nil {
		return err
	}
	replica, _, err := parseHeader(data, kindIdentity)
	if err != nil {
		return err
	}
	_, payload, size, ok := parseFrame(data[fileHeaderSize:])
	if !ok || fileHeaderSize+size != len(data) {
		return ErrCorrupt
	}
	if _, err := w.ident.UnmarshalMsg(payload); err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if w.ident.Replica != replica {
		return ErrCorrupt
	}
	return nil
}

// createIdentity makes a new replica, but only in a folder that holds nothing
// else: a folder with a log and no identity has lost a file.
func (w *WAL) createIdentity(names []string, newID func() uint64) error {
	for _, name := range names {
		if name != lockName {
			return fmt.Errorf("none, but the folder holds %q: %w", name, ErrForeign)
		}
	}
	w.ident = Identity{Replica: newID()}
	return w.writeIdentity()
}

// fileNumbers returns the files with a suffix in the order of their numbers.
func fileNumbers(names []string, suffix string) ([]uint64, error) {
	var nums []uint64
	for _, name := range names {
		stem, ok := strings.CutSuffix(name, suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(stem, 16, 64)
		if err != nil || fileName(n, suffix) != name {
			return nil, fmt.Errorf("file %q: %w", name, ErrForeign)
		}
		nums = append(nums, n)
	}
	slices.Sort(nums)
	return nums, nil
}

func fileName(n uint64, suffix string) string { return fmt.Sprintf("%016x%s", n, suffix) }

func (w *WAL) readSnapshot(names []string, st *State) error {
	nums, err := fileNumbers(names, snapshotSuffix)
	if err != nil || len(nums) == 0 {
		return err
	}
	w.snapshots = nums
	name := fileName(nums[len(nums)-1], snapshotSuffix)
	data, err := w.fs.ReadFile(w.path(name))
	if err != nil {
		return err
	}
	if err := w.checkHeader(data, kindSnapshot, nums[len(nums)-1]); err != nil {
		return fmt.Errorf("snapshot %s: %w", name, err)
	}
	_, payload, size, ok := parseFrame(data[fileHeaderSize:])
	if !ok || fileHeaderSize+size != len(data) {
		return fmt.Errorf("snapshot %s: %w", name, ErrCorrupt)
	}
	if _, err := st.Snapshot.UnmarshalMsg(payload); err != nil {
		return fmt.Errorf("snapshot %s: %w: %w", name, ErrCorrupt, err)
	}
	return nil
}

func (w *WAL) checkHeader(data []byte, kind fileKind, number uint64) error {
	replica, num, err := parseHeader(data, kind)
	switch {
	case err != nil:
		return err
	case replica != w.ident.Replica:
		return fmt.Errorf("it is replica %016x's: %w", replica, ErrForeign)
	case num != number:
		return fmt.Errorf("it was written as number %d: %w", num, ErrForeign)
	}
	return nil
}

func (w *WAL) readSegments(names []string, st *State) error {
	nums, err := fileNumbers(names, segmentSuffix)
	if err != nil {
		return err
	}
	if len(nums) == 0 && w.ident.Phase == PhaseMember {
		return fmt.Errorf("the replica of a cluster has no log: %w", ErrCorrupt)
	}
	var rep replay
	for i, num := range nums {
		if i > 0 && num != nums[i-1]+1 {
			return fmt.Errorf("segment %d follows segment %d: %w", num, nums[i-1], ErrCorrupt)
		}
		if err := w.readSegment(num, i == len(nums)-1, &rep, st); err != nil {
			return fmt.Errorf("segment %s: %w", fileName(num, segmentSuffix), err)
		}
	}
	w.seq, w.hard = rep.seq, rep.hard
	st.Hard = rep.hard
	ents, replaced, err := rep.entriesAfter(st.Snapshot)
	st.Entries = ents
	if err != nil || !replaced {
		return err
	}
	return w.reset()
}

// readSegment replays one segment. Only the last may end in an unfinished
// write, which is cut off.
func (w *WAL) readSegment(num uint64, last bool, rep *replay, st *State) error {
	name := w.path(fileName(num, segmentSuffix))
	data, err := w.fs.ReadFile(name)
	if err != nil {
		return err
	}
	if err := w.checkHeader(data, kindSegment, num); err != nil {
		return err
	}
	off := fileHeaderSize
	for off < len(data) {
		seq, payload, size, ok := parseFrame(data[off:])
		if !ok {
			break
		}
		if err := rep.apply(seq, payload); err != nil {
			return fmt.Errorf("offset %d: %w", off, err)
		}
		off += size
	}
	if off == fileHeaderSize {
		return fmt.Errorf("no record: %w", ErrCorrupt)
	}
	if off < len(data) && (!last || followedByFrame(data[off:], rep.seq)) {
		return fmt.Errorf("offset %d: %w", off, ErrCorrupt)
	}
	w.segments = append(w.segments, segment{number: num, lastIndex: rep.lastIndex()})
	if !last {
		return nil
	}
	st.Truncated = len(data) - off
	return w.openTail(name, off, st.Truncated > 0)
}

// openTail opens the last segment for writing. It is synced, because records
// that were read may not have been durable yet.
func (w *WAL) openTail(name string, size int, cut bool) error {
	f, err := w.fs.Append(name)
	if err != nil {
		return err
	}
	w.tail, w.tailSize = f, size
	if cut {
		if err := f.Truncate(int64(size)); err != nil {
			return err
		}
	}
	return f.Sync()
}
