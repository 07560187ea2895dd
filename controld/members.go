package controld

import (
	"context"
	"sync"
	"time"

	"github.com/fireflytray/fireflytray/membership"
	"github.com/fireflytray/fireflytray/wire"
)

const (
	// changeWithin bounds one change of the control hosts.
	changeWithin = 2 * time.Second
	// heardWithin is how long an announcement of a control host counts; they
	// come every second.
	heardWithin = 3 * time.Second
	// maxHeard bounds the control hosts remembered.
	maxHeard = 64
)

// memberManager follows the control hosts that announce themselves and, on the
// leader, changes the members of the log as package membership decides.
type memberManager struct {
	host *Host

	mu sync.Mutex
	// heard is the last announcement from each address.
	heard map[string]heardHost
	// silentSince is when a member was last found not to answer; members that
	// answer have no entry.
	silentSince map[uint64]time.Time
	self        wire.Replica
	changing    bool
}

type heardHost struct {
	replica wire.Replica
	at      time.Time
}

func newMemberManager(h *Host) *memberManager {
	return &memberManager{host: h, heard: map[string]heardHost{}, silentSince: map[uint64]time.Time{}}
}

// announced notes another control host and its replica.
func (m *memberManager) announced(a *wire.Announce) {
	if a.Replica == nil || a.From.Addr == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.heard[a.From.Addr]; !known && len(m.heard) >= maxHeard {
		return
	}
	m.heard[a.From.Addr] = heardHost{*a.Replica, time.Now()}
}

// addrs returns the addresses of the control hosts heard lately.
func (m *memberManager) addrs() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for addr, h := range m.heard {
		if time.Since(h.at) > heardWithin {
			delete(m.heard, addr)
			continue
		}
		out = append(out, addr)
	}
	return out
}

// own returns this host's replica as others are told of it.
func (m *memberManager) own() *wire.Replica {
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
			SilentFor: m.silence(member, now), CaughtUp: member.Match >= s.Commit,
		})
	}
	for addr, h := range m.heard {
		if h.replica.Waiting && h.replica.ID != 0 && now.Sub(h.at) <= heardWithin {
			v.Candidates = append(v.Candidates, membership.Candidate{ID: h.replica.ID, Addr: addr})
		}
	}
	return v
}

// silence returns how long a member has not answered, zero if it does.
func (m *memberManager) silence(member LogMember, now time.Time) time.Duration {
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
	if h.opts.Manage == nil || !s.IsLeader() || !s.Fresh || busy {
		return
	}
	change := membership.Decide(*h.opts.Manage, m.view(s, time.Now()))
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
	ctx, cancel := context.WithTimeout(ctx, changeWithin)
	defer cancel()
	err := h.replica.Change(ctx, c)
	h.log.Info("control hosts changed", "action", c.Action, "replica", c.ID, "addr", c.Addr, "err", err)
}
