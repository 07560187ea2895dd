package controld

import (
	"context"
	"sync"
	"time"

	"github.com/fireflytray/fireflytray/membership"
	"github.com/fireflytray/fireflytray/wire"
)

const (
	// memberChangeTimeout bounds one membership change.
	memberChangeTimeout = 2 * time.Second
	// announcementTTL is how long the announcement of a control host is valid;
	// control hosts send one every second.
	announcementTTL = 3 * time.Second
	// maxAnnouncedHosts bounds the number of recorded control hosts.
	maxAnnouncedHosts = 64
)

// memberManager records the control hosts that announce themselves. On the leader
// it also makes the membership changes that package membership decides on.
type memberManager struct {
	host *Host

	mu sync.Mutex
	// announcedHosts holds the last announcement from each address.
	announcedHosts map[string]announcedHost
	// silentSince is the time at which each unresponsive member was first found
	// not to answer; members that answer have no entry.
	silentSince map[uint64]time.Time
	self        wire.Replica
	changing    bool
}

type announcedHost struct {
	replica wire.Replica
	at      time.Time
}

func newMemberManager(h *Host) *memberManager {
	return &memberManager{host: h, announcedHosts: map[string]announcedHost{}, silentSince: map[uint64]time.Time{}}
}

// recordAnnouncement records another control host and its replica.
func (m *memberManager) recordAnnouncement(a *wire.Announce) {
	if a.Replica == nil || a.From.Addr == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.announcedHosts[a.From.Addr]; !known && len(m.announcedHosts) >= maxAnnouncedHosts {
		return
	}
	m.announcedHosts[a.From.Addr] = announcedHost{*a.Replica, time.Now()}
}

// addrs returns the addresses with a valid announcement and deletes expired
// ones.
func (m *memberManager) addrs() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for addr, h := range m.announcedHosts {
		if time.Since(h.at) > announcementTTL {
			delete(m.announcedHosts, addr)
			continue
		}
		out = append(out, addr)
	}
	return out
}

// ownReplica returns this host's replica for announcements to other hosts.
func (m *memberManager) ownReplica() *wire.Replica {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.self
	return &r
}

// view returns the input for membership.Decide.
func (m *memberManager) view(s LogStatus, now time.Time) membership.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	var v membership.View
	for _, member := range s.Members {
		v.Members = append(v.Members, membership.Member{
			ID: member.ID, Addr: member.Addr, Voter: member.Voter, Self: member.ID == s.ID,
			SilentFor: m.silentFor(member, now), CaughtUp: member.Match >= s.Commit,
		})
	}
	for addr, h := range m.announcedHosts {
		if h.replica.Waiting && h.replica.ID != 0 && now.Sub(h.at) <= announcementTTL {
			v.Candidates = append(v.Candidates, membership.Candidate{ID: h.replica.ID, Addr: addr})
		}
	}
	return v
}

// silentFor returns how long a member has not answered, or zero if it answers.
func (m *memberManager) silentFor(member LogMember, now time.Time) time.Duration {
	if member.Live {
		delete(m.silentSince, member.ID)
		return 0
	}
	if _, ok := m.silentSince[member.ID]; !ok {
		m.silentSince[member.ID] = now
	}
	return max(1, now.Sub(m.silentSince[member.ID]))
}

// manageMembers starts the next membership change if this host is the leader with
// a fresh quorum, automatic changes are configured, and none is in progress.
func (h *Host) manageMembers(ctx context.Context, s LogStatus) {
	m := h.manager
	m.mu.Lock()
	m.self = wire.Replica{ID: s.ID, Waiting: s.Waiting}
	if !s.IsLeader() || !s.Fresh {
		clear(m.silentSince)
	}
	busy := m.changing
	m.mu.Unlock()
	if h.opts.Membership == nil || !s.IsLeader() || !s.Fresh || busy {
		return
	}
	change := membership.Decide(*h.opts.Membership, m.view(s, time.Now()))
	if change == nil {
		return
	}
	m.setChanging(true)
	h.group.Go(func() error {
		defer m.setChanging(false)
		h.changeMember(ctx, *change)
		return nil
	})
}

func (m *memberManager) setChanging(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changing = on
}

func (h *Host) changeMember(ctx context.Context, c wire.MemberChange) {
	ctx, cancel := context.WithTimeout(ctx, memberChangeTimeout)
	defer cancel()
	err := h.replica.Change(ctx, c)
	h.log.Info("membership change finished", "action", c.Action, "replica", c.ID, "addr", c.Addr, "err", err)
}
