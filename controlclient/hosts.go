package controlclient

import (
	"context"
	"slices"
	"time"

	"github.com/fireflytray/fireflytray/controlhosts"
	"github.com/fireflytray/fireflytray/directory"
	"github.com/fireflytray/fireflytray/wire"
)

// maintainInterval is how often the client looks for control hosts to forget and for
// members that nobody confirms.
const maintainInterval = time.Second

// maintainHosts forgets control hosts and members as time passes, and takes up changes
// of the settings, until ctx ends.
func (c *Client) maintainHosts(ctx context.Context) {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case addrs := <-c.opts.ControlsChanged:
			c.log.Info("control hosts of the settings changed", "controls", addrs)
			c.stepHosts(controlhosts.Event{Configured: &controlhosts.Configured{Addrs: addrs}})
		case <-ticker.C:
			c.removeLostMembers()
			c.stepHosts(controlhosts.Event{})
		}
	}
}

// stepHosts passes an event to the set of control hosts, and starts and ends sessions
// as it says.
func (c *Client) stepHosts(ev controlhosts.Event) {
	c.sessionsMu.Lock()
	defer c.sessionsMu.Unlock()
	c.stepHostsLocked(ev)
}

func (c *Client) stepHostsLocked(ev controlhosts.Event) {
	if c.leaving.Load() {
		return
	}
	connect, drop := c.hosts.Step(c.clock.Now(), ev)
	for _, addr := range drop {
		c.dropSession(addr)
	}
	for _, addr := range connect {
		c.log.Info("control host taken up", "control", addr, "sessions", len(c.sessions)+1)
		s := newSession(c, addr)
		c.sessions = append(c.sessions, s)
		if c.startSession != nil {
			c.startSession(s)
		}
	}
}

// dropSession ends the session to a control host. The caller must hold sessionsMu.
func (c *Client) dropSession(addr string) {
	i := slices.IndexFunc(c.sessions, func(s *session) bool { return s.addr == addr })
	if i < 0 {
		return
	}
	c.log.Info("control host given up", "control", addr, "connected", c.sessions[i].isConnected(), "sessions", len(c.sessions)-1)
	if stop := c.sessions[i].stop; stop != nil {
		stop()
	}
	c.sessions = slices.Delete(c.sessions, i, i+1)
}

// startSessions starts the sessions to the configured control hosts. stepHosts starts
// those to control hosts that are learnt later.
func (c *Client) startSessions(startSession func(*session)) {
	c.sessionsMu.Lock()
	defer c.sessionsMu.Unlock()
	c.startSession = startSession
	for _, s := range c.sessions {
		startSession(s)
	}
}

// allSessions returns a copy of the session list.
func (c *Client) allSessions() []*session {
	c.sessionsMu.Lock()
	defer c.sessionsMu.Unlock()
	return slices.Clone(c.sessions)
}

// stepSession passes an event about s to the set of control hosts, unless s has been
// dropped, and then whether any connected control host has a fresh quorum and a complete
// list.
func (c *Client) stepSession(s *session, ev controlhosts.Event) {
	c.sessionsMu.Lock()
	defer c.sessionsMu.Unlock()
	if slices.Contains(c.sessions, s) {
		c.stepHostsLocked(ev)
	}
	informed := slices.ContainsFunc(c.sessions, (*session).informs)
	c.stepHostsLocked(controlhosts.Event{Informed: &controlhosts.Informed{Yes: informed}})
}

// sessionOpened records that s has a connection.
func (c *Client) sessionOpened(s *session) {
	c.mu.Lock()
	c.lost.Returned(directory.Source(s.addr))
	c.mu.Unlock()
	c.stepSession(s, controlhosts.Event{Opened: &controlhosts.Opened{Addr: s.addr}})
}

// sessionClosed records that the connection of s has ended.
func (c *Client) sessionClosed(s *session) {
	c.mu.Lock()
	c.lost.Lost(c.clock.Now(), directory.Source(s.addr))
	c.mu.Unlock()
	c.stepSession(s, controlhosts.Event{Closed: &controlhosts.Closed{Addr: s.addr}})
}

// quorumReported records whether the control host of s has a fresh quorum.
func (c *Client) quorumReported(s *session, fresh bool) {
	s.mu.Lock()
	changed := s.fresh != fresh
	s.fresh = fresh
	s.mu.Unlock()
	if changed {
		c.stepSession(s, controlhosts.Event{Quorum: &controlhosts.Quorum{Addr: s.addr, Fresh: fresh}})
	}
}

// listReceived records whether a list of the control host of s was complete.
func (c *Client) listReceived(s *session, complete bool) {
	s.mu.Lock()
	changed := complete && !s.complete
	s.complete = s.complete || complete
	s.mu.Unlock()
	if changed {
		c.stepSession(s, controlhosts.Event{})
	}
}

// merge applies a Directory message of one control host to the merged member
// list and passes the changes to OnDirectory.
func (c *Client) merge(addr string, msg *wire.Directory) {
	ahead := false
	for _, m := range msg.Upserts {
		ahead = c.config.observe(m.ConfigIndex) || ahead
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Merge(c.clock.Now(), directory.Source(addr), msg)
	c.table.PurgeTombstones(c.clock.Now())
	completed := msg.Complete && !c.complete
	c.complete = c.complete || msg.Complete
	c.publishMembers(completed)
	if ahead {
		go c.fetch()
	}
}

// removeLostMembers removes the members that only control hosts without a session have
// reported, once their grace is over and another one has listed all members for as
// long. A process that is cut off from the control hosts keeps what it knows.
func (c *Client) removeLostMembers() {
	now := c.clock.Now()
	c.sessionsMu.Lock()
	confirmed := c.hosts.InformedFor(now, directory.LostSourceGrace)
	c.sessionsMu.Unlock()
	if !confirmed {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost.Expire(now, c.table)
	c.publishMembers(false)
}

// publishMembers passes the changes of the member list to OnDirectory and to the set of
// control hosts. The caller must hold mu.
func (c *Client) publishMembers(completed bool) {
	diff := c.table.TakeDifference()
	out := diff.Message(false)
	out.Complete = c.complete
	if completed || len(out.Upserts)+len(out.Removed) > 0 {
		c.opts.OnDirectory(*out)
	}
	if concernsControlHosts(out) {
		var addrs []string
		for _, m := range c.table.MembersWithRole(wire.RoleControl) {
			addrs = append(addrs, m.Peer.Addr)
		}
		c.stepHosts(controlhosts.Event{Listed: &controlhosts.Listed{Addrs: addrs}})
	}
}

// concernsControlHosts reports whether a change adds, changes or removes a control host.
func concernsControlHosts(d *wire.Directory) bool {
	return slices.ContainsFunc(d.Upserts, func(m wire.Member) bool { return m.Peer.Role == wire.RoleControl }) ||
		slices.ContainsFunc(d.Removed, func(p wire.Peer) bool { return p.Role == wire.RoleControl })
}
