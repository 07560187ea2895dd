package controld

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"

	"github.com/fireflytray/fireflytray/adminapi"
	"github.com/fireflytray/fireflytray/control"
	"github.com/fireflytray/fireflytray/directory"
	"github.com/fireflytray/fireflytray/wire"
)

// liveProcesses returns the live processes including this one, sorted by role and id.
func (h *Host) liveProcesses(ctx context.Context) ([]wire.Member, error) {
	ch := make(chan []wire.Member, 1)
	h.loop.Post(directory.Event{Query: &directory.MembersQuery{Reply: func(m []wire.Member) { ch <- m }}})
	self := wire.Member{Peer: h.opts.Self, ConfigIndex: h.machine.Stamp().Index}
	select {
	case m := <-ch:
		// Other control hosts report this one too.
		m = slices.DeleteFunc(m, func(one wire.Member) bool {
			return one.Peer.Role == self.Peer.Role && one.Peer.ID == self.Peer.ID
		})
		m = append(m, self)
		slices.SortFunc(m, func(a, b wire.Member) int {
			return cmp.Or(cmp.Compare(a.Peer.Role, b.Peer.Role), cmp.Compare(a.Peer.ID, b.Peer.ID))
		})
		return m, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("controld: list members: %w", ctx.Err())
	}
}

func processOf(m wire.Member) adminapi.Process {
	p := adminapi.Process{
		Role: string(m.Peer.Role), ID: m.Peer.ID, Domain: m.Peer.Domain, Addr: m.Peer.Addr,
		Incarnation: m.Peer.Incarnation, Index: m.ConfigIndex,
	}
	if m.Worker != nil {
		p.Service, p.Slots, p.Connections = m.Worker.Service, m.Worker.Slots, m.Worker.Connections
		p.Rack, p.Draining = m.Worker.Rack, m.Worker.Draining
	}
	return p
}

func (h *Host) adminFleet(c *adminCall) (any, error) {
	processes, err := h.liveProcesses(c.ctx)
	if err != nil {
		return nil, err
	}
	out := &adminapi.FleetReply{Fresh: h.fresh.Load(), Index: h.machine.Stamp().Index}
	_, doc := h.machine.Current()
	evacuated := doc.EvacuatedDomains()
	for _, m := range processes {
		p := processOf(m)
		p.Evacuated = slices.Contains(evacuated, p.Domain)
		out.Processes = append(out.Processes, p)
	}
	return out, nil
}

// siteOf returns the site of a process, or its failure domain if no site is set.
func siteOf(p wire.Peer) string { return cmp.Or(p.Site, p.Domain) }

// adminStatus returns, by site, how many processes have applied the version in
// force or the one given in the query.
func (h *Host) adminStatus(c *adminCall) (any, error) {
	fresh := h.waitCurrent(c.ctx)
	processes, err := h.liveProcesses(c.ctx)
	if err != nil {
		return nil, err
	}
	info, _ := h.machine.Current()
	want := info.Index
	if n, err := c.QueryArgs().GetUint("index"); err == nil {
		want = uint64(n)
	}
	out := &adminapi.ConfigStatus{Fresh: fresh, Complete: true, Version: adminVersion(info)}
	sites := map[string]*adminapi.Site{}
	for _, m := range processes {
		site := siteOf(m.Peer)
		s, ok := sites[site]
		if !ok {
			s = &adminapi.Site{Site: site, Lowest: m.ConfigIndex}
			sites[site] = s
		}
		countProcess(s, m, want)
		out.Complete = out.Complete && m.ConfigIndex >= want
	}
	for _, s := range sites {
		out.Sites = append(out.Sites, *s)
	}
	slices.SortFunc(out.Sites, func(a, b adminapi.Site) int { return cmp.Compare(a.Site, b.Site) })
	return out, nil
}

func countProcess(s *adminapi.Site, m wire.Member, want uint64) {
	s.Processes++
	s.Lowest = min(s.Lowest, m.ConfigIndex)
	if m.ConfigIndex >= want {
		s.InForce++
		return
	}
	s.Behind = append(s.Behind, processOf(m))
}

