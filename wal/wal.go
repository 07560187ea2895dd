// Package wal keeps a replica's state durable in one data folder: its
// identity, the segments of its log with a checksum on every record, and its
// snapshots. One process at a time may use a folder.
//
// Every Save is one record and one sync. A write or sync that fails ends the
// log for good: what the disk then holds is known only after a restart.
package wal

import (
	"errors"
	"fmt"
	"io"
	"syscall"

	"github.com/fireflytray/fireflytray/raft"
)

// SegmentBytes is the size at which a new segment is begun.
const SegmentBytes = 8 << 20

// ErrDiskFull says that the disk has no room. Nothing that was accepted is lost;
// the replica has to be started again once there is room.
var ErrDiskFull = errors.New("the disk is full")

// errTooLarge keeps a record from being written that could not be read back.
var errTooLarge = errors.New("more than the format allows")

// WAL is an open data folder. It is not safe for concurrent use.
type WAL struct {
	fs   FS
	dir  string
	lock io.Closer
	err  error // the failure that ended the log

	ident     Identity
	snapshots []uint64
	segments  []segment
	tail      File
	tailSize  int
	seq       uint64
	hard      raft.HardState
	buf       []byte
}

// segment is one file of the log.
type segment struct {
	number    uint64
	lastIndex uint64 // the last index of the log when it ended
}

// Identity returns the identity of the folder.
func (w *WAL) Identity() Identity { return w.ident }

// SetIdentity stores a new phase, cluster or list; the replica id stays.
func (w *WAL) SetIdentity(id Identity) error {
	if w.err != nil {
		return w.err
	}
	id.Replica = w.ident.Replica
	old := w.ident
	w.ident = id
	if err := w.writeIdentity(); err != nil {
		w.ident = old
		return w.fail("save identity", err)
	}
	return nil
}

func (w *WAL) writeIdentity() error {
	payload, err := w.ident.MarshalMsg(nil)
	if err != nil {
		return err
	}
	b := fileHeader(kindIdentity, w.ident.Replica, 0)
	return writeFileAtomic(w.fs, w.path(identityName), appendFrame(b, 0, payload))
}

// Save makes a save durable. When it returns an error, nothing may be promised
// and every later call fails too.
func (w *WAL) Save(s *raft.Save) error {
	if w.err != nil {
		return w.err
	}
	if s.Snapshot != nil {
		if err := w.installSnapshot(s); err != nil {
			return w.fail("install snapshot", err)
		}
	}
	if err := w.append(s.Hard, s.Entries); err != nil {
		return w.fail("save", err)
	}
	return nil
}

// installSnapshot replaces the whole log by a snapshot from the leader.
func (w *WAL) installSnapshot(s *raft.Save) error {
	if err := w.writeSnapshot(*s.Snapshot); err != nil {
		return err
	}
	return w.reset()
}

// reset begins a segment that drops every earlier entry, and removes the
// segments before it.
func (w *WAL) reset() error {
	if err := w.roll(true); err != nil {
		return err
	}
	return w.dropSegments(len(w.segments) - 1)
}

func (w *WAL) append(hard raft.HardState, ents []raft.Entry) error {
	if w.tail == nil || w.tailSize >= SegmentBytes {
		if err := w.roll(false); err != nil {
			return err
		}
	}
	if len(ents) > maxEntries {
		return fmt.Errorf("%d entries in one record: %w", len(ents), errTooLarge)
	}
	payload, err := (&frame{Hard: hard, Entries: ents}).MarshalMsg(nil)
	if err != nil {
		return err
	}
	if len(payload) > maxFrameSize {
		return fmt.Errorf("a record of %d bytes: %w", len(payload), errTooLarge)
	}
	w.buf = appendFrame(w.buf[:0], w.seq+1, payload)
	if err := writeAndSync(w.tail, w.buf); err != nil {
		return err
	}
	w.seq++
	w.hard = hard
	w.tailSize += len(w.buf)
	if len(ents) > 0 {
		w.segments[len(w.segments)-1].lastIndex = ents[len(ents)-1].Index
	}
	return nil
}

