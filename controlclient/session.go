package controlclient

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fireflytray/fireflytray/transport"
	"github.com/fireflytray/fireflytray/wire"
)

const (
	// dialTimeout bounds one connection attempt.
	dialTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the mean delay between connection attempts;
	// jitter varies each delay from half to one and a half times the mean.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// session maintains the connection to one control host and reconnects when it
// ends.
type session struct {
	client *Client
	addr   string
	// stop ends run; nil until the session is started.
	stop context.CancelFunc

	mu   sync.Mutex
	conn *transport.Conn
	// connEnded is closed once conn has ended and all of its messages are handled.
	connEnded chan struct{}
	// leaveAnswered is closed when the leaving announcement is answered. leaveSeq
	// is its sequence number; zero until it is sent.
	leaveAnswered chan struct{}
	leaveSeq      uint64
	// fresh and complete tell whether the control host has a fresh quorum and has sent
	// a complete list on conn.
	fresh, complete bool

	// lastError is the error that was last logged as a warning; only the goroutine
	// of run uses it.
	lastError string
}

func newSession(c *Client, addr string) *session {
	return &session{client: c, addr: addr, leaveAnswered: make(chan struct{})}
}

// run dials and serves connections, with a backoff between attempts, until ctx
// ends.
func (s *session) run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		started := time.Now()
		err := s.serve(ctx)
		if ctx.Err() != nil {
			return
		}
		if time.Since(started) > maxBackoff {
			backoff = minBackoff
		}
		s.logError(err)
		select {
		case <-ctx.Done():
		case <-time.After(backoff/2 + rand.N(backoff)):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// logError logs why there is no session. It logs repetitions of the same error at
// debug level.
func (s *session) logError(err error) {
	text := err.Error()
	if text == s.lastError {
		s.client.log.Debug("no session", "control", s.addr, "err", err)
		return
	}
	s.lastError = text
	s.client.log.Warn("no session", "control", s.addr, "err", err)
}

// serve dials the control host and handles one connection until it ends.
func (s *session) serve(ctx context.Context) error {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, err := transport.Dial(dialCtx, s.addr, wire.RoleControl, s.client.opts.Transport)
	cancel()
	if err != nil {
		return fmt.Errorf("controlclient: %w", err)
	}
	s.client.log.Info("session opened", "control", conn.Peer())
	s.lastError = ""
	ended := make(chan struct{})
	defer close(ended)
	s.setConn(conn, ended)
	s.client.sessionOpened(s)
	defer s.client.sessionClosed(s)
	defer s.setConn(nil, nil)
	defer conn.Close("session ended")
	if !s.client.leaving.Load() {
		s.announce(s.client.announcement())
	}
	for {
		m, stamp, err := conn.Recv(ctx)
		if err != nil {
			return fmt.Errorf("controlclient: session with %s: %w", s.addr, err)
		}
		s.handle(conn, m, stamp)
	}
}

func (s *session) setConn(conn *transport.Conn, ended chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn, s.connEnded = conn, ended
	s.fresh, s.complete = false, false
}

// isConnected reports whether there is a connection.
func (s *session) isConnected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn != nil
}

// informs reports whether the control host is connected, has a fresh quorum, and has
// sent a complete list.
func (s *session) informs() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn != nil && s.fresh && s.complete
}

func (s *session) handle(conn *transport.Conn, m wire.Message, stamp wire.Stamp) {
	switch m := m.(type) {
	case *wire.Announced:
		conn.SetAwaitingReply(false)
		s.announceAnswered(m.Seq)
		s.client.quorumReported(s, m.Fresh)
	case *wire.Directory:
		s.client.merge(s.addr, m)
		s.client.listReceived(s, m.Complete)
	case *wire.ConfigPush:
		s.push(m)
		return
	case *wire.ClaimReply:
		s.client.calls.deliver(m)
	}
	s.client.config.observe(stamp.Index)
	if have := s.client.Stamp().Index; have < stamp.Index {
		s.send(&wire.ConfigFetch{Have: have})
	}
}

// push adopts a pushed configuration. If the push is a difference that can't be
// applied, it fetches the full configuration.
func (s *session) push(m *wire.ConfigPush) {
	if err := s.client.config.push(offer{m, s.addr}); err != nil {
		s.client.log.Warn("pushed configuration rejected", "control", s.addr, "err", err)
		if m.Base != 0 {
			s.send(&wire.ConfigFetch{})
		}
	}
}

// send queues a message. It returns false if there is no connection or the
// message can't be queued; in the latter case it closes the connection.
func (s *session) send(m wire.Message) bool {
	_, sent := s.sendCall(m)
	return sent
}

// sendCall is like send. The channel ended is closed once the connection has ended
// and no answer can follow.
func (s *session) sendCall(m wire.Message) (ended <-chan struct{}, sent bool) {
	s.mu.Lock()
	conn, ended := s.conn, s.connEnded
	s.mu.Unlock()
	if conn == nil {
		return nil, false
	}
	if err := conn.Send(m); err != nil {
		conn.Close("can't send")
		return nil, false
	}
	return ended, true
}

// announce sends an announcement and marks the connection to expect an answer, so
// that it is probed until one arrives.
func (s *session) announce(m *wire.Announce) {
	if !s.send(m) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		s.conn.SetAwaitingReply(true)
	}
}

// leave sends the leaving announcement m and waits for its answer.
func (s *session) leave(ctx context.Context, m *wire.Announce) {
	s.mu.Lock()
	s.leaveSeq = m.Seq
	conn := s.conn
	s.mu.Unlock()
	if conn == nil {
		return
	}
	s.announce(m)
	select {
	case <-s.leaveAnswered:
	case <-conn.Done():
	case <-ctx.Done():
	}
}

// announceAnswered handles the answer to the announcement seq. It closes
// leaveAnswered if that is the leaving announcement.
func (s *session) announceAnswered(seq uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaveSeq == 0 || seq < s.leaveSeq {
		return
	}
	select {
	case <-s.leaveAnswered:
	default:
		close(s.leaveAnswered)
	}
}
