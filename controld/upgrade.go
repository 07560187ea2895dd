package controld

import (
	"context"
	"time"

	"github.com/fireflytray/fireflytray/control"
	"github.com/fireflytray/fireflytray/wire"
)

// supports reports whether a replica's host supports a state format.
func supports(r wire.Replica, format uint32) bool { return max(1, r.Format) >= format }

// upgradeFormat proposes the latest state format if this host is the leader with a fresh
// quorum and every member of the log has announced lately that it supports that format.
// A member of an earlier build would go on under the earlier format and come to another
// state, so one that is silent holds up the upgrade until it answers or is removed.
func (h *Host) upgradeFormat(ctx context.Context, s LogStatus) {
	h.logFormat()
	if h.machine.Format() >= control.LatestFormat || !s.IsLeader() || !s.Fresh {
		return
	}
	m := h.memberManager
	if !m.allSupport(s, control.LatestFormat, time.Now()) || !m.startUpgrade() {
		return
	}
	h.group.Go(func() error {
		defer m.endUpgrade()
		ctx, cancel := context.WithTimeout(ctx, memberChangeTimeout)
		defer cancel()
		_, err := h.propose(ctx, &control.Command{Upgrade: &control.Upgrade{Format: control.LatestFormat}})
		h.log.Info("proposed a state format", "format", control.LatestFormat, "members", len(s.Members), "err", err)
		return nil
	})
}

// logFormat logs the state format in force when it has changed. It is called by one
// goroutine.
func (h *Host) logFormat() {
	if format := h.machine.Format(); format != h.loggedFormat {
		h.log.Info("state format in force", "format", format, "was", h.loggedFormat, "latest", control.LatestFormat)
		h.loggedFormat = format
	}
}

// allSupport reports whether each member but this host has an announcement of its replica
// that is younger than announcementTTL and names a format that is at least the given one.
func (m *memberManager) allSupport(s LogStatus, format uint32, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	supporting := map[uint64]bool{s.ID: true}
	for _, host := range m.announcedHosts {
		if now.Sub(host.receivedAt) <= announcementTTL && supports(host.replica, format) {
			supporting[host.replica.ID] = true
		}
	}
	for _, member := range s.Members {
		if !supporting[member.ID] {
			return false
		}
	}
	return true
}

// startUpgrade reports whether no upgrade is in progress, and records one.
func (m *memberManager) startUpgrade() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.upgrading {
		return false
	}
	m.upgrading = true
	return true
}

func (m *memberManager) endUpgrade() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.upgrading = false
}
