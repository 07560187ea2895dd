package raft_test

import (
	"fmt"
	"strings"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/raft"
)

// register is the replicated state machine of the tests; one unreplicated copy
// serves as the reference model. It holds a value and its version. A write names
// the version that it replaces; of several writes that name the same version,
// one succeeds.
type register struct {
	version  int
	value    string
	writeIDs []string // ids of all writes in the order of their application
}

func command(id string, version int) []byte { return fmt.Appendf(nil, "%s %d", id, version) }

func (r *register) apply(cmd []byte) string {
	var id string
	var version int
	fmt.Sscanf(string(cmd), "%s %d", &id, &version)
	r.writeIDs = append(r.writeIDs, id)
	if version != r.version {
		return "lost to " + r.value
	}
	r.version++
	r.value = id
	return fmt.Sprintf("version %d", r.version)
}

func (r *register) encode() []byte {
	return fmt.Appendf(nil, "%d %s %s", r.version, r.value+"!", strings.Join(r.writeIDs, ","))
}

func (r *register) decode(b []byte) {
	*r = register{}
	var writeIDs string
	fmt.Sscanf(string(b), "%d %s %s", &r.version, &r.value, &writeIDs)
	r.value = strings.TrimSuffix(r.value, "!")
	if writeIDs != "" {
		r.writeIDs = strings.Split(writeIDs, ",")
	}
}

// op is a write whose client waits for the result.
type op struct {
	id             string
	cmd            []byte
	index, term    uint64
	acceptedBefore uint64 // the highest index accepted before the write began
}

// oracle records the entries committed by any replica and the results reported
// to clients.
type oracle struct {
	entries         map[uint64]string // term, kind and data, by index
	reference       register
	results         map[uint64]string
	lastIndex       uint64
	accepted        map[string]uint64
	refused         map[string]bool
	highestAccepted uint64 // the highest accepted index
}

func newOracle() *oracle {
	return &oracle{
		entries: map[uint64]string{}, results: map[uint64]string{},
		accepted: map[string]uint64{}, refused: map[string]bool{}, lastIndex: 1,
	}
}

// recordCommitted records that a replica applied an entry. The first replica that
// applies an index also applies it to the reference register; all others must
// apply the same entry.
func (tr *oracle) recordCommitted(t require.TestingT, e raft.Entry) {
	index, cmd := e.Index, e.Data
	entry := fmt.Sprintf("%d %d %s", e.Term, e.Kind, cmd)
	if old, ok := tr.entries[index]; ok {
		require.Equal(t, old, entry, "two replicas applied different entries at %d", index)
		return
	}
	require.Equal(t, tr.lastIndex+1, index, "a replica skipped an entry")
	tr.entries[index] = entry
	tr.lastIndex = index
	if e.Kind != raft.EntryCommand {
		return
	}
	id, _, _ := strings.Cut(string(cmd), " ")
	require.False(t, tr.refused[id], "refused write %s was applied", id)
	require.NotContains(t, tr.reference.writeIDs, id, "write %s was applied twice", id)
	tr.results[index] = tr.reference.apply(cmd)
}

func (tr *oracle) recordAccepted(t require.TestingT, o *op, result string) {
	require.Equal(t, tr.results[o.index], result, "write %s returned a different result from the reference register", o.id)
	require.Greater(t, o.index, o.acceptedBefore, "write %s is ordered before a write that completed before it began", o.id)
	tr.accepted[o.id] = o.index
	tr.highestAccepted = max(tr.highestAccepted, o.index)
}

func (tr *oracle) recordRefused(t require.TestingT, id string) {
	require.NotContains(t, tr.reference.writeIDs, id, "write %s was refused but has been applied", id)
	tr.refused[id] = true
}
