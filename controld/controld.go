// Package controld implements the daemon of a control host. It runs the directory
// reducer and the replicated state machine, listens on QUIC for entries, agents
// and other control hosts, connects to the other control hosts, pushes the
// configuration, and serves the HTTPS admin interface for operators.
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
	// statusInterval is the polling interval for the status of the replicated log.
	statusInterval = 100 * time.Millisecond
	// staleStatusInterval is the polling interval while there is no fresh quorum.
	// It is shorter because restarted entries wait for a fresh quorum.
	staleStatusInterval = 25 * time.Millisecond
	// catchUpTimeout bounds one attempt of a host that had no quorum to catch up
	// with the changes accepted in the meantime.
	catchUpTimeout = 500 * time.Millisecond
	// peerLease is how long an announcement to another control host is valid.
	peerLease = 3 * time.Second
	// renewalsPerLease is the number of announcements sent within one lease.
	renewalsPerLease = 3
)

// LogDependencies are what a replicated log needs from its control host.
type LogDependencies struct {
	Machine *control.Machine
	// Send sends a message to the control host at a peer address. It never
	// blocks, and messages may be lost.
	Send func(addr string, body []byte)
	Log  *log.Logger
}

// Options configures a control host. Self and Identity are required.
type Options struct {
	Self     wire.Peer
	Identity *keys.Identity
	// Listen is the UDP host:port for peers; it defaults to Self.Addr.
	Listen string
	// Admin is the HTTPS host:port of the admin interface; empty disables it.
	// AdminListener, if not nil, is used instead.
	Admin         string
	AdminListener net.Listener
	// OpenLog opens the replicated log; if nil, an in-memory log is used.
	OpenLog func(LogDependencies) (Log, error)
	// Peers lists the peer addresses of control hosts that the settings name.
	Peers []string
	// PeersChanged delivers lists that replace Peers; nil delivers none.
	PeersChanged <-chan []string
	// Membership configures automatic membership changes by the leader, which adds,
	// promotes and removes control hosts; if nil, only operators change them.
	Membership *membership.Config
	Transport  transport.Options
	// LimitsOf is that of control.Machine.SetLimitsOf; nil if documents have no limits.
	LimitsOf func(source []byte) []wire.ConfigPair
	// Serve lists functions that serve additional interfaces until their context
	// ends.
	Serve []func(context.Context, *Host) error
	Log   *log.Logger
}

// Host is a running control host.
type Host struct {
	opts     Options
	log      *log.Logger
	machine  *control.Machine
	replica  Log
	loop     *loop.Loop[directory.Event, directory.Effect]
	sessions *sessions
	links    *links
	// fresh is set if the log reports a fresh quorum and this host has caught up
	// since the quorum became fresh. It says nothing of the changes accepted since
	// then.
	fresh         atomic.Bool
	firstConfigs  *firstConfigs
	configChanged chan struct{}
	listener      *transport.Listener
	group         *errgroup.Group
	requestSlots  chan struct{}
	seq           atomic.Uint64
	clock         func() time.Time
	metrics       *hostMetrics
	changes       changesInProgress
	sizes         *sizeReporter
	// loggedFormat is the state format that the last log line named.
	loggedFormat  uint32
	memberManager *memberManager
}

// Run creates a control host and serves until ctx ends.
func Run(ctx context.Context, o Options) error {
	h, err := New(o)
	if err != nil {
		return err
	}
	return h.Run(ctx)
}

// New creates a control host and opens its log and its listener. Host.Run serves
// them.
func New(o Options) (*Host, error) {
	if o.Log == nil {
		o.Log = log.Default()
	}
	if o.Listen == "" {
		o.Listen = o.Self.Addr
	}
	h := &Host{
		opts: o, log: o.Log.WithPrefix("controld"), sessions: newSessions(), firstConfigs: newFirstConfigs(),
		configChanged: make(chan struct{}, 1), requestSlots: make(chan struct{}, maxRequests), clock: time.Now,
		metrics: newHostMetrics(o.Transport.Scope),
	}
	h.sizes = newSizeReporter(o.Transport.Scope, h.log)
	h.machine = control.NewMachine(func(uint64) { signal(h.configChanged) })
	h.machine.SetLimitsOf(o.LimitsOf)
	h.loop = loop.New[directory.Event, directory.Effect](directory.NewReducer(0), directory.Event{}, h.effect)
	if err := h.open(); err != nil {
		return nil, err
	}
	return h, nil
}

