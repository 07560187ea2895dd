package wal

import (
	"fmt"

	"github.com/fireflytray/fireflytray/raft"
)

// replay rebuilds the log from the records in their order.
type replay struct {
	seq  uint64
	hard raft.HardState
	ents []raft.Entry
}

func (r *replay) lastIndex() uint64 {
	if len(r.ents) == 0 {
		return 0
	}
	return r.ents[len(r.ents)-1].Index
}

func (r *replay) apply(seq uint64, payload []byte) error {
	if r.seq != 0 && seq != r.seq+1 {
		return fmt.Errorf("record %d follows record %d: %w", seq, r.seq, ErrCorrupt)
	}
	var f frame
	if _, err := f.UnmarshalMsg(payload); err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	r.seq, r.hard = seq, f.Hard
	if f.Reset {
		r.ents = nil
	}
	for _, e := range f.Entries {
		if err := r.add(e); err != nil {
			return err
		}
	}
	return nil
}

// add appends an entry; one at an index that exists replaces the rest of the
// log. One before the first replaces all that is left of an older log.
func (r *replay) add(e raft.Entry) error {
	if len(r.ents) > 0 {
		first, last := r.ents[0].Index, r.lastIndex()
		switch {
		case e.Index > last+1:
			return fmt.Errorf("entry %d follows entry %d: %w", e.Index, last, ErrCorrupt)
		case e.Index < first:
			r.ents = nil
		default:
			r.ents = r.ents[:e.Index-first]
		}
	}
	r.ents = append(r.ents, e)
	return nil
}

// entriesAfter returns the entries that follow a snapshot. Replaced says that the
// snapshot came from a leader and replaces a log that ends before it or
// differs from it, but that the log was not reset before a crash.
func (r *replay) entriesAfter(s raft.Snapshot) (ents []raft.Entry, replaced bool, err error) {
	if len(r.ents) == 0 {
		return nil, false, nil
	}
	first, last := r.ents[0].Index, r.lastIndex()
	switch {
	case first > s.Index+1:
		return nil, false, fmt.Errorf("the log begins at %d after snapshot %d: %w", first, s.Index, ErrCorrupt)
	case last < s.Index:
		return nil, true, nil
	case first <= s.Index && r.ents[s.Index-first].Term != s.Term:
		return nil, true, nil
	}
	return r.ents[s.Index+1-first:], false, nil
}
