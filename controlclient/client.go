// Package controlclient is the side of entries and agents towards the control
// hosts. It keeps a session to each control host of the settings, announces
// the process there, and hands over what changes in the directory and in the
// configuration. No control host needs to be up for the process to go on with
// what it knows.
package controlclient

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"

	"github.com/fireflytray/fireflytray/directory"
	"github.com/fireflytray/fireflytray/fleet"
	"github.com/fireflytray/fireflytray/transport"
	"github.com/fireflytray/fireflytray/wire"
)

const (
	// DefaultLease is how long an announcement holds.
	DefaultLease = 9 * time.Second
	// renewalsPerLease is how many announcements fall into one lease.
	renewalsPerLease = 3
	// freshConfigWait is how long a process without any configuration waits for a
	// control host with a fresh quorum before it takes one from another.
	freshConfigWait = 2 * time.Second
)

// Options configures a Client. Controls, Transport.Identity and Self are
// required.
type Options struct {
	// Controls lists the peer addresses of control hosts.
	Controls []string
	// Transport configures the connections; Stamp is set by the client.
	Transport transport.Options
	// Self returns the announcement as it is now; the client fills in Seq,
	// Lease and Leaving. It is called from several goroutines.
	Self func() wire.Announce
	// Site chooses the overlay.
	Site string
	// Lease is how long an announcement holds without renewal.
	Lease time.Duration
	// OnDirectory takes differences of the merged list of members, one at a
	// time. It is called only if Self asks to watch.
	OnDirectory func(wire.Directory)
	// OnConfig takes each configuration of the site that comes into force, one
	// at a time, with indices that only grow.
	OnConfig func(*fleet.Config)
	Log      *log.Logger
}

// ErrNoControl means that no control host answered in time.
var ErrNoControl = errors.New("no control host answered")

// Client keeps the sessions of one process. It is safe for concurrent use.
type Client struct {
	opts    Options
	log     *log.Logger
	start   time.Time
	seq     atomic.Uint64
	config  *configState
	calls   *pendingCalls
	leaving atomic.Bool
	// lifetime ends with Run, and with it the attempts to free claims; releases
	// counts them.
	lifetime     context.Context
	endLifetime  context.CancelFunc
	releaseSlots chan struct{}

	mu    sync.Mutex
	table *directory.Table

	// sessionsMu guards sessions and open, which starts a session.
	sessionsMu   sync.Mutex
	sessions     []*session
	startSession func(*session)
}

// New returns a client; Run starts it.
func New(o Options) *Client {
	if o.Lease == 0 {
		o.Lease = DefaultLease
	}
	if o.OnDirectory == nil {
		o.OnDirectory = func(wire.Directory) {}
	}
	if o.OnConfig == nil {
		o.OnConfig = func(*fleet.Config) {}
	}
	if o.Log == nil {
		o.Log = log.Default()
	}
	c := &Client{opts: o, log: o.Log.WithPrefix("controlclient"), start: time.Now(), calls: newPendingCalls(), table: directory.NewTable()}
	c.lifetime, c.endLifetime = context.WithCancel(context.Background())
	c.releaseSlots = make(chan struct{}, maxReleases)
	c.config = newConfigState(o.Site, c.configAdopted)
	c.opts.Transport.Stamp = c.Stamp
	for _, addr := range o.Controls {
		c.sessions = append(c.sessions, newSession(c, addr))
	}
	return c
}

// Run keeps the sessions until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	defer c.endLifetime()
	g, ctx := errgroup.WithContext(ctx)
	c.startSessions(func(s *session) {
		g.Go(func() error { s.run(ctx); return nil })
	})
	g.Go(func() error { c.renew(ctx); return nil })
	g.Go(func() error { c.endFreshConfigWait(ctx); return nil })
	return g.Wait()
}

// Stamp returns the configuration in force here.
func (c *Client) Stamp() wire.Stamp { return c.config.stamp() }

