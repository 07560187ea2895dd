package raft

import "slices"

// maxSnapshotBytes bounds the size of a snapshot that a replica accepts.
const maxSnapshotBytes = 256 << 20

// handleAppend appends the leader's entries if the entry before them matches.
func (n *Node) handleAppend(m Message) {
	n.recordLeaderContact(m)
	resp := Message{Kind: MsgAppendResp, To: m.From, Round: m.Round, SentAt: m.SentAt}
	switch {
	case m.Index < n.log.commit && m.Index < n.log.baseIndex:
		// The entries before the base are committed, so they match.
		resp.Index = n.log.commit
	case !contiguous(m.Index, m.Entries) || n.conflictsWithCommitted(m.Entries):
		return
	case !n.log.matches(m.Index, m.LogTerm):
		resp.Reject = true
		resp.Index = m.Index
		resp.Hint = n.log.conflictHint(m.Index)
	default:
		n.appendFromLeader(m.Entries)
		resp.Index = m.Index + uint64(len(m.Entries))
		n.log.commit = max(n.log.commit, min(m.Commit, resp.Index))
	}
	n.sendAfterSave(resp)
}

func contiguous(prev uint64, ents []Entry) bool {
	for i, e := range ents {
		if e.Index != prev+1+uint64(i) {
			return false
		}
	}
	return true
}

// conflictsWithCommitted reports whether entries differ from committed ones. A
// correct leader never sends such entries.
func (n *Node) conflictsWithCommitted(ents []Entry) bool {
	for _, e := range ents {
		if e.Index > n.log.commit {
			return false
		}
		if t, ok := n.log.term(e.Index); ok && t != e.Term {
			return true
		}
	}
	return false
}

// appendFromLeader appends entries whose predecessor matches. It truncates the
// log only where terms differ, because a delayed message may repeat entries.
func (n *Node) appendFromLeader(ents []Entry) {
	for i, e := range ents {
		if n.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= n.log.lastIndex() {
			n.log.truncate(e.Index)
			n.members.truncate(e.Index)
		}
		n.appendToLog(ents[i:])
		return
	}
}

// appendToLog appends entries to the log and applies the memberships in them.
func (n *Node) appendToLog(ents []Entry) {
	n.log.ents = append(n.log.ents, ents...)
	for _, e := range ents {
		if e.Kind == EntryMembers {
			n.members.add(e.Index, e.Members)
		}
	}
}

// incomingSnapshot is a snapshot that is being received in chunks from one
// leader.
type incomingSnapshot struct {
	from uint64
	term uint64
	snap Snapshot
}

func (a *incomingSnapshot) continuedBy(m Message) bool {
	return a != nil && a.from == m.From && a.term == m.Term && a.snap.Index == m.Chunk.Index
}

// handleSnapshot collects the chunks of a snapshot and installs it when it is
// complete.
func (n *Node) handleSnapshot(m Message) {
	if m.Chunk == nil {
		return
	}
	n.recordLeaderContact(m)
	c := m.Chunk
	if c.Index <= n.log.commit || n.log.matches(c.Index, c.Term) {
		n.log.commit = max(n.log.commit, c.Index)
		n.acknowledgeSnapshot(m)
		return
	}
	if !n.incoming.continuedBy(m) {
		n.incoming = &incomingSnapshot{from: m.From, term: m.Term}
		n.incoming.snap = Snapshot{Index: c.Index, Term: c.Term, Members: slices.Clone(c.Members)}
	}
	a := n.incoming
	acceptable := uint64(len(a.snap.Data)) == c.Offset && len(a.snap.Data)+len(c.Data) <= maxSnapshotBytes
	if acceptable {
		a.snap.Data = append(a.snap.Data, c.Data...)
	}
	if acceptable && c.Last {
		n.installSnapshot(a.snap)
		n.acknowledgeSnapshot(m)
		return
	}
	n.sendAfterSave(Message{
		Kind: MsgSnapshotResp, To: m.From, Index: c.Index,
		Offset: uint64(len(a.snap.Data)), Round: m.Round, SentAt: m.SentAt,
	})
}

func (n *Node) installSnapshot(s Snapshot) {
	n.incoming = nil
	n.log.reset(s)
	n.members.reset(s)
	n.pendingSnapshot = &s
	n.snapshotUnsaved = true
}

func (n *Node) acknowledgeSnapshot(m Message) {
	n.sendAfterSave(Message{
		Kind: MsgAppendResp, To: m.From, Index: n.log.commit,
		Round: m.Round, SentAt: m.SentAt,
	})
}
