package raft

// memLog is the part of the log that is held in memory: the entries after the
// base position, and the latest snapshot for followers that need older ones.
type memLog struct {
	snap      Snapshot
	baseIndex uint64
	baseTerm  uint64
	ents      []Entry

	commit        uint64
	applied       uint64 // handed out for applying
	stable        uint64 // durable on this replica
	saveRequested uint64 // handed out for saving
}

func newLog(snap Snapshot, ents []Entry, commit uint64) memLog {
	l := memLog{snap: snap, baseIndex: snap.Index, baseTerm: snap.Term, ents: ents}
	l.commit = max(commit, snap.Index)
	l.stable = l.lastIndex()
	l.saveRequested = l.stable
	return l
}

func (l *memLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.ents)) }

func (l *memLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of the entry at index i, if it is known.
func (l *memLog) term(i uint64) (uint64, bool) {
	switch {
	case i == l.baseIndex:
		return l.baseTerm, true
	case i < l.baseIndex || i > l.lastIndex():
		return 0, false
	}
	return l.ents[i-l.baseIndex-1].Term, true
}

func (l *memLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// slice returns the entries lo to hi, both included.
func (l *memLog) slice(lo, hi uint64) []Entry {
	if lo > hi {
		return nil
	}
	from, to := lo-l.baseIndex-1, hi-l.baseIndex
	return l.ents[from:to:to]
}

// batch returns entries from lo on, at least one and up to maxBytes of data.
func (l *memLog) batch(lo uint64, maxBytes int) []Entry {
	size := 0
	hi := lo - 1
	for hi < l.lastIndex() {
		size += entrySize(&l.ents[hi-l.baseIndex])
		if size > maxBytes && hi >= lo {
			break
		}
		hi++
	}
	return l.slice(lo, hi)
}

// truncate drops the entries from index on. It copies, because slices of the
// old entries may still be on their way to the disk.
func (l *memLog) truncate(index uint64) {
	keep := index - l.baseIndex - 1
	l.ents = append(make([]Entry, 0, keep+1), l.ents[:keep]...)
	l.stable = min(l.stable, index-1)
	l.saveRequested = min(l.saveRequested, index-1)
}

// reset replaces everything by a snapshot.
func (l *memLog) reset(s Snapshot) {
	*l = memLog{
		snap:          s,
		baseIndex:     s.Index,
		baseTerm:      s.Term,
		commit:        s.Index,
		applied:       l.applied,
		stable:        s.Index,
		saveRequested: s.Index,
	}
}

// compact makes s the latest snapshot and keeps up to keep entries and
// keepBytes of data before it.
func (l *memLog) compact(s Snapshot, keep uint64, keepBytes int) {
	l.snap = s
	base := s.Index
	for size := 0; base > l.baseIndex && s.Index-base < keep; base-- {
		size += entrySize(&l.ents[base-l.baseIndex-1])
		if size > keepBytes {
			break
		}
	}
	term, ok := l.term(base)
	if !ok || base == l.baseIndex {
		return
	}
	rest := l.ents[base-l.baseIndex:]
	l.ents = append(make([]Entry, 0, len(rest)), rest...)
	l.baseIndex, l.baseTerm = base, term
}

// upToDate says whether a log that ends at (index, term) holds at least what
// this one holds.
func (l *memLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}

// conflictHint returns where a leader should probe after a mismatch at index.
func (l *memLog) conflictHint(index uint64) uint64 {
	if index > l.lastIndex() {
		return l.lastIndex()
	}
	term, ok := l.term(index)
	if !ok {
		return l.commit
	}
	for index > l.commit && index > l.baseIndex && l.matches(index, term) {
		index--
	}
	return index
}

// entryOverhead approximates the encoded size of an entry without its data.
const entryOverhead = 32

func entrySize(e *Entry) int { return entryOverhead + len(e.Data) + 64*len(e.Members) }
