package controld

import (
	"context"
	"sync"
	"time"

	"github.com/fireflytray/fireflytray/directory"
	"github.com/fireflytray/fireflytray/transport"
	"github.com/fireflytray/fireflytray/wire"
)

// pushRetryInterval is how long to wait for the peer's stamp to reflect a push
// before the push is sent again.
const pushRetryInterval = time.Second

// sessionSendQueue bounds the bytes that wait on each accepted session. A host has a
// session with every process, and those of a failure domain that is cut off are kept
// until QUIC's idle time-out while configurations and directory differences go to
// them. It holds two full lists of the largest planned fleet; a peer that is further
// behind is closed and starts anew.
const sessionSendQueue = 512 << 10

// session is one accepted connection and the state of configuration pushes on it.
type session struct {
	id   directory.ConnID
	conn *transport.Conn

	mu sync.Mutex
	// peerIndex is the highest configuration index in a stamp of the peer.
	peerIndex uint64
	// pushedIndex is the index of the last push, which was sent at pushedAt.
	// pushedUnconfirmed is set if it was offered to a process without a configuration
	// and not confirmed to be the newest.
	pushedIndex       uint64
	pushedAt          time.Time
	pushedUnconfirmed bool
	// announced is set after the first announcement of the peer.
	announced bool
}

// send queues a message. If that fails, for example because the peer does not
// read, it closes the connection.
func (s *session) send(m wire.Message) {
	if err := s.conn.Send(m); err != nil {
		s.conn.Close("can't send")
	}
}

// pushDue reports whether a push of index must be sent to the peer, and returns the
// index that the peer already has. It records the push as sent.
func (s *session) pushDue(index uint64, now time.Time) (peerIndex uint64, due bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peerIndex >= index || s.pushedIndex == index && now.Sub(s.pushedAt) < pushRetryInterval {
		return 0, false
	}
	s.pushedIndex, s.pushedAt = index, now
	return s.peerIndex, true
}

// firstPushDue is like pushDue for a process without a configuration. A confirmed push
// is due at once after one that was not.
func (s *session) firstPushDue(index uint64, confirmed bool, now time.Time) (peerIndex uint64, due bool) {
	s.mu.Lock()
	if confirmed && s.pushedUnconfirmed {
		s.pushedIndex = 0
	}
	s.mu.Unlock()
	if peerIndex, due = s.pushDue(index, now); due {
		s.mu.Lock()
		s.pushedUnconfirmed = !confirmed
		s.mu.Unlock()
	}
	return peerIndex, due
}

// hasConfig reports whether the peer is known to have a configuration.
func (s *session) hasConfig() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peerIndex > 0
}

// firstAnnouncement reports whether it is called for the first time.
func (s *session) firstAnnouncement() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := !s.announced
	s.announced = true
	return first
}

// observeStamp records the index of a stamp. A lower index than before is ignored.
func (s *session) observeStamp(index uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerIndex = max(s.peerIndex, index)
}

// sessions is the set of accepted connections.
type sessions struct {
	mu   sync.Mutex
	last directory.ConnID
	byID map[directory.ConnID]*session
}

func newSessions() *sessions { return &sessions{byID: map[directory.ConnID]*session{}} }

func (t *sessions) add(conn *transport.Conn) *session {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last++
	s := &session{id: t.last, conn: conn}
	t.byID[s.id] = s
	return s
}

func (t *sessions) remove(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byID, s.id)
}

func (t *sessions) get(id directory.ConnID) *session {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byID[id]
}

func (t *sessions) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byID)
}

func (t *sessions) all() []*session {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*session, 0, len(t.byID))
	for _, s := range t.byID {
		out = append(out, s)
	}
	return out
}

// accept accepts connections until ctx ends and serves each in its own goroutine.
func (h *Host) accept(ctx context.Context) {
	for {
		conn, err := h.listener.Accept(ctx)
		if err != nil {
			return
		}
		s := h.sessions.add(conn)
		h.group.Go(func() error {
			h.serve(ctx, s)
			return nil
		})
	}
}

func (h *Host) serve(ctx context.Context, s *session) {
	defer func() {
		h.sessions.remove(s)
		h.loop.Post(directory.Event{ConnClosed: &directory.ConnClosed{Conn: s.id}})
		s.conn.Close("session ended")
	}()
	for {
		m, stamp, err := s.conn.Recv(ctx)
		if err != nil {
			h.log.Debug("session ended", "peer", s.conn.Peer(), "err", err)
			return
		}
		s.observeStamp(stamp.Index)
		if !h.handle(ctx, s, m, stamp) {
			h.log.Warn("message not allowed for peer, closing session", "peer", s.conn.Peer(), "kind", m.Kind())
			return
		}
	}
}

// handle processes one message. It returns false if the role or the certificate of
// the peer does not permit the message.
func (h *Host) handle(ctx context.Context, s *session, m wire.Message, stamp wire.Stamp) bool {
	role := s.conn.Peer().Role
	switch m := m.(type) {
	case *wire.Announce:
		if !matchesCertificate(s.conn.Peer(), m.From) {
			return false
		}
		h.loop.Post(directory.Event{Announce: &directory.ReceivedAnnouncement{Conn: s.id, Msg: m, Index: stamp.Index}})
		if role != wire.RoleControl {
			h.push(ctx, s)
		} else {
			if s.firstAnnouncement() {
				h.links.appeared(m.From.Addr)
			}
			h.memberManager.recordAnnouncement(m)
		}
	case *wire.ConfigFetch:
		if !s.hasConfig() {
			h.pushFirst(ctx, s)
			return true
		}
		s.send(h.machine.Push(m.Have))
	case *wire.Claim:
		if role != wire.RoleEntry {
			return false
		}
		h.startRequest(func() { s.send(h.claim(ctx, m)) }, func() { s.send(unavailable(m.Request)) })
	case *wire.Resolve:
		if role != wire.RoleEntry {
			return false
		}
		h.startRequest(func() { s.send(h.resolve(ctx, m)) }, func() { s.send(unavailable(m.Request)) })
	case *wire.Propose:
		if role != wire.RoleControl {
			return false
		}
		h.startRequest(func() { s.send(h.proposeForPeer(ctx, m)) }, func() { s.send(proposalRejected(m.Request, "too many requests")) })
	case *wire.Raft:
		if role != wire.RoleControl {
			return false
		}
		h.replica.Receive(m.Body)
	default:
		return false
	}
	return true
}

// matchesCertificate reports whether the announced role, id and failure domain are
// those of the certificate.
func matchesCertificate(cert transport.Peer, p wire.Peer) bool {
	return cert.Role == p.Role && cert.ID == p.ID && cert.Domain == p.Domain
}

// push sends the configuration in force to a peer that has an older one or none.
func (h *Host) push(ctx context.Context, s *session) {
	if !s.hasConfig() {
		h.pushFirst(ctx, s)
		return
	}
	if peerIndex, due := s.pushDue(h.machine.Stamp().Index, time.Now()); due {
		s.send(h.machine.Push(peerIndex))
	}
}

// pushChanges pushes each new configuration to all connected entries and agents
// and announces it to the other control hosts.
func (h *Host) pushChanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.configChanged:
		}
		version, _ := h.machine.Current()
		h.log.Info("configuration in force", "index", version.Index, "change", version.Action, "op", version.Op, "fresh", h.fresh.Load())
		for _, s := range h.sessions.all() {
			if s.conn.Peer().Role != wire.RoleControl {
				h.push(ctx, s)
			}
		}
		h.links.announceNow()
	}
}
