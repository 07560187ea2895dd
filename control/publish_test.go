package control

import (
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
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

// applyPublish applies a Publish at the given index and returns the reply.
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
		require.Equal(t, before, m.Stamp(), "different content with an old version changes nothing")
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

// Decoding accepts a document of nearly the size of the largest command, and a
// snapshot with a large, partly restored backup.
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

// Replicas of several builds apply one log, so a document of any host gets the reply and
// leaves the state that it got and left at c595fa4, which knew no rule for hosts.
func TestPublishedHostsAreAppliedAsByEarlierBuilds(t *testing.T) {
	route := func(name, host, prefix string) wire.ConfigSection {
		return wire.ConfigSection{Name: "route " + name, Keys: []wire.ConfigPair{
			{Key: "host", Value: host}, {Key: "prefix", Value: prefix}, {Key: "service", Value: "s"}, {Key: "timeout", Value: "1s"},
		}}
	}
	m := NewMachine(nil)
	for i, want := range []struct {
		routes []wire.ConfigSection
		reply  string
		state  uint64
	}{
		{[]wire.ConfigSection{route("a", "A.example", "/x/")}, "{Accepted:true Detail: Newest:1 Index:1}", 0xeee545ea28bd08f7},
		{[]wire.ConfigSection{route("a", "A.example", "/x/"), route("b", "a.example", "/x/")}, "{Accepted:true Detail: Newest:2 Index:2}", 0xa99e264f5f388b01},
		{[]wire.ConfigSection{route("a", "a@b", "/x/"), route("b", "a b", "/x//../y/")}, "{Accepted:true Detail: Newest:3 Index:3}", 0x3aa3b6705f6f1c11},
		{[]wire.ConfigSection{route("a", "A.example", "/x/"), route("b", "A.example", "/x/")}, "{Accepted:false Detail:base: [route b] prefix: route a has the same host and prefix; valid: each host and prefix once Newest:3 Index:3}", 0xae0b9f58d7b95fa4},
		{[]wire.ConfigSection{route("a", "\xff", "/x/")}, "{Accepted:true Detail: Newest:5 Index:5}", 0x4bb45160c47c9f36},
	} {
		p := &Publish{Version: uint64(i + 1), Source: []byte("source"), Sections: append([]wire.ConfigSection{{Name: "service s"}}, want.routes...)}
		reply := applyPublish(t, m, uint64(i+1), p)
		snapshot, err := m.Snapshot()
		require.NoError(t, err)
		require.Equal(t, want.reply, fmt.Sprintf("%+v", *reply), "document %d", i)
		require.Equal(t, want.state, xxhash.Sum64(snapshot), "document %d", i)
	}
}
