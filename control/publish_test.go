package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/wire"
)

func publishCommand(version uint64, timeout string) *Publish {
	return &Publish{
		Version: version,
		Source:  []byte(timeout),
		Sections: []wire.ConfigSection{
			{Name: "service s"},
			{Name: "route r", Keys: []wire.ConfigPair{
				{Key: "host", Value: "a.example"}, {Key: "prefix", Value: "/x/"},
				{Key: "service", Value: "s"}, {Key: "timeout", Value: timeout},
			}},
		},
	}
}

// applyPublish applies one Publish and returns the reply.
func applyPublish(t *testing.T, m *Machine, index uint64, p *Publish) *PublishReply {
	t.Helper()
	body, err := (&Command{Publish: p}).Encode()
	require.NoError(t, err)
	reply, err := DecodeReply(m.Apply(index, body))
	require.NoError(t, err)
	return reply.Publish
}

func TestHighestPublishedVersionWins(t *testing.T) {
	m := NewMachine(nil)
	require.Equal(t, uint64(7), applyPublish(t, m, 1, publishCommand(7, "1s")).Newest)
	before := m.Stamp()
	for _, version := range []uint64{3, 7} {
		reply := applyPublish(t, m, 2+version, publishCommand(version, "2s"))
		require.True(t, reply.Accepted)
		require.Equal(t, uint64(7), reply.Newest)
		require.Equal(t, "1s", string(m.Published().Source))
		require.Equal(t, before, m.Stamp(), "other content under an old version changes nothing")
	}
	require.True(t, applyPublish(t, m, 20, publishCommand(8, "2s")).Accepted)
	require.Equal(t, "2s", string(m.Published().Source))
	require.Greater(t, m.Stamp().Index, before.Index)
}

func TestInvalidPublishIsRefusedWhateverItsVersion(t *testing.T) {
	m := NewMachine(nil)
	applyPublish(t, m, 1, publishCommand(7, "1s"))
	for _, version := range []uint64{1, 7, 9} {
		p := publishCommand(version, "1s")
		p.Sections = p.Sections[1:]
		reply := applyPublish(t, m, 2+version, p)
		require.False(t, reply.Accepted)
		require.Contains(t, reply.Detail, "there is no service")
	}
	require.Equal(t, uint64(7), m.Published().Version)
}

func TestPublishedDocumentSurvivesASnapshot(t *testing.T) {
	m := NewMachine(nil)
	applyPublish(t, m, 1, publishCommand(7, "1s"))
	snapshot, err := m.Snapshot()
	require.NoError(t, err)
	other := NewMachine(nil)
	require.NoError(t, other.Restore(1, snapshot))
	require.Equal(t, m.Published(), other.Published())
	require.Equal(t, m.Stamp(), other.Stamp())
}

// A command may be as large as the log takes, and a snapshot holds a backup of
// which some parts have been restored.
func TestLargeBlobsDecode(t *testing.T) {
	p := publishCommand(1, "1s")
	p.Source = make([]byte, 500<<10)
	m := NewMachine(nil)
	require.True(t, applyPublish(t, m, 1, p).Accepted)
	for _, s := range []*State{{Published: m.Published()}, {Staged: make([]byte, 4<<20)}} {
		out, err := s.MarshalMsg(nil)
		require.NoError(t, err)
		_, err = new(State).UnmarshalMsg(out)
		require.NoError(t, err)
	}
}
