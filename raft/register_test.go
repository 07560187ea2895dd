package raft_test

import (
	"fmt"
	"strings"

	"github.com/stretchr/testify/require"
)

// register is the naive single copy: a value under a version. A write names
// the version that it replaces; of several that name the same, one wins.
type register struct {
	version int
	value   string
	seen    []string // ids of all writes in their order
}

func command(id string, version int) []byte { return fmt.Appendf(nil, "%s %d", id, version) }

func (r *register) apply(cmd []byte) string {
	var id string
	var version int
	fmt.Sscanf(string(cmd), "%s %d", &id, &version)
	r.seen = append(r.seen, id)
	if version != r.version {
		return "lost to " + r.value
	}
	r.version++
	r.value = id
	return fmt.Sprintf("version %d", r.version)
}

func (r *register) encode() []byte {
	return fmt.Appendf(nil, "%d %s %s", r.version, r.value+"!", strings.Join(r.seen, ","))
}

func (r *register) decode(b []byte) {
	*r = register{}
	var seen string
	fmt.Sscanf(string(b), "%d %s %s", &r.version, &r.value, &seen)
	r.value = strings.TrimSuffix(r.value, "!")
	if seen != "" {
		r.seen = strings.Split(seen, ",")
	}
}

// op is a write whose client waits.
type op struct {
	id          string
	cmd         []byte
	index, term uint64
	after       uint64 // the highest index that was accepted before it began
}

// truth is what has been committed anywhere, and what clients were told.
type truth struct {
	entries  map[uint64]string // by index: term and command
	naive    register
	results  map[uint64]string
	last     uint64
	accepted map[string]uint64
	refused  map[string]bool
	highest  uint64 // the highest accepted index
}

func newTruth() *truth {
	return &truth{
		entries: map[uint64]string{}, results: map[uint64]string{},
		accepted: map[string]uint64{}, refused: map[string]bool{}, last: 1,
	}
}

// committed notes that a replica applied an entry. The first one to apply an
// index feeds the naive register; every other must apply the same.
func (tr *truth) committed(t require.TestingT, index, term uint64, cmd []byte) {
	entry := fmt.Sprintf("%d %s", term, cmd)
	if old, ok := tr.entries[index]; ok {
		require.Equal(t, old, entry, "two replicas applied different entries at %d", index)
		return
	}
	require.Equal(t, tr.last+1, index, "a replica skipped an entry")
	tr.entries[index] = entry
	tr.last = index
	if len(cmd) == 0 {
		return
	}
	id, _, _ := strings.Cut(string(cmd), " ")
	require.False(t, tr.refused[id], "refused write %s was applied", id)
	require.NotContains(t, tr.naive.seen, id, "write %s was applied twice", id)
	tr.results[index] = tr.naive.apply(cmd)
}

func (tr *truth) accept(t require.TestingT, o *op, result string) {
	require.Equal(t, tr.results[o.index], result, "write %s got another answer than the naive register gives", o.id)
	require.Greater(t, o.index, o.after, "write %s is ordered before one that had ended", o.id)
	tr.accepted[o.id] = o.index
	tr.highest = max(tr.highest, o.index)
}

func (tr *truth) refuse(t require.TestingT, id string) {
	require.NotContains(t, tr.naive.seen, id, "write %s was refused but is there", id)
	tr.refused[id] = true
}
