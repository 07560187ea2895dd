package agentd

import (
	"context"
	"fmt"
	"sync"

	"github.com/charmbracelet/log"

	"github.com/fireflytray/fireflytray/agent"
	"github.com/fireflytray/fireflytray/transport"
	"github.com/fireflytray/fireflytray/wire"
)

// sessions turns entries' connections into events.
type sessions struct {
	post func(agent.Event) bool
	log  *log.Logger

	mu     sync.Mutex
	lastID agent.SessionID
	conns  map[agent.SessionID]*transport.Conn
}

func newSessions(post func(agent.Event) bool, l *log.Logger) *sessions {
	return &sessions{post: post, log: l, conns: make(map[agent.SessionID]*transport.Conn)}
}

// accept takes connections until ctx ends.
func (s *sessions) accept(ctx context.Context, ln *transport.Listener) error {
	for {
		c, err := ln.Accept(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("agent: %w", err)
		}
		go s.serve(ctx, c)
	}
}

// serve reads one connection to its end.
func (s *sessions) serve(ctx context.Context, c *transport.Conn) {
	id := s.add(c)
	err := s.read(ctx, id, c)
	s.remove(id)
	c.Close("session ended")
	s.post(agent.SessionClosed{Session: id})
	s.log.Info("entry session ended", "entry", c.Peer().String(), "err", err)
}

func (s *sessions) read(ctx context.Context, id agent.SessionID, c *transport.Conn) error {
	h, err := receiveHello(ctx, c)
	if err != nil {
		return err
	}
	s.log.Info("entry session opened", "entry", c.Peer().String(), "session", h.Session, "pending", len(h.Pending))
	s.post(agent.SessionOpened{Session: id, Hello: h})
	for {
		m, _, err := c.Recv(ctx)
		if err != nil {
			return fmt.Errorf("agent: read update: %w", err)
		}
		u, ok := m.(*wire.Update)
		if !ok {
			return fmt.Errorf("agent: entry %s sent %T, want an update", c.Peer(), m)
		}
		s.post(agent.UpdateReceived{Session: id, Update: u})
	}
}

// receiveHello reads the first message and holds it against the certificate.
func receiveHello(ctx context.Context, c *transport.Conn) (*wire.Hello, error) {
	m, _, err := c.Recv(ctx)
	if err != nil {
		return nil, fmt.Errorf("agent: read hello: %w", err)
	}
	h, ok := m.(*wire.Hello)
	if !ok {
		return nil, fmt.Errorf("agent: entry %s sent %T, want a hello", c.Peer(), m)
	}
	if h.From.Role != wire.RoleEntry || h.From.ID != c.Peer().ID {
		return nil, fmt.Errorf("agent: entry %s says that it is %s %s", c.Peer(), h.From.Role, h.From.ID)
	}
	return h, nil
}

func (s *sessions) add(c *transport.Conn) agent.SessionID {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	s.conns[s.lastID] = c
	return s.lastID
}

func (s *sessions) remove(id agent.SessionID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, id)
}

func (s *sessions) conn(id agent.SessionID) *transport.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns[id]
}

// send queues a message; a connection that can't take it is ended, and the
// entry dials again.
func (s *sessions) send(id agent.SessionID, m wire.Message) {
	c := s.conn(id)
	if c == nil {
		return
	}
	if err := c.Send(m); err != nil {
		s.log.Warn("message not sent", "entry", c.Peer().String(), "err", err)
		c.Close("send failed")
	}
}

func (s *sessions) end(id agent.SessionID, why string) {
	if c := s.conn(id); c != nil {
		c.Close(why)
	}
}
