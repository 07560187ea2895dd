package wal

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/raft"
)

// A snapshot is written in parts, without a copy of its data. The parts must be the
// record that earlier builds wrote and read.
func TestSnapshotInPartsMatchesWholeRecord(t *testing.T) {
	for _, size := range []int{0, 1, 255, 256, 65_535, 65_536, 1 << 20} {
		s := raft.Snapshot{Index: 7, Term: 300, Members: []raft.Member{{ID: 1, Addr: "a:1", Voter: true}, {ID: 2, Addr: "b:2"}}, Data: make([]byte, size)}
		for i := range s.Data {
			s.Data[i] = byte(i * 7)
		}
		payload, err := s.MarshalMsg(nil)
		require.NoError(t, err)
		head, err := encodeSnapshotHead(s)
		require.NoError(t, err)
		parts := append(append(frameHeader(0, head, s.Data), head...), s.Data...)
		require.Equal(t, appendFrame(nil, 0, payload), parts, "%d bytes", size)
	}
}