// ObserveStamp notes the stamp of any other process. If it is ahead of this one, the
// configuration is fetched.
func (c *Client) ObserveStamp(s wire.Stamp) {
	if c.config.observe(s.Index) {
		c.fetch()
	}
}

// Announce sends an announcement to all control hosts now, for a change that
// must not wait for the next renewal.
func (c *Client) Announce() {
	if c.leaving.Load() {
		return
	}
	msg := c.announcement()
	for _, s := range c.allSessions() {
		s.announce(msg)
	}
}

// configAdopted hands over a configuration and tells the control hosts at once, as
// operators may be waiting for this process.
func (c *Client) configAdopted(conf *fleet.Config) {
	c.opts.OnConfig(conf)
	go c.Announce()
}

// announcement returns the next announcement.
func (c *Client) announcement() *wire.Announce {
	msg := c.opts.Self()
	msg.Seq = c.seq.Add(1)
	msg.Lease = c.opts.Lease
	return &msg
}

// Leave says goodbye to every control host that is connected and waits for
// their answers, or until ctx ends. No announcement follows it.
func (c *Client) Leave(ctx context.Context) {
	c.leaving.Store(true)
	msg := c.announcement()
	msg.Leaving = true
	var wg sync.WaitGroup
	for _, s := range c.allSessions() {
		wg.Go(func() { s.leave(ctx, msg) })
	}
	wg.Wait()
}

// renew sends one announcement to all sessions each third of a lease.
func (c *Client) renew(ctx context.Context) {
	ticker := time.NewTicker(c.opts.Lease / renewalsPerLease)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.Announce()
		}
	}
}

// endFreshConfigWait ends the wait for a fresh control host.
func (c *Client) endFreshConfigWait(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(freshConfigWait):
		c.config.allowStale()
		c.fetch()
	}
}

// fetch asks every connected control host for the configuration.
func (c *Client) fetch() {
	for _, s := range c.allSessions() {
		s.send(&wire.ConfigFetch{Have: c.Stamp().Index})
	}
}

// merge takes a Directory message from one control host and hands over what
// changed in the merged list.
func (c *Client) merge(addr string, msg *wire.Directory) {
	ahead := false
	for _, m := range msg.Upserts {
		if m.Peer.Role == wire.RoleControl {
			c.addControlHost(m.Peer.Addr)
		}
		ahead = c.config.observe(m.ConfigIndex) || ahead
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Merge(time.Since(c.start), directory.Source(addr), msg)
	c.table.PurgeTombstones(time.Since(c.start))
	diff := c.table.TakeDifference()
	if out := diff.Message(false); len(out.Upserts)+len(out.Removed) > 0 {
		c.opts.OnDirectory(*out)
	}
	if ahead {
		go c.fetch()
	}
}

// allSessions returns the sessions.
func (c *Client) allSessions() []*session {
	c.sessionsMu.Lock()
	defer c.sessionsMu.Unlock()
	return slices.Clone(c.sessions)
}

// startSessions starts the sessions to the control hosts known so far; later
// ones start when they are learned of.
func (c *Client) startSessions(open func(*session)) {
	c.sessionsMu.Lock()
	defer c.sessionsMu.Unlock()
	c.startSession = open
	for _, s := range c.sessions {
		open(s)
	}
}

// maxSessions bounds the control hosts that a process keeps sessions to. Hosts
// of the settings come first; some of them may be gone for good.
const maxSessions = 12

// addControlHost opens a session to a control host that the settings did not name.
func (c *Client) addControlHost(addr string) {
	c.sessionsMu.Lock()
	defer c.sessionsMu.Unlock()
	known := slices.ContainsFunc(c.sessions, func(s *session) bool { return s.addr == addr })
	if known || addr == "" || c.startSession == nil || len(c.sessions) >= maxSessions || c.leaving.Load() {
		return
	}
	c.log.Info("control host learned", "control", addr)
	s := newSession(c, addr)
	c.sessions = append(c.sessions, s)
	c.startSession(s)
}