// open starts the peer listener and opens the log.
func (h *Host) open() error {
	h.opts.Transport.Identity = h.opts.Identity
	h.opts.Transport.Stamp = h.machine.Stamp
	t := h.opts.Transport
	t.Accept = []wire.Role{wire.RoleEntry, wire.RoleAgent, wire.RoleControl}
	t.SendQueue = sessionSendQueue
	listener, err := transport.Listen(h.opts.Listen, t)
	if err != nil {
		return fmt.Errorf("controld: %w", err)
	}
	h.listener = listener
	if h.opts.Self.Addr == "" || h.opts.Listen != h.opts.Self.Addr {
		h.opts.Self.Addr = listener.Addr()
	}
	h.links = newLinks(h)
	h.memberManager = newMemberManager(h)
	open := h.opts.OpenLog
	if open == nil {
		open = func(deps LogDependencies) (Log, error) { return NewMemoryLog(deps.Machine, h.opts.Self.Addr), nil }
	}
	h.replica, err = open(LogDependencies{Machine: h.machine, Send: h.links.sendRaft, Log: h.opts.Log})
	if err != nil {
		_ = listener.Close()
		return fmt.Errorf("controld: open log: %w", err)
	}
	return nil
}

// Addr returns the peer address that the host listens on.
func (h *Host) Addr() string { return h.listener.Addr() }

// Run serves until ctx ends. The operators' requests in progress are then answered
// and the leadership is transferred before the host leaves its peers, because neither
// can be done without them.
func (h *Host) Run(ctx context.Context) error {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, inner := errgroup.WithContext(inner)
	h.group = g
	g.Go(func() error {
		defer stop()
		defer h.replica.Stop()
		return h.serveOperators(ctx, inner)
	})
	g.Go(func() error { h.loop.Run(inner); return nil })
	h.loop.Post(directory.Event{Subscribe: &directory.Subscribe{}})
	g.Go(func() error { h.configurePeers(inner); return nil })
	g.Go(func() error { h.accept(inner); return nil })
	g.Go(func() error { h.pushChanges(inner); return nil })
	g.Go(func() error { h.pollLogStatus(inner); return nil })
	g.Go(func() error {
		select {
		case <-inner.Done():
		case <-h.replica.Done():
		}
		return errors.Join(h.listener.Close(), h.replica.Err())
	})
	h.log.Info("serving", "peers", h.Addr(), "admin", h.opts.Admin)
	if err := g.Wait(); err != nil {
		return fmt.Errorf("controld: %w", err)
	}
	return nil
}

// serveOperators serves the admin interface and those of Options.Serve until ctx
// or inner ends or one of them fails, and returns once all have stopped. Requests
// are handled under inner.
func (h *Host) serveOperators(ctx, inner context.Context) error {
	serving, stop := context.WithCancel(inner)
	defer stop()
	defer context.AfterFunc(ctx, stop)()
	servers, failed := errgroup.WithContext(serving)
	servers.Go(func() error { return h.serveAdmin(serving, inner) })
	for _, serve := range h.opts.Serve {
		servers.Go(func() error { return serve(serving, h) })
	}
	<-failed.Done()
	stop()
	return servers.Wait()
}

// pollLogStatus polls the status of the replicated log until ctx ends. It updates
// the links to the other control hosts, the fresh quorum flag, the metrics and
// the membership.
func (h *Host) pollLogStatus(ctx context.Context) {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for {
		status := h.replica.Status()
		h.links.update(ctx, h.listedAddrs(status), h.fresh.Load())
		fresh := status.Fresh && (h.fresh.Load() || h.caughtUp(ctx))
		if h.fresh.Swap(fresh) != fresh {
			h.loop.Post(directory.Event{Quorum: &directory.Quorum{Fresh: fresh}})
			h.log.Info("quorum changed", "fresh", fresh, "leader", status.LeaderAddr, "term", status.Term)
		}
		h.metrics.setGauges(h.machine, h.sessions.count(), fresh)
		h.sizes.report(append(h.machine.Usage(), h.changes.usage()), status, time.Now())
		h.manageMembers(ctx, status)
		h.upgradeFormat(ctx, status)
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

// caughtUp reports whether all changes accepted before the call are applied on
// this host. The check is needed because a host that was partitioned receives
// messages from the leader again before it has the entries that it missed.
func (h *Host) caughtUp(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	_, err := h.replica.Barrier(ctx)
	return err == nil
}

// configurePeers takes the control hosts of the settings, and those of changed settings
// until ctx ends.
func (h *Host) configurePeers(ctx context.Context) {
	h.links.configure(ctx, h.opts.Peers)
	for {
		select {
		case <-ctx.Done():
			return
		case addrs := <-h.opts.PeersChanged:
			h.log.Info("control hosts of the settings changed", "controls", addrs)
			h.links.configure(ctx, addrs)
		}
	}
}

// listedAddrs returns the addresses of the log's members and of recent announcements.
func (h *Host) listedAddrs(s LogStatus) []string {
	var out []string
	for _, m := range s.Members {
		out = append(out, m.Addr)
	}
	return append(out, h.memberManager.announcedAddrs()...)
}

// effect executes one effect of the directory reducer.
func (h *Host) effect(e directory.Effect) {
	if list, ok := e.Msg.(*wire.Directory); ok && e.Conn == directory.OwnConn {
		h.links.setReported(list.Upserts)
		return
	}
	if s := h.sessions.get(e.Conn); s != nil {
		s.send(e.Msg)
	}
}

// signal wakes the reader of a channel with capacity 1 without blocking.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