func (h *Host) adminControl(*adminCall) (any, error) {
	s := h.replica.Status()
	out := &adminapi.ControlReply{
		Replica: adminapi.FormatDigest(s.ID), Fresh: s.Fresh, Term: s.Term, Commit: s.Commit, Applied: s.Applied,
	}
	if s.Leader != 0 {
		out.Leader = adminapi.FormatDigest(s.Leader)
	}
	for _, m := range s.Members {
		out.Members = append(out.Members, adminapi.ControlMember{
			Replica: adminapi.FormatDigest(m.ID), Addr: m.Addr, Voter: m.Voter, Leader: m.ID == s.Leader, Match: m.Match, Live: m.Live,
		})
	}
	return out, nil
}

// adminMembers makes a membership change. It writes an audit entry for the request
// before the change and one for the outcome after it, so that every change has an
// entry.
func (h *Host) adminMembers(c *adminCall) (any, error) {
	var req adminapi.MemberRequest
	if err := c.decode(&req); err != nil {
		return nil, err
	}
	id, err := strconv.ParseUint(req.Replica, 16, 64)
	if err != nil {
		return nil, badRequest(fmt.Errorf("replica id %q: want 16 hexadecimal digits", req.Replica))
	}
	change := wire.MemberChange{Action: wire.MemberAction(req.Action), ID: id, Addr: req.Addr}
	note := control.Note{By: c.operator, Action: "control " + req.Action, Detail: fmt.Sprintf("replica %s %s: requested", req.Replica, req.Addr), Accepted: true}
	if err := h.proposeNote(c.ctx, note); err != nil {
		return nil, fmt.Errorf("the request can't be audited: %w", err)
	}
	err = h.changeMembersWithTimeout(c.ctx, change)
	note.Detail = fmt.Sprintf("replica %s %s: done", req.Replica, req.Addr)
	if err != nil {
		note.Detail = fmt.Sprintf("replica %s %s: not done", req.Replica, req.Addr)
		note.Accepted, note.Reason = false, err.Error()
	}
	if noteErr := h.proposeNote(c.ctx, note); noteErr != nil {
		h.log.Warn("audit entry for membership change not written", "action", note.Action, "err", noteErr)
	}
	if err != nil {
		return nil, err
	}
	return h.adminControl(c)
}

func (h *Host) changeMembersWithTimeout(ctx context.Context, c wire.MemberChange) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	return h.changeMembers(ctx, c)
}

func (h *Host) proposeNote(ctx context.Context, n control.Note) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	_, err := h.propose(ctx, &control.Command{Note: &n})
	return err
}

// adminBackup returns the full replicated state. If the query has stale, it returns
// the local state of this host without a quorum, and therefore without an audit
// entry. This is the only possible backup after the loss of a majority.
func (h *Host) adminBackup(c *adminCall) (any, error) {
	if c.QueryArgs().Has("stale") {
		h.log.Warn("stale backup taken", "by", c.operator.Name, "from", c.operator.Addr)
		return h.machine.Snapshot()
	}
	if !h.waitCurrent(c.ctx) {
		return nil, errNotFresh
	}
	note := control.Note{By: c.operator, Action: "control backup", Detail: "whole state", Accepted: true}
	if err := h.proposeNote(c.ctx, note); err != nil {
		return nil, fmt.Errorf("the backup can't be audited: %w", err)
	}
	return h.machine.Snapshot()
}

// adminRestore restores a backup into a cluster that has no configuration yet.
func (h *Host) adminRestore(c *adminCall) (any, error) {
	parts, err := control.RestoreParts(c.PostBody(), c.operator)
	if err != nil {
		return nil, badRequest(err)
	}
	var last *control.Reply
	for _, p := range parts {
		ctx, cancel := context.WithTimeout(c.ctx, changeTimeout)
		last, err = h.propose(ctx, &control.Command{Restore: p})
		cancel()
		if err != nil {
			return nil, err
		}
		if last.Restore.Refusal != "" {
			return nil, &refusedError{last.Restore.Refusal}
		}
	}
	return &adminapi.RestoreReply{Index: last.Restore.Index}, nil
}
