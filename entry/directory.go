package entry

import (
	"github.com/cespare/xxhash/v2"

	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// applyDirectory applies a directory message, which holds changes or a full
// list of members, and divides the quotas by the new number of entries.
func (e *Entry) applyDirectory(d wire.Directory) {
	listed := make(map[string]bool, len(d.Upserts))
	known := e.capacitiesKnown()
	for _, m := range d.Upserts {
		listed[m.Peer.ID] = true
		switch m.Peer.Role {
		case wire.RoleAgent:
			e.agentListed(m)
			e.noteCapacity(m.Peer, m.Worker)
		case wire.RoleEntry:
			e.entries[m.Peer.ID] = true
		}
	}
	e.listComplete = e.listComplete || d.Complete
	if !e.listed {
		e.listed, e.listedSince = true, e.now
	}
	if d.Full && d.Complete {
		e.unlistMissing(listed)
	}
	for _, p := range d.Removed {
		e.memberRemoved(p)
	}
	if !known && e.capacitiesKnown() {
		e.refuseNeverFitting()
	}
	e.configureTeams()
	e.askMembersAgain()
}

// unlistMissing treats agents that are missing from a full list as removed from
// the directory. An open session survives that.
func (e *Entry) unlistMissing(listed map[string]bool) {
	for id, a := range e.agents {
		if a.listed && !listed[id] {
			e.unlist(a)
		}
	}
	for id := range e.unidentified {
		if !listed[id] {
			delete(e.unidentified, id)
		}
	}
	for id := range e.entries {
		if !listed[id] {
			delete(e.entries, id)
		}
	}
}

func (e *Entry) memberRemoved(p wire.Peer) {
	if p.Role == wire.RoleEntry {
		delete(e.entries, p.ID)
		return
	}
	if e.unidentified[p.ID] <= p.Incarnation {
		delete(e.unidentified, p.ID)
	}
	if a := e.agents[p.ID]; a != nil && a.peer.Incarnation == p.Incarnation {
		e.unlist(a)
	}
}

// unlist marks an agent as removed from the directory and deletes it unless it
// has a session, a dial in progress or tasks: an open session is stronger
// evidence than a lease that expired at a control host.
func (e *Entry) unlist(a *agent) {
	a.listed = false
	e.updateLockAgent(a)
	e.removeUnused(a)
}

// removeUnused deletes an agent that is not listed, has no session, no dial in progress
// and no tasks, and reports whether it did. One that keeps locks, or did until recently,
// stays.
func (e *Entry) removeUnused(a *agent) bool {
	if a.listed || a.link != linkIdle || len(a.sent) > 0 || a.keepsLocks || e.agents[a.peer.ID] != a {
		return false
	}
	delete(e.agents, a.peer.ID)
	return true
}

// agentListed applies a directory entry of an agent. It dials an agent that has
// no session and is not being dialled, and dials again if the address changed
// during a dial.
func (e *Entry) agentListed(m wire.Member) {
	a := e.agents[m.Peer.ID]
	if m.Worker == nil || m.Worker.Service == "" {
		if a != nil {
			a.announcesService = false
			e.updateLockAgent(a)
		}
		return
	}
	if a == nil {
		a = &agent{sent: make(map[task.ID]sentTask), redialDelay: minRedialDelay}
		a.ID = m.Peer.ID
		a.lockHash = xxhash.Sum64String(a.ID)
		a.peer = m.Peer
		e.agents[m.Peer.ID] = a
	}
	a.listed, a.announcesService = true, true
	moved := m.Peer.Addr != a.peer.Addr
	if m.Peer.Incarnation > a.peer.Incarnation || a.link != linkOpen {
		a.peer.Addr = m.Peer.Addr
		a.peer.Domain = m.Peer.Domain
	}
	if a.svc == nil {
		a.worker = *m.Worker
		a.svc = e.service(m.Worker.Service).homeOf(a.ID)
		a.setOffered(*m.Worker)
	}
	e.updateLockAgent(a)
	switch {
	case a.link == linkIdle:
		a.redialDelay = minRedialDelay
		e.requestDial(a)
	case moved && a.link == linkDialing:
		a.redialDelay = minRedialDelay
		e.dial(a)
	}
}
