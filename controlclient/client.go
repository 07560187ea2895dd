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
	// renewals is how many announcements fall into one lease.
	renewals = 3
	// settleTime is how long a process without any configuration waits for a
	// control host with a fresh quorum before it takes one from another.
	settleTime = 2 * time.Second
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
	config  *holder
	calls   *calls
	leaving atomic.Bool
	// life ends with Run, and with it the attempts to free claims; releases
	// counts them.
	life     context.Context
	end      context.CancelFunc
	releases chan struct{}

	mu    sync.Mutex
	table *directory.Table

	// links guards sessions and open, which starts a session.
	links    sync.Mutex
	sessions []*session
	open     func(*session)
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
	c := &Client{opts: o, log: o.Log.WithPrefix("controlclient"), start: time.Now(), calls: newCalls(), table: directory.NewTable()}
	c.life, c.end = context.WithCancel(context.Background())
	c.releases = make(chan struct{}, maxReleases)
	c.config = newHolder(o.Site, c.adopted)
	c.opts.Transport.Stamp = c.Stamp
	for _, addr := range o.Controls {
		c.sessions = append(c.sessions, newSession(c, addr))
	}
	return c
}

// Run keeps the sessions until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	defer c.end()
	g, ctx := errgroup.WithContext(ctx)
	c.startSessions(func(s *session) {
		g.Go(func() error { s.run(ctx); return nil })
	})
	g.Go(func() error { c.renew(ctx); return nil })
	g.Go(func() error { c.settle(ctx); return nil })
	return g.Wait()
}

// Stamp returns the configuration in force here.
func (c *Client) Stamp() wire.Stamp { return c.config.stamp() }

// Seen notes the stamp of any other process. If it is ahead of this one, the
// configuration is fetched.
func (c *Client) Seen(s wire.Stamp) {
	if c.config.seen(s.Index) {
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
	for _, s := range c.all() {
		s.announce(msg)
	}
}

// adopted hands over a configuration and tells the control hosts at once, as
// operators may be waiting for this process.
func (c *Client) adopted(conf *fleet.Config) {
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
	for _, s := range c.all() {
		wg.Go(func() { s.leave(ctx, msg) })
	}
	wg.Wait()
}

// renew sends one announcement to all sessions each third of a lease.
func (c *Client) renew(ctx context.Context) {
	ticker := time.NewTicker(c.opts.Lease / renewals)
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

// settle ends the wait for a fresh control host.
func (c *Client) settle(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(settleTime):
		c.config.settle()
		c.fetch()
	}
}

// fetch asks every connected control host for the configuration.
func (c *Client) fetch() {
	for _, s := range c.all() {
		s.send(&wire.ConfigFetch{Have: c.Stamp().Index})
	}
}

// merge takes a Directory message from one control host and hands over what
// changed in the merged list.
func (c *Client) merge(addr string, msg *wire.Directory) {
	ahead := false
	for _, m := range msg.Upserts {
		if m.Peer.Role == wire.RoleControl {
			c.learn(m.Peer.Addr)
		}
		ahead = c.config.seen(m.ConfigIndex) || ahead
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

// all returns the sessions.
func (c *Client) all() []*session {
	c.links.Lock()
	defer c.links.Unlock()
	return slices.Clone(c.sessions)
}

// startSessions starts the sessions to the control hosts known so far; later
// ones start when they are learned of.
func (c *Client) startSessions(open func(*session)) {
	c.links.Lock()
	defer c.links.Unlock()
	c.open = open
	for _, s := range c.sessions {
		open(s)
	}
}

// maxSessions bounds the control hosts that a process keeps sessions to. Hosts
// of the settings come first; some of them may be gone for good.
const maxSessions = 12

// learn opens a session to a control host that the settings did not name.
func (c *Client) learn(addr string) {
	c.links.Lock()
	defer c.links.Unlock()
	known := slices.ContainsFunc(c.sessions, func(s *session) bool { return s.addr == addr })
	if known || addr == "" || c.open == nil || len(c.sessions) >= maxSessions || c.leaving.Load() {
		return
	}
	c.log.Info("control host learned", "control", addr)
	s := newSession(c, addr)
	c.sessions = append(c.sessions, s)
	c.open(s)
}
