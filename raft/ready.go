package raft

// Save is what must be durable before Advance. The snapshot comes first.
type Save struct {
	Hard     HardState
	Snapshot *Snapshot
	Entries  []Entry
}

// ReadState answers a read: its reader may go on once the state machine has
// applied Index.
type ReadState struct {
	ID    uint64
	Index uint64
}

// Ready is what the driver has to do.
type Ready struct {
	// Save is nil when nothing has to be saved. Until Advance no further Save
	// is handed out.
	Save *Save
	// Messages may be sent at once, without waiting for Save.
	Messages []Message
	// Restore is a durable snapshot that replaces the state machine's state
	// before Committed is applied.
	Restore *Snapshot
	// Committed is to be applied in order.
	Committed []Entry
	Reads     []ReadState
}

// Empty says whether there is nothing to do.
func (r *Ready) Empty() bool {
	return r.Save == nil && len(r.Messages) == 0 && r.Restore == nil &&
		len(r.Committed) == 0 && len(r.Reads) == 0
}

// Ready hands out all work that has come up since the last call.
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

// takeSave collects what is not durable yet. With nothing to save, the held
// messages are free to go.
func (n *Node) takeSave() *Save {
	for !n.needsSave() {
		if len(n.afterNextSave) == 0 {
			return nil
		}
		free := n.afterNextSave
		n.afterNextSave = nil
		n.release(free)
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
	free := n.afterCurrentSave
	n.afterCurrentSave = nil
	n.release(free)
	if n.role == Leader {
		n.maybeCommit()
	}
}

// release sends messages whose promises are durable. A replica's message to
// itself is its own vote.
func (n *Node) release(free []Message) {
	for _, m := range free {
		if m.To == n.id {
			n.Step(n.now, m)
			continue
		}
		n.outgoing = append(n.outgoing, m)
	}
}

// takeApply hands out what is committed and durable here.
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

// MakeSnapshot returns a snapshot of a state machine that has applied index.
func (n *Node) MakeSnapshot(index uint64, data []byte) (Snapshot, bool) {
	term, ok := n.log.term(index)
	if !ok || index > n.log.applied {
		return Snapshot{}, false
	}
	return Snapshot{Index: index, Term: term, Members: n.conf.at(index), Data: data}, true
}

// Compact drops the log before a snapshot that is durable here.
func (n *Node) Compact(s Snapshot) {
	if s.Index <= n.log.snap.Index {
		return
	}
	n.log.compact(s, n.cfg.KeepEntries, n.cfg.KeepBytes)
	n.conf.compact(n.log.baseIndex)
}
