package raft

// Save is the state that must be durable before Advance is called. The
// snapshot precedes the entries.
type Save struct {
	Hard     HardState
	Snapshot *Snapshot
	Entries  []Entry
}

// ReadState is the answer to a read: the read may be served once the state
// machine has applied Index.
type ReadState struct {
	ID    uint64
	Index uint64
}

// Ready is the work that the caller has to carry out.
type Ready struct {
	// Save is nil if nothing has to be saved. No further Save is returned
	// until Advance is called.
	Save *Save
	// Messages can be sent at once, without waiting for Save.
	Messages []Message
	// Restore is a durable snapshot from which the state machine has to be
	// restored before Committed is applied.
	Restore *Snapshot
	// Committed holds the committed entries to apply, in order.
	Committed []Entry
	Reads     []ReadState
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return r.Save == nil && len(r.Messages) == 0 && r.Restore == nil &&
		len(r.Committed) == 0 && len(r.Reads) == 0
}

// Ready returns the work that is due and was not returned by earlier calls.
func (n *Node) Ready() Ready {
	var rd Ready
	if !n.saving {
		rd.Save = n.takeSave()
	}
	if n.role == Leader {
		n.startReads()
		n.replicateAll(heartbeatNone)
	}
	rd.Restore, rd.Committed = n.takeApply()
	rd.Messages, n.outgoing = n.outgoing, nil
	rd.Reads, n.completedReads = n.completedReads, nil
	return rd
}

// takeSave collects the state that is not durable yet. If there is none, it
// releases the messages that wait for the next save.
func (n *Node) takeSave() *Save {
	for !n.needsSave() {
		if len(n.afterNextSave) == 0 {
			return nil
		}
		msgs := n.afterNextSave
		n.afterNextSave = nil
		n.release(msgs)
	}
	s := &Save{Hard: n.hardState()}
	if n.snapshotUnsaved {
		s.Snapshot = n.pendingSnapshot
		n.snapshotUnsaved = false
	}
	s.Entries = n.log.slice(n.log.stable+1, n.log.lastIndex())
	n.log.saveRequested = n.log.lastIndex()
	n.savedHard = s.Hard
	n.saving = true
	n.afterCurrentSave, n.afterNextSave = n.afterNextSave, nil
	return s
}

func (n *Node) hardState() HardState {
	return HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
}

func (n *Node) needsSave() bool {
	if n.term != n.savedHard.Term || n.vote != n.savedHard.Vote {
		return true
	}
	return n.snapshotUnsaved || n.log.stable < n.log.lastIndex()
}

// Advance reports that the outstanding Save is durable.
func (n *Node) Advance() {
	if !n.saving {
		return
	}
	n.saving = false
	n.log.stable = max(n.log.stable, n.log.saveRequested)
	msgs := n.afterCurrentSave
	n.afterCurrentSave = nil
	n.release(msgs)
	if n.role == Leader {
		n.maybeCommit()
	}
}

// release sends messages whose state is durable. A message of the replica to
// itself is its own vote and is handled at once.
func (n *Node) release(msgs []Message) {
	for _, m := range msgs {
		if m.To == n.id {
			n.Step(n.now, m)
			continue
		}
		n.outgoing = append(n.outgoing, m)
	}
}

// takeApply returns the snapshot and the entries that are committed and durable
// on this replica and have not been applied yet.
func (n *Node) takeApply() (*Snapshot, []Entry) {
	if n.snapshotUnsaved || (n.pendingSnapshot != nil && n.saving) {
		return nil, nil
	}
	s := n.pendingSnapshot
	n.pendingSnapshot = nil
	if s != nil {
		n.log.applied = s.Index
	}
	hi := min(n.log.commit, n.log.stable)
	if hi <= n.log.applied {
		return s, nil
	}
	ents := n.log.slice(n.log.applied+1, hi)
	n.log.applied = hi
	return s, ents
}

// MakeSnapshot returns a snapshot at index with the encoded state data. It
// returns false if index is no longer in the log or not yet handed to the state
// machine.
func (n *Node) MakeSnapshot(index uint64, data []byte) (Snapshot, bool) {
	term, ok := n.log.term(index)
	if !ok || index > n.log.applied {
		return Snapshot{}, false
	}
	return Snapshot{Index: index, Term: term, Members: n.members.at(index), Data: data}, true
}

// Compact drops entries before a snapshot that is durable on this replica, and
// keeps the last ones within KeepEntries and KeepBytes.
func (n *Node) Compact(s Snapshot) {
	if s.Index <= n.log.snap.Index {
		return
	}
	n.log.compact(s, n.cfg.KeepEntries, n.cfg.KeepBytes)
	n.members.compact(n.log.baseIndex)
	n.keepMark(s.Index)
}