// roll begins a new segment. It holds the last saved hard state from its first
// record on, so that the segments before it may go.
func (w *WAL) roll(reset bool) error {
	num, last := uint64(1), uint64(0)
	if n := len(w.segments); n > 0 {
		num, last = w.segments[n-1].number+1, w.segments[n-1].lastIndex
	}
	payload, err := (&frame{Hard: w.hard, Reset: reset}).MarshalMsg(nil)
	if err != nil {
		return err
	}
	b := appendFrame(fileHeader(kindSegment, w.ident.Replica, num), w.seq+1, payload)
	name := w.path(fileName(num, segmentSuffix))
	if err := writeFileAtomic(w.fs, name, b); err != nil {
		return err
	}
	if w.tail != nil {
		if err := w.tail.Close(); err != nil {
			return err
		}
	}
	w.seq++
	w.segments = append(w.segments, segment{number: num, lastIndex: last})
	w.tail, err = w.fs.Append(name)
	w.tailSize = len(b)
	return err
}

// SaveSnapshot makes a snapshot of the applied state durable and drops the
// segments that it replaces.
func (w *WAL) SaveSnapshot(s raft.Snapshot) error {
	if w.err != nil {
		return w.err
	}
	if err := w.writeSnapshot(s); err != nil {
		return w.fail("save snapshot", err)
	}
	if err := w.compact(s.Index); err != nil {
		return w.fail("compact", err)
	}
	return nil
}

func (w *WAL) compact(index uint64) error {
	if err := w.roll(false); err != nil {
		return err
	}
	drop := 0
	for drop < len(w.segments)-1 && w.segments[drop].lastIndex <= index {
		drop++
	}
	return w.dropSegments(drop)
}

func (w *WAL) writeSnapshot(s raft.Snapshot) error {
	payload, err := s.MarshalMsg(nil)
	if err != nil {
		return err
	}
	if len(payload) > maxSnapshotSize {
		return fmt.Errorf("a snapshot of %d bytes: %w", len(payload), errTooLarge)
	}
	b := fileHeader(kindSnapshot, w.ident.Replica, s.Index)
	name := w.path(fileName(s.Index, snapshotSuffix))
	if err := writeFileAtomic(w.fs, name, appendFrame(b, 0, payload)); err != nil {
		return err
	}
	old := w.snapshots
	w.snapshots = []uint64{s.Index}
	for _, num := range old {
		if num == s.Index {
			continue
		}
		if err := w.fs.Remove(w.path(fileName(num, snapshotSuffix))); err != nil {
			return err
		}
	}
	return nil
}

// dropSegments removes the first n segments, the oldest first, so that a crash
// in between leaves no gap.
func (w *WAL) dropSegments(n int) error {
	for range n {
		name := w.path(fileName(w.segments[0].number, segmentSuffix))
		if err := w.fs.Remove(name); err != nil {
			return err
		}
		if err := w.fs.SyncDir(w.dir); err != nil {
			return err
		}
		w.segments = w.segments[1:]
	}
	return nil
}

// fail ends the log.
func (w *WAL) fail(step string, err error) error {
	if errors.Is(err, syscall.ENOSPC) {
		err = fmt.Errorf("%w: %w", ErrDiskFull, err)
	}
	w.err = fmt.Errorf("wal: %s in %s: %w", step, w.dir, err)
	return w.err
}

// Close releases the folder.
func (w *WAL) Close() error {
	var err error
	if w.tail != nil {
		err = w.tail.Close()
		w.tail = nil
	}
	w.release()
	if w.err == nil {
		w.err = errors.New("wal: closed")
	}
	return err
}

func (w *WAL) release() {
	if w.lock != nil {
		w.lock.Close()
		w.lock = nil
	}
}
