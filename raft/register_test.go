package raft_test

import (
	"fmt"
	"strings"

	"github.com/stretchr/testify/require"
)

// register is the naive single copy: a value under a version. A write names
// the version that it replaces; of several that name the same, one wins.
type register struct {
	version  int
	value    string
	writeIDs []string // ids of all writes in their order
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
	var seen string
	fmt.Sscanf(string(b), "%d %s %s", &r.version, &r.value, &seen)
	r.value = strings.TrimSuffix(r.value, "!")
	if seen != "" {
		r.writeIDs = strings.Split(seen, ",")
	}
}

// op is a write whose client waits.
type op struct {
	id             string
	cmd            []byte
	index, term    uint64
	acceptedBefore uint64 // the highest index that was accepted before it began
}

// oracle is what has been committed anywhere, and what clients were told.
type oracle struct {
	entries         map[uint64]string // by index: term and command
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

// recordCommitted notes that a replica applied an entry. The first one to apply an
// index feeds the naive register; every other must apply the same.
func (tr *oracle) recordCommitted(t require.TestingT, index, term uint64, cmd []byte) {
	entry := fmt.Sprintf("%d %s", term, cmd)
	if old, ok := tr.entries[index]; ok {
		require.Equal(t, old, entry, "two replicas applied different entries at %d", index)
		return
	}
	require.Equal(t, tr.lastIndex+1, index, "a replica skipped an entry")
	tr.entries[index] = entry
	tr.lastIndex = index
	if len(cmd) == 0 {
		return
	}
	id, _, _ := strings.Cut(string(cmd), " ")
	require.False(t, tr.refused[id], "refused write %s was applied", id)
	require.NotContains(t, tr.reference.writeIDs, id, "write %s was applied twice", id)
	tr.results[index] = tr.reference.apply(cmd)
}

func (tr *oracle) recordAccepted(t require.TestingT, o *op, result string) {
	require.Equal(t, tr.results[o.index], result, "write %s got another answer than the naive register gives", o.id)
	require.Greater(t, o.index, o.acceptedBefore, "write %s is ordered before one that had ended", o.id)
	tr.accepted[o.id] = o.index
	tr.highestAccepted = max(tr.highestAccepted, o.index)
}

func (tr *oracle) recordRefused(t require.TestingT, id string) {
	require.NotContains(t, tr.reference.writeIDs, id, "write %s was refused but is there", id)
	tr.refused[id] = true
}
