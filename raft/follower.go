package raft

import "slices"

// maxSnapshotBytes bounds the snapshot that a replica accepts.
const maxSnapshotBytes = 256 << 20

// handleAppend stores the leader's entries where they fit.
func (n *Node) handleAppend(m Message) {
	n.fromLeader(m)
	resp := Message{Kind: MsgAppendResp, To: m.From, Round: m.Round, SentAt: m.SentAt}
	switch {
	case m.Index < n.log.commit && m.Index < n.log.baseIndex:
		// The entries before the base are committed, so they match.
		resp.Index = n.log.commit
	case !contiguous(m.Index, m.Entries) || n.contradicts(m.Entries):
		return
	case !n.log.matches(m.Index, m.LogTerm):
		resp.Reject = true
		resp.Index = m.Index
		resp.Hint = n.log.conflictHint(m.Index)
	default:
		n.appendFrom(m.Entries)
		resp.Index = m.Index + uint64(len(m.Entries))
		n.log.commit = max(n.log.commit, min(m.Commit, resp.Index))
	}
	n.hold(resp)
}

func contiguous(prev uint64, ents []Entry) bool {
	for i, e := range ents {
		if e.Index != prev+1+uint64(i) {
			return false
		}
	}
	return true
}

// contradicts says whether entries differ from committed ones. No correct
// leader sends such.
func (n *Node) contradicts(ents []Entry) bool {
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

// appendFrom stores entries whose predecessor matches. It truncates only at a
// real conflict, because an old message may repeat entries.
func (n *Node) appendFrom(ents []Entry) {
	for i, e := range ents {
		if n.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= n.log.last() {
			n.log.truncate(e.Index)
			n.conf.truncate(e.Index)
		}
		n.store(ents[i:])
		return
	}
}

// store adds entries at the end of the log and puts their memberships in force.
func (n *Node) store(ents []Entry) {
	n.log.ents = append(n.log.ents, ents...)
	for _, e := range ents {
		if e.Kind == EntryMembers {
			n.conf.add(e.Index, e.Members)
		}
	}
}

// assembly is a snapshot that arrives in chunks from one leader.
type assembly struct {
	from uint64
	term uint64
	snap Snapshot
}

func (a *assembly) takes(m Message) bool {
	return a != nil && a.from == m.From && a.term == m.Term && a.snap.Index == m.Chunk.Index
}

// handleSnapshot collects the chunks of a snapshot and installs it.
func (n *Node) handleSnapshot(m Message) {
	if m.Chunk == nil {
		return
	}
	n.fromLeader(m)
	c := m.Chunk
	if c.Index <= n.log.commit || n.log.matches(c.Index, c.Term) {
		n.log.commit = max(n.log.commit, c.Index)
		n.holdInstalled(m)
		return
	}
	if !n.assembly.takes(m) {
		n.assembly = &assembly{from: m.From, term: m.Term}
		n.assembly.snap = Snapshot{Index: c.Index, Term: c.Term, Members: slices.Clone(c.Members)}
	}
	a := n.assembly
	fits := uint64(len(a.snap.Data)) == c.Offset && len(a.snap.Data)+len(c.Data) <= maxSnapshotBytes
	if fits {
		a.snap.Data = append(a.snap.Data, c.Data...)
	}
	if fits && c.Last {
		n.install(a.snap)
		n.holdInstalled(m)
		return
	}
	n.hold(Message{
		Kind: MsgSnapshotResp, To: m.From, Index: c.Index,
		Offset: uint64(len(a.snap.Data)), Round: m.Round, SentAt: m.SentAt,
	})
}

func (n *Node) install(s Snapshot) {
	n.assembly = nil
	n.log.reset(s)
	n.conf.reset(s)
	n.restore = &s
	n.unsaved = true
}

func (n *Node) holdInstalled(m Message) {
	n.hold(Message{
		Kind: MsgAppendResp, To: m.From, Index: n.log.commit,
		Round: m.Round, SentAt: m.SentAt,
	})
}
