// Package controld is the daemon of a control host. It drives the directory
// reducer and the replicated state machine: a QUIC listener for entries, agents
// and other control hosts, links to the other control hosts, pushes of the
// configuration, and the operators' HTTPS interface.
package controld

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"

	"github.com/fireflytray/fireflytray/control"
	"github.com/fireflytray/fireflytray/directory"
	"github.com/fireflytray/fireflytray/keys"
	"github.com/fireflytray/fireflytray/loop"
	"github.com/fireflytray/fireflytray/membership"
	"github.com/fireflytray/fireflytray/transport"
	"github.com/fireflytray/fireflytray/wire"
)

const (
	// statusInterval is how often the replicated log is asked for its state.
	statusInterval = 100 * time.Millisecond
	// staleStatusInterval is the same while there is no fresh quorum: entries that
	// have restarted wait for it.
	staleStatusInterval = 25 * time.Millisecond
	// catchUpTimeout bounds one attempt of a host that was cut off to have all
	// that was accepted meanwhile.
	catchUpTimeout = 500 * time.Millisecond
	// peerLease is how long an announcement to another control host holds.
	peerLease = 3 * time.Second
	// renewalsPerLease is how many announcements fall into one lease.
	renewalsPerLease = 3
)

// Hooks are what a log needs of its control host.
type Hooks struct {
	Machine *control.Machine
	// Send hands a message to the control host at a peer address. It never
	// blocks; messages may be lost.
	Send func(addr string, body []byte)
	Log  *log.Logger
}

// Options configures a control host. Self and Identity are required.
type Options struct {
	Self     wire.Peer
	Identity *keys.Identity
	// Listen is the UDP host:port for peers; empty takes Self.Addr.
	Listen string
	// Admin is the HTTPS host:port for operators; empty for none. AdminListener
	// is used instead if not nil.
	Admin         string
	AdminListener net.Listener
	// OpenLog opens the replicated log; nil keeps it in memory.
	OpenLog func(Hooks) (Log, error)
	// Peers lists the peer addresses of other control hosts to begin with; the
	// log's members are added to them.
	Peers []string
	// Membership lets the leader add, promote and remove control hosts by itself;
	// nil leaves that to operators.
	Membership *membership.Config
	Transport  transport.Options
	// Serve lists further interfaces; they run until their context ends.
	Serve []func(context.Context, *Host) error
	Log   *log.Logger
}

// Host is a running control host.
type Host struct {
	opts          Options
	log           *log.Logger
	machine       *control.Machine
	replica       Log
	loop          *loop.Loop[directory.Event, directory.Effect]
	sessions      *sessions
	links         *links
	fresh         atomic.Bool
	configChanged chan struct{}
	listener      *transport.Listener
	group         *errgroup.Group
	requestSlots  chan struct{}
	seq           atomic.Uint64
	clock         func() time.Time
	metrics       *hostMetrics
	manager       *memberManager
}

// Run serves until ctx ends.
func Run(ctx context.Context, o Options) error {
	h, err := New(o)
	if err != nil {
		return err
	}
	return h.Run(ctx)
}

// New opens the log and the listener of a control host; Run serves them.
func New(o Options) (*Host, error) {
	if o.Log == nil {
		o.Log = log.Default()
	}
	if o.Listen == "" {
		o.Listen = o.Self.Addr
	}
	h := &Host{
		opts: o, log: o.Log.WithPrefix("controld"), sessions: newSessions(),
		configChanged: make(chan struct{}, 1), requestSlots: make(chan struct{}, maxRequests), clock: time.Now,
		metrics: newHostMetrics(o.Transport.Scope),
	}
	h.machine = control.NewMachine(func(uint64) { signal(h.configChanged) })
	h.loop = loop.New[directory.Event, directory.Effect](directory.NewReducer(0), directory.Event{}, h.effect)
	if err := h.open(); err != nil {
		return nil, err
	}
	return h, nil
}

