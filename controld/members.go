package controld

import (
	"context"
	"sync"
	"time"

	"github.com/fireflytray/fireflytray/membership"
	"github.com/fireflytray/fireflytray/wire"
)

const (
	// memberChangeTimeout bounds one change of the control hosts.
	memberChangeTimeout = 2 * time.Second
	// announcementTTL is how long an announcement of a control host counts; they
	// come every second.
	announcementTTL = 3 * time.Second
	// maxAnnouncedHosts bounds the control hosts remembered.
	maxAnnouncedHosts = 64
)

// memberManager follows the control hosts that announce themselves and, on the
// leader, changes the members of the log as package membership decides.
type memberManager struct {
	host *Host

	mu sync.Mutex
	// announcedHosts is the last announcement from each address.
	announcedHosts map[string]announcedHost
	// silentSince is when a member was last found not to answer; members that
	// answer have no entry.
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

// recordAnnouncement notes another control host and its replica.
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

// addrs returns the addresses of the control hosts heard lately.
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

// ownReplica returns this host's replica as others are told of it.
func (m *memberManager) ownReplica() *wire.Replica {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.self
	return &r
}

// view returns what the leader knows of the control hosts.
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

// silentFor returns how long a member has not answered, zero if it does.
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

// manageMembers makes the next change of the control hosts if this host leads
// and there is one to make.
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
	h.log.Info("control hosts changed", "action", c.Action, "replica", c.ID, "addr", c.Addr, "err", err)
}
