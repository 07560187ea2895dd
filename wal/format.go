package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/fireflytray/fireflytray/raft"
)

//go:generate go tool msgp -tests=false -io=false -unexported

//msgp:tuple Identity frame
//msgp:ignore segment replay State OS WAL
//msgp:limit arrays:65536 maps:16

// Version is the version of the data folder's file format.
const Version = 1

// Names in the data folder.
const (
	lockName       = "LOCK"
	identityName   = "identity"
	tmpSuffix      = ".tmp"
	segmentSuffix  = ".log"
	snapshotSuffix = ".snap"
)

// magic is the signature at the start of identity, segment and snapshot files.
const magic = "ffltray\n"

// Sizes of the encoding in bytes.
const (
	fileHeaderSize  = len(magic) + 4 + 1 + 8 + 8 + 4
	frameHeaderSize = 4 + 4 + 8
	maxFrameSize    = 512 << 20
	maxSnapshotSize = 256 << 20
)

// maxEntries is the maximum number of entries in one record. The tag on
// frame.Entries repeats the value.
const maxEntries = 1 << 20

// fileKind is the type of a file, stored in its header.
type fileKind uint8

const (
	kindIdentity fileKind = iota + 1
	kindSegment
	kindSnapshot
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Errors of Open.
var (
	// ErrCorrupt reports that stored data was changed or lost.
	ErrCorrupt = errors.New("stored data is corrupt")
	// ErrForeign reports that the folder belongs to another program or replica.
	ErrForeign = errors.New("not a data folder of this replica")
	// ErrNewerVersion reports that a later format version wrote the folder.
	ErrNewerVersion = errors.New("data folder was written by a newer version")
)

// Phase is the stage that a replica has reached in joining a cluster.
type Phase uint8

// The phases.
const (
	// PhaseNew is the phase of a replica that belongs to no cluster yet.
	PhaseNew Phase = iota
	// PhaseProposed is the phase of a replica that has agreed to one list of
	// initial voters. It never agrees to another list.
	PhaseProposed
	// PhaseWaiting is the phase of a replica that knows that the cluster
	// exists and waits to be added as a learner.
	PhaseWaiting
	// PhaseMember is the phase of a replica that is part of the cluster.
	PhaseMember
)

// Identity identifies the replica that owns a data folder and the cluster that
// the replica has joined.
type Identity struct {
	// Replica is the replica id, chosen at random when the folder is created.
	Replica uint64
	// Cluster is zero until the replica belongs to one.
	Cluster uint64
	Phase   Phase
	// Initial lists the initial voters that were agreed on.
	Initial []raft.Member
}

// frame is the payload of one record of a segment. Each Save writes one.
type frame struct {
	Hard    raft.HardState
	Entries []raft.Entry `msg:"Entries,limit=1048576"`
	// Reset discards every earlier entry, because a snapshot replaced the log.
	Reset bool
}

// fileHeader returns a file's header: magic, version, kind, replica, number
// and a checksum.
func fileHeader(kind fileKind, replica, number uint64) []byte {
	b := append([]byte(nil), magic...)
	b = binary.BigEndian.AppendUint32(b, Version)
	b = append(b, byte(kind))
	b = binary.BigEndian.AppendUint64(b, replica)
	b = binary.BigEndian.AppendUint64(b, number)
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// parseHeader validates a file's header and returns its replica and number.
func parseHeader(data []byte, kind fileKind) (replica, number uint64, err error) {
	if len(data) < fileHeaderSize {
		return 0, 0, fmt.Errorf("header: %w", ErrCorrupt)
	}
	if string(data[:len(magic)]) != magic {
		return 0, 0, fmt.Errorf("header: %w", ErrForeign)
	}
	body, sum := data[:fileHeaderSize-4], data[fileHeaderSize-4:fileHeaderSize]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(sum) {
		return 0, 0, fmt.Errorf("header: %w", ErrCorrupt)
	}
	rest := body[len(magic):]
	if v := binary.BigEndian.Uint32(rest); v > Version {
		return 0, 0, fmt.Errorf("format version %d, this program supports up to %d: %w", v, Version, ErrNewerVersion)
	}
	if fileKind(rest[4]) != kind {
		return 0, 0, fmt.Errorf("header: wrong file kind: %w", ErrForeign)
	}
	return binary.BigEndian.Uint64(rest[5:]), binary.BigEndian.Uint64(rest[13:]), nil
}

// appendFrame appends a record to b: length, checksum, sequence number,
// payload. The checksum also covers the length and the sequence number.
func appendFrame(b []byte, seq uint64, payload []byte) []byte {
	start := len(b)
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.BigEndian.AppendUint32(b, 0)
	b = binary.BigEndian.AppendUint64(b, seq)
	b = append(b, payload...)
	binary.BigEndian.PutUint32(b[start+4:], frameChecksum(b[start:]))
	return b
}

// frameHeader returns the header of a record whose payload consists of parts.
func frameHeader(seq uint64, parts ...[]byte) []byte {
	size := 0
	for _, p := range parts {
		size += len(p)
	}
	b := binary.BigEndian.AppendUint32(nil, uint32(size))
	b = binary.BigEndian.AppendUint32(b, 0)
	b = binary.BigEndian.AppendUint64(b, seq)
	sum := frameChecksum(b)
	for _, p := range parts {
		sum = crc32.Update(sum, castagnoli, p)
	}
	binary.BigEndian.PutUint32(b[4:], sum)
	return b
}

func frameChecksum(b []byte) uint32 {
	sum := crc32.Checksum(b[:4], castagnoli)
	return crc32.Update(sum, castagnoli, b[8:])
}

// parseFrame returns the record at the start of b and its size with the header.
// ok is false if the record is incomplete or its checksum does not match.
func parseFrame(b []byte) (seq uint64, payload []byte, size int, ok bool) {
	if len(b) < frameHeaderSize {
		return 0, nil, 0, false
	}
	n := int64(binary.BigEndian.Uint32(b))
	if n > maxFrameSize || n > int64(len(b)-frameHeaderSize) {
		return 0, nil, 0, false
	}
	size = frameHeaderSize + int(n)
	if frameChecksum(b[:size]) != binary.BigEndian.Uint32(b[4:]) {
		return 0, nil, 0, false
	}
	return binary.BigEndian.Uint64(b[8:]), b[frameHeaderSize:size], size, true
}

// followedByFrame reports whether b contains, at any offset, an intact record
// with a later sequence number. Each record is synced before the next is
// written, so an intact record after a broken one means corruption and not a
// write that a crash interrupted.
func followedByFrame(b []byte, seq uint64) bool {
	const maxSeqGap = 1 << 32
	for i := 1; i+frameHeaderSize <= len(b); i++ {
		got := binary.BigEndian.Uint64(b[i+8:])
		if got <= seq || got > seq+maxSeqGap {
			continue
		}
		if _, _, _, ok := parseFrame(b[i:]); ok {
			return true
		}
	}
	return false
}
