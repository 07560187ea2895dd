package controlclient

import (
	"fmt"
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/fireflytray/fireflytray/fleet"
	"github.com/fireflytray/fireflytray/wire"
)

// testDocuments returns n documents; document i has the configuration index 10*i.
func testDocuments(t require.TestingT, n int) []*fleet.Document {
	docs := []*fleet.Document{fleet.Empty()}
	for i := 1; i < n; i++ {
		doc, err := fleet.FromSections([]wire.ConfigSection{
			{Name: "service s", Keys: []wire.ConfigPair{{Key: "max-tasks", Value: fmt.Sprint(i)}}},
		})
		require.NoError(t, err)
		docs = append(docs, doc)
	}
	return docs
}

var discardLogger = log.New(io.Discard)

func indexOf(version int) uint64 { return uint64(10 * version) }

func pushOf(docs []*fleet.Document, version, base int, fresh bool) *wire.ConfigPush {
	var from *fleet.Document
	if base > 0 {
		from = docs[base]
	}
	msg := docs[version].Push(indexOf(version), from, indexOf(base))
	msg.Fresh = fresh
	return msg
}

// Pushes arrive from hosts with and without a quorum, as full documents and as
// differences, duplicated and out of order, across restarts of the process. The
// index passed to the callback must never decrease within a run, its content
// must be the accepted document of that index, and a run that knows of a newer
// version must not start with an older one from a host without a quorum.
func TestConfigIndexNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		docs := testDocuments(t, 8)
		var s *configState
		var last, highestKnown uint64
		staleAllowed := false
		restart := func(*rapid.T) {
			last, highestKnown, staleAllowed = 0, 0, false
			s = newConfigState("", func(c *fleet.Config) {
				require.Greater(t, c.Index, last)
				require.Equal(t, docs[c.Index/10].Digest(), c.Digest)
				require.Equal(t, uint32(c.Index/10), c.Services["s"].MaxTasks)
				last = c.Index
			}, discardLogger)
		}
		restart(t)
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				version := rapid.IntRange(1, 7).Draw(t, "version")
				base := rapid.IntRange(0, version-1).Draw(t, "base")
				fresh := rapid.Bool().Draw(t, "fresh")
				before := last
				err := s.push(offer{pushOf(docs, version, base, fresh), "c1"})
				index := indexOf(version)
				switch {
				case index <= before:
					require.NoError(t, err)
					require.Equal(t, before, last)
				case before == 0 && !fresh && !(staleAllowed && index >= highestKnown):
					require.Zero(t, last, "accepted from a host without a quorum")
				case base != 0 && indexOf(base) != before:
					require.Error(t, err)
					require.Equal(t, before, last)
				default:
					require.NoError(t, err)
					require.Equal(t, index, last)
				}
				highestKnown = max(highestKnown, index)
			},
			"seen": func(t *rapid.T) {
				index := indexOf(rapid.IntRange(1, 7).Draw(t, "seen"))
				s.observe(index)
				highestKnown = max(highestKnown, index)
			},
			"settle": func(t *rapid.T) {
				before := last
				s.allowStale()
				staleAllowed = true
				require.True(t, last == before || last >= highestKnown)
			},
			"restart": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
					restart(t)
				}
			},
			"": func(t *rapid.T) {
				require.Equal(t, wire.Stamp{Index: last, Digest: docs[last/10].Digest()}, s.stamp())
			},
		})
	})
}

// A difference whose result does not have the announced digest is rejected.
func TestPushWithWrongDigestIsRejected(t *testing.T) {
	docs := testDocuments(t, 3)
	s := newConfigState("", func(*fleet.Config) {}, discardLogger)
	require.NoError(t, s.push(offer{pushOf(docs, 1, 0, true), "c1"}))
	bad := pushOf(docs, 2, 1, true)
	bad.Digest++
	require.Error(t, s.push(offer{bad, "c1"}))
	require.Equal(t, indexOf(1), s.stamp().Index)
}