// open starts listening and opens the log.
func (h *Host) open() error {
	h.opts.Transport.Identity = h.opts.Identity
	h.opts.Transport.Stamp = h.machine.Stamp
	t := h.opts.Transport
	t.Accept = []wire.Role{wire.RoleEntry, wire.RoleAgent, wire.RoleControl}
	listener, err := transport.Listen(h.opts.Listen, t)
	if err != nil {
		return fmt.Errorf("controld: %w", err)
	}
	h.listener = listener
	if h.opts.Self.Addr == "" || h.opts.Listen != h.opts.Self.Addr {
		h.opts.Self.Addr = listener.Addr()
	}
	h.links = newLinks(h)
	h.manager = newMemberManager(h)
	open := h.opts.OpenLog
	if open == nil {
		open = func(hooks Hooks) (Log, error) { return NewMemoryLog(hooks.Machine, h.opts.Self.Addr), nil }
	}
	h.replica, err = open(Hooks{Machine: h.machine, Send: h.links.sendRaft, Log: h.opts.Log})
	if err != nil {
		_ = listener.Close()
		return fmt.Errorf("controld: open log: %w", err)
	}
	return nil
}

// Addr returns the peer address.
func (h *Host) Addr() string { return h.listener.Addr() }

// Run serves until ctx ends.
func (h *Host) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	h.group = g
	g.Go(func() error { h.loop.Run(ctx); return nil })
	g.Go(func() error { h.accept(ctx); return nil })
	g.Go(func() error { h.pushChanges(ctx); return nil })
	g.Go(func() error { h.pollLogStatus(ctx); return nil })
	g.Go(func() error { return h.serveAdmin(ctx) })
	for _, serve := range h.opts.Serve {
		g.Go(func() error { return serve(ctx, h) })
	}
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-h.replica.Done():
		}
		return errors.Join(h.listener.Close(), h.replica.Err())
	})
	h.log.Info("serving", "peers", h.Addr(), "admin", h.opts.Admin)
	err := g.Wait()
	h.replica.Stop()
	if err != nil {
		return fmt.Errorf("controld: %w", err)
	}
	return nil
}

// pollLogStatus follows the state of the replicated log: whether this host has a
// fresh quorum, and which other control hosts there are.
func (h *Host) pollLogStatus(ctx context.Context) {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for {
		status := h.replica.Status()
		h.links.setPeers(ctx, h.peerAddrs(status))
		fresh := status.Fresh && (h.fresh.Load() || h.caughtUp(ctx))
		if h.fresh.Swap(fresh) != fresh {
			h.loop.Post(directory.Event{Quorum: &directory.Quorum{Fresh: fresh}})
			h.log.Info("quorum changed", "fresh", fresh, "leader", status.LeaderAddr, "term", status.Term)
			if fresh {
				h.repushConfig()
			}
		}
		h.metrics.setGauges(h.machine, h.sessions.count(), fresh)
		h.manageMembers(ctx, status)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		ticker.Reset(statusInterval)
		if !fresh {
			ticker.Reset(staleStatusInterval)
		}
	}
}

// caughtUp reports whether all that was accepted before the call is applied
// here. A host that was cut off hears from the leader again before it has what
// it missed.
func (h *Host) caughtUp(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	_, err := h.replica.Barrier(ctx)
	return err == nil
}

// peerAddrs returns the peer addresses of the other control hosts.
func (h *Host) peerAddrs(s LogStatus) []string {
	addrs := append([]string(nil), h.opts.Peers...)
	for _, m := range s.Members {
		addrs = append(addrs, m.Addr)
	}
	addrs = append(addrs, h.manager.addrs()...)
	var out []string
	for _, a := range addrs {
		if a != h.opts.Self.Addr && a != "" {
			out = append(out, a)
		}
	}
	return out
}

// effect carries out one effect of the directory.
func (h *Host) effect(e directory.Effect) {
	if s := h.sessions.get(e.Conn); s != nil {
		s.send(e.Msg)
	}
}

// signal wakes the reader of a channel with room for one.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
