package entryd

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"

	"github.com/charmbracelet/log"

	"github.com/fireflytray/fireflytray/entry"
	"github.com/fireflytray/fireflytray/transport"
	"github.com/fireflytray/fireflytray/wire"
)

// agentSession is an open session with an agent.
type agentSession struct {
	id   uint64
	conn *transport.Conn
}

var (
	errUnexpectedMessage = errors.New("unexpected message")
	// errHelloUnsent means that a dial failed before its hello was sent.
	errHelloUnsent = errors.New("hello not sent")
	// errOtherAgent means that the address has passed to another agent.
	errOtherAgent = errors.New("address belongs to another agent")
)

// dial opens a session and posts its events until it ends.
func (d *Daemon) dial(eff entry.Dial) {
	agent, session := eff.Peer.ID, eff.Hello.Session
	conn, welcome, err := d.openSession(eff)
	if err != nil {
		d.logDialFailure(agent, err)
		d.loop.Post(entry.Disconnected{Agent: agent, Session: session, HelloUnsent: errors.Is(err, errHelloUnsent)})
		return
	}
	d.addSession(agent, &agentSession{session, conn})
	d.connected(eff, welcome)
	err = d.receive(agent, session, conn)
	conn.Close("session ended")
	d.log.Info("session ended", "agent", agent, "err", err)
	d.loop.Post(entry.Disconnected{Agent: agent, Session: session})
}

func (d *Daemon) logDialFailure(agent string, err error) {
	level := log.DebugLevel
	if errors.Is(err, errOtherAgent) {
		level = log.WarnLevel
	}
	d.log.Log(level, "session not opened", "agent", agent, "err", err)
}

// connected posts that a session is open. What it makes servable is released after
// that.
func (d *Daemon) connected(eff entry.Dial, w *wire.Welcome) {
	d.loop.Post(entry.Connected{Agent: eff.Peer.ID, Session: eff.Hello.Session, Welcome: w})
	service := eff.Service
	if w.Worker != nil && w.Worker.Service != "" {
		service = w.Worker.Service
	}
	d.holdReached(service)
}

// openSession dials an agent and exchanges hello and welcome.
func (d *Daemon) openSession(eff entry.Dial) (*transport.Conn, *wire.Welcome, error) {
	ctx, cancel := context.WithTimeout(d.runCtx, eff.Within)
	defer cancel()
	conn, err := transport.Dial(ctx, eff.Peer.Addr, wire.RoleAgent, d.opts.Transport)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", errHelloUnsent, err)
	}
	welcome, err := handshake(ctx, conn, eff)
	if err != nil {
		conn.Close("no welcome")
		return nil, nil, fmt.Errorf("handshake with agent %s at %s: %w", eff.Peer.ID, eff.Peer.Addr, err)
	}
	return conn, welcome, nil
}

func handshake(ctx context.Context, conn *transport.Conn, eff entry.Dial) (*wire.Welcome, error) {
	if id := conn.Peer().ID; id != eff.Peer.ID {
		return nil, fmt.Errorf("%w: %w: certificate names agent %s", errHelloUnsent, errOtherAgent, id)
	}
	if err := conn.Send(eff.Hello); err != nil {
		return nil, err
	}
	m, _, err := conn.Recv(ctx)
	if err != nil {
		return nil, err
	}
	w, ok := m.(*wire.Welcome)
	if !ok {
		return nil, fmt.Errorf("%w %T, want a welcome", errUnexpectedMessage, m)
	}
	return w, nil
}

// receive posts the reports of a session until it ends.
func (d *Daemon) receive(agent string, session uint64, conn *transport.Conn) error {
	for {
		m, _, err := conn.Recv(d.runCtx)
		if err != nil {
			return err
		}
		r, ok := m.(*wire.Report)
		if !ok {
			return fmt.Errorf("%w %T, want a report", errUnexpectedMessage, m)
		}
		d.loop.Post(entry.Received{Agent: agent, Session: session, Report: r})
	}
}

// addSession registers a session and closes the older of two sessions with the
// same agent.
func (d *Daemon) addSession(agent string, s *agentSession) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.sessions[agent]
	if old != nil && old.id > s.id {
		s.conn.Close("superseded session")
		return
	}
	if old != nil {
		old.conn.Close("newer session")
	}
	d.sessions[agent] = s
}

// session returns the session of an agent with the given id, or nil if that
// session is no longer the current one.
func (d *Daemon) session(agent string, session uint64) *agentSession {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.sessions[agent]; s != nil && s.id == session {
		return s
	}
	return nil
}

// send sends an update on its session. If that fails, the session is closed, and
// the outcomes of its tasks are requested on the next session.
func (d *Daemon) send(eff entry.Send) {
	s := d.session(eff.Agent, eff.Session)
	if s == nil {
		return
	}
	if err := s.conn.Send(eff.Update); err != nil {
		d.log.Warn("update not sent", "agent", eff.Agent, "err", err)
		s.conn.Close("update not sent")
	}
}

func (d *Daemon) expect(eff entry.Expect) {
	if s := d.session(eff.Agent, eff.Session); s != nil {
		s.conn.SetAwaitingReply(eff.On)
	}
}

func (d *Daemon) hangup(eff entry.Hangup) {
	if s := d.session(eff.Agent, eff.Session); s != nil {
		s.conn.Close(eff.Why)
	}
}

// closeSessions ends every session once its agent has received all messages sent.
func (d *Daemon) closeSessions(ctx context.Context) {
	d.mu.Lock()
	sessions := slices.Collect(maps.Values(d.sessions))
	d.mu.Unlock()
	var wg sync.WaitGroup
	for _, s := range sessions {
		wg.Go(func() {
			if err := s.conn.Shutdown(ctx); err != nil {
				d.log.Debug("session not shut down", "agent", s.conn.Peer(), "err", err)
			}
		})
	}
	wg.Wait()
}
