// Package wal stores a replica's durable state in one data folder: its
// identity, the segments of its log with a checksum on every record, and its
// snapshots. Only one process at a time may use a folder.
//
// Each Save writes and syncs one record. After a failed write or sync every
// later operation fails, because the content of the disk is then unknown until
// the folder is opened again.
package wal

import (
	"errors"
	"fmt"
	"io"
	"syscall"

	"github.com/tinylib/msgp/msgp"

	"github.com/fireflytray/fireflytray/raft"
)

// SegmentBytes is the segment size in bytes from which a new segment is started.
const SegmentBytes = 8 << 20

// ErrDiskFull reports that no disk space is left. Accepted data is not lost; the
// replica has to be restarted once there is free space.
var ErrDiskFull = errors.New("the disk is full")

// errTooLarge rejects a record or snapshot that exceeds the limits that apply
// when it is read back.
var errTooLarge = errors.New("more than the format allows")

// WAL is an open data folder. It is not safe for concurrent use.
type WAL struct {
	fs   FS
	dir  string
	lock io.Closer
	err  error // the first failure; every later call returns it

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
	lastIndex uint64 // last index of the log at the end of this segment
}

// Identity returns the identity of the folder.
func (w *WAL) Identity() Identity { return w.ident }

// SetIdentity stores a new phase, cluster and list of initial voters. The
// replica id does not change.
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

// Save makes a save durable. If it returns an error, the caller must not
// acknowledge any part of the save, and every later call also fails.
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

// installSnapshot replaces the whole log with a snapshot from the leader.
func (w *WAL) installSnapshot(s *raft.Save) error {
	if err := w.writeSnapshot(*s.Snapshot); err != nil {
		return err
	}
	return w.reset()
}

// reset starts a segment whose first record discards every earlier entry, and
// removes the earlier segments.
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

// roll starts a new segment. Its first record holds the last saved hard state,
// so that earlier segments can be removed.
func (w *WAL) roll(reset bool) error {
	num, lastIndex := uint64(1), uint64(0)
	if n := len(w.segments); n > 0 {
		num, lastIndex = w.segments[n-1].number+1, w.segments[n-1].lastIndex
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
	w.segments = append(w.segments, segment{number: num, lastIndex: lastIndex})
	w.tail, err = w.fs.Append(name)
	w.tailSize = len(b)
	return err
}

// SaveSnapshot makes a snapshot of the applied state durable and removes the
// segments that it covers.
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
	head, err := encodeSnapshotHead(s)
	if err != nil {
		return err
	}
	if size := len(head) + len(s.Data); size > maxSnapshotSize {
		return fmt.Errorf("a snapshot of %d bytes: %w", size, errTooLarge)
	}
	name := w.path(fileName(s.Index, snapshotSuffix))
	header := fileHeader(kindSnapshot, w.ident.Replica, s.Index)
	if err := writeFileAtomic(w.fs, name, header, frameHeader(0, head, s.Data), head, s.Data); err != nil {
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

// encodeSnapshotHead returns the encoding of a snapshot up to its data, which come last
// and may be too large to copy.
func encodeSnapshotHead(s raft.Snapshot) ([]byte, error) {
	data := s.Data
	s.Data = nil
	b, err := s.MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	b = b[:len(b)-len(msgp.AppendBytesHeader(nil, 0))]
	return msgp.AppendBytesHeader(b, uint32(len(data))), nil
}

// dropSegments removes the first n segments, oldest first and each removal
// synced, so that a crash in between leaves no gap.
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

// fail records a permanent failure, which every later call returns.
func (w *WAL) fail(step string, err error) error {
	if errors.Is(err, syscall.ENOSPC) {
		err = fmt.Errorf("%w: %w", ErrDiskFull, err)
	}
	w.err = fmt.Errorf("wal: %s in %s: %w", step, w.dir, err)
	return w.err
}

// Close closes the log and releases the lock on the folder.
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
