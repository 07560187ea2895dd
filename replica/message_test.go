package replica

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/raft"
)

// A message that is taken has one body and an honest sender, and encodes to
// something that is taken again.
func FuzzDecodeEnvelope(f *testing.F) {
	list := []raft.Member{{ID: 1, Addr: "10.0.0.1:7000", Voter: true}}
	for _, e := range []envelope{
		{From: 1, FromAddr: "10.0.0.1:7000", Intro: &intro{Initial: list}},
		{From: 1, Cluster: 5, Exists: &exists{Initial: list}},
		{From: 1, Cluster: 5, Raft: &raft.Message{Kind: raft.MsgAppend, From: 1, To: 2}},
		{From: 1, Raft: &raft.Message{From: 2}},
	} {
		body, err := e.encode()
		require.NoError(f, err)
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		e, err := decode(body)
		if err != nil {
			return
		}
		require.NotZero(t, e.From)
		if e.Raft != nil {
			require.Equal(t, e.From, e.Raft.From)
		}
		again, err := e.encode()
		require.NoError(t, err)
		_, err = decode(again)
		require.NoError(t, err)
	})
}
