package control

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// commandStream draws commands as operators and entries send them: large and small
// documents, races, resends, rollbacks within and beyond the history, and claims.
type commandStream struct {
	rng *rand.Rand
	// versions are the versions accepted so far.
	versions  []uint64
	published uint64
	ops       int
	now       int64
}

func newCommandStream(seed uint64) *commandStream {
	return &commandStream{rng: rand.New(rand.NewPCG(seed, 1)), now: 1_000}
}

// sections returns a document of one service and a number of routes.
func (s *commandStream) sections(routes int) []wire.ConfigSection {
	out := []wire.ConfigSection{{Name: "service s"}}
	timeout := fmt.Sprintf("%dms", 1000+s.rng.IntN(1000))
	for n := range routes {
		out = append(out, wire.ConfigSection{Name: fmt.Sprintf("route r-%03d", n), Keys: []wire.ConfigPair{
			{Key: "host", Value: fmt.Sprintf("host%03d.example", n)}, {Key: "prefix", Value: "/x/"},
			{Key: "service", Value: "s"}, {Key: "timeout", Value: timeout},
		}})
	}
	return out
}

func (s *commandStream) version() uint64 {
	if len(s.versions) == 0 || s.rng.IntN(10) == 0 {
		return uint64(s.rng.IntN(2000))
	}
	return s.versions[s.rng.IntN(len(s.versions))]
}

// base returns the version in force, or now and then another one.
func (s *commandStream) base() uint64 {
	if len(s.versions) == 0 || s.rng.IntN(8) == 0 {
		return s.version()
	}
	return s.versions[len(s.versions)-1]
}

func (s *commandStream) op() string {
	if s.rng.IntN(8) != 0 {
		s.ops++
	}
	return fmt.Sprintf("op-%d", s.ops)
}

// next draws a command.
func (s *commandStream) next() *Command {
	s.now += int64(s.rng.IntN(2000)) - 200
	c := &Command{At: s.now}
	by := Operator{Name: fmt.Sprintf("operator-%d", s.rng.IntN(3)), Addr: "10.0.0.1:99"}
	key := fmt.Sprintf("key-%d", s.rng.IntN(90))
	owner := task.NewSubmissionID(1, uint64(s.rng.IntN(3)))
	switch n := s.rng.IntN(20); {
	case n < 8:
		s.published += uint64(s.rng.IntN(3))
		c.Publish = &Publish{Version: s.published, By: by, Sections: s.sections(s.rng.IntN(12)), Source: []byte(key)}
	case n < 12:
		team := wire.ConfigSection{Name: "team day", Keys: []wire.ConfigPair{{Key: "max-keys", Value: "50"}}}
		c.Apply = &Apply{Op: s.op(), Base: s.base(), By: by, Sections: append(s.sections(s.rng.IntN(12)), team)}
	case n < 14:
		c.Rollback = &Rollback{Op: s.op(), Base: s.base(), By: by, To: s.version()}
	case n < 17:
		c.Claim = &wire.Claim{Team: "day", Service: "s", Key: key, Owner: owner, Keep: time.Hour}
	case n < 18:
		c.Resolve = &wire.Resolve{Team: "day", Service: "s", Key: key, Owner: owner, Outcome: task.Outcome{State: task.Complete, Body: []byte(key)}}
	case n < 19:
		c.Evacuate = &Evacuate{Domain: fmt.Sprintf("domain-%d", s.rng.IntN(3)), Evacuated: s.rng.IntN(2) == 0, By: by}
	default:
		c.Note = &Note{By: by, Action: "control add", Op: s.op(), Detail: "host", Accepted: true}
	}
	return c
}

// record remembers the version that a reply names.
func (s *commandStream) record(r *Reply) {
	var index uint64
	switch {
	case r.Change != nil && r.Change.Accepted:
		index = r.Change.Index
	case r.Publish != nil && r.Publish.Accepted:
		index = r.Publish.Index
	}
	if index != 0 && (len(s.versions) == 0 || s.versions[len(s.versions)-1] != index) {
		s.versions = append(s.versions, index)
	}
}

// play applies a number of commands and returns a hash over the replies and, every 500
// commands, the snapshot.
func (s *commandStream) play(t *testing.T, m *Machine, from, count uint64) string {
	t.Helper()
	sum := sha256.New()
	for index := from; index < from+count; index++ {
		body, err := s.next().Encode()
		require.NoError(t, err)
		reply := m.Apply(index, body)
		sum.Write(reply)
		r, err := DecodeReply(reply)
		require.NoError(t, err)
		s.record(r)
		if index%500 == 0 {
			snapshot, err := m.Snapshot()
			require.NoError(t, err)
			sum.Write(snapshot)
		}
	}
	return hex.EncodeToString(sum.Sum(nil))
}

// Replicas of the build before state formats and of this one are side by side during a
// rolling upgrade. As long as format 1 is in force, this build gives the same replies and
// snapshots, byte for byte; the hashes were printed by the earlier build (1566c91).
func TestFormatOneMatchesEarlierBuild(t *testing.T) {
	for seed, want := range map[uint64]string{
		1: "2de9955ba6bf82897792ee58b32b8c45b00a959718c1b484236dbfd0aedc2a17",
		2: "090c1ec378ff3acb2029d514f354111e3d7b0083389199feb1af4b0524ed7413",
	} {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			s := newCommandStream(seed)
			require.Equal(t, want, s.play(t, NewMachine(nil), 1, 2000))
			require.Greater(t, len(s.versions), maxHistory)
		})
	}
}
