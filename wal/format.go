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

// Version is the format version of the data folder.
const Version = 1

// Names in the data folder.
const (
	lockName       = "LOCK"
	identityName   = "identity"
	tmpSuffix      = ".tmp"
	segmentSuffix  = ".log"
	snapshotSuffix = ".snap"
)

// magic opens each file of the folder.
const magic = "ffltray\n"

// Sizes of the encoding in bytes.
const (
	fileHeaderSize  = len(magic) + 4 + 1 + 8 + 8 + 4
	frameHeaderSize = 4 + 4 + 8
	maxFrameSize    = 512 << 20
	maxSnapshotSize = 256 << 20
)

// maxEntries is the number of entries that one record may hold; the tag on
// frame.Entries repeats it.
const maxEntries = 1 << 20

// fileKind tells the files of a folder apart.
type fileKind uint8

const (
	kindIdentity fileKind = iota + 1
	kindSegment
	kindSnapshot
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Errors of Open.
var (
	// ErrCorrupt says that stored data was changed or lost.
	ErrCorrupt = errors.New("the data is damaged")
	// ErrForeign says that the folder belongs to another program or replica.
	ErrForeign = errors.New("the folder is not this replica's data folder")
	// ErrNewerVersion says that a later version wrote the folder.
	ErrNewerVersion = errors.New("a newer version wrote the folder")
)

// Phase is how far a replica is on its way into a cluster.
type Phase uint8

// The phases.
const (
	// PhaseNew replicas belong to no cluster yet.
	PhaseNew Phase = iota
	// PhaseProposed replicas have agreed to one list of first voters and will
	// never agree to another.
	PhaseProposed
	// PhaseWaiting replicas know that the cluster exists; they wait to be
	// added as a learner.
	PhaseWaiting
	// PhaseMember replicas take part in the cluster.
	PhaseMember
)

// Identity is what a data folder is born with and what it has joined.
type Identity struct {
	// Replica is drawn at random when the folder is made.
	Replica uint64
	// Cluster is zero until the replica belongs to one.
	Cluster uint64
	Phase   Phase
	// Initial lists the first voters that were agreed on.
	Initial []raft.Member
}

// frame is one record of a segment: all that one Save makes durable.
type frame struct {
	Hard    raft.HardState
	Entries []raft.Entry `msg:"Entries,limit=1048576"`
	// Reset drops every earlier entry: a snapshot has replaced the log.
	Reset bool
}

// fileHeader returns the first bytes of a file: magic, version, kind, replica,
// number and a checksum.
func fileHeader(kind fileKind, replica, number uint64) []byte {
	b := append([]byte(nil), magic...)
	b = binary.BigEndian.AppendUint32(b, Version)
	b = append(b, byte(kind))
	b = binary.BigEndian.AppendUint64(b, replica)
	b = binary.BigEndian.AppendUint64(b, number)
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// parseHeader checks a file's header and returns its replica and number.
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
		return 0, 0, fmt.Errorf("format version %d, this program knows %d: %w", v, Version, ErrNewerVersion)
	}
	if fileKind(rest[4]) != kind {
		return 0, 0, fmt.Errorf("header: file of another kind: %w", ErrForeign)
	}
	return binary.BigEndian.Uint64(rest[5:]), binary.BigEndian.Uint64(rest[13:]), nil
}

// appendFrame adds a record: length, checksum, sequence number, payload. The
// checksum covers the length and the number too.
func appendFrame(b []byte, seq uint64, payload []byte) []byte {
	start := len(b)
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.BigEndian.AppendUint32(b, 0)
	b = binary.BigEndian.AppendUint64(b, seq)
	b = append(b, payload...)
	binary.BigEndian.PutUint32(b[start+4:], frameChecksum(b[start:]))
	return b
}

func frameChecksum(b []byte) uint32 {
	sum := crc32.Checksum(b[:4], castagnoli)
	return crc32.Update(sum, castagnoli, b[8:])
}

// parseFrame returns the record at the start of b and its whole size.
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

// followedByFrame says whether an intact record of a later number lies
// anywhere in b. Records are written one after another, each synced before
// the next, so an intact record behind a broken one is damage and not a write
// that a crash cut short.
func followedByFrame(b []byte, seq uint64) bool {
	const plausibleGap = 1 << 32
	for i := 1; i+frameHeaderSize <= len(b); i++ {
		got := binary.BigEndian.Uint64(b[i+8:])
		if got <= seq || got > seq+plausibleGap {
			continue
		}
		if _, _, _, ok := parseFrame(b[i:]); ok {
			return true
		}
	}
	return false
}
