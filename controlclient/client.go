// Package controlclient connects entries and agents to the control hosts. It
// keeps a session to each control host that package controlhosts selects, announces
// the process there, and passes on changes of the directory and of the configuration.
// While no control host is reachable, the process continues with its last known state.
package controlclient

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"

	"github.com/fireflytray/fireflytray/controlhosts"
	"github.com/fireflytray/fireflytray/directory"
	"github.com/fireflytray/fireflytray/fleet"
	"github.com/fireflytray/fireflytray/internal/steadyclock"
	"github.com/fireflytray/fireflytray/transport"
	"github.com/fireflytray/fireflytray/wire"
)

const (
	// DefaultLease is how long an announcement is valid.
	DefaultLease = 9 * time.Second
	// DefaultSessions is the default of Options.Sessions.
	DefaultSessions = 12
	// renewalsPerLease is the number of announcements sent within one lease.
	renewalsPerLease = 3
	// freshConfigWait is how long a process without a configuration waits for a
	// control host with a fresh quorum (one that has recently heard from a quorum)
	// after another one has offered its own, before it accepts that one. Control
	// hosts that return together offer what they know before they elect a leader.
	freshConfigWait = 2 * time.Second
)

// Options configures a Client. Controls, Transport.Identity and Self are
// required.
type Options struct {
	// Controls lists the peer addresses of the configured control hosts.
	Controls []string
	// ControlsChanged delivers lists that replace Controls; nil delivers none.
	ControlsChanged <-chan []string
	// Transport configures the connections; Stamp is set by the client.
	Transport transport.Options
	// Self returns the current announcement; the client sets Seq, Lease, Leaving and
	// Watch. It is called from several goroutines.
	Self func() wire.Announce
	// Sessions is the number of control hosts to keep sessions to, if that many live.
	Sessions int
	// Site selects the site overlay of the configuration.
	Site string
	// Lease is how long an announcement is valid without renewal.
	Lease time.Duration
	// OnDirectory receives the changes of the merged member list, one call at a
	// time, marked as complete once the list holds every live process that control
	// hosts report to this role: all to entries, control hosts to agents.
	OnDirectory func(wire.Directory)
	// OnConfig receives each configuration of the site that comes into force,
	// one call at a time and with increasing indices.
	OnConfig func(*fleet.Config)
	Log      *log.Logger
}

// ErrNoControl means that no control host answered in time.
var ErrNoControl = errors.New("no control host answered")

// Client keeps the sessions of one process. It is safe for concurrent use.
type Client struct {
	opts    Options
	log     *log.Logger
	clock   steadyclock.Clock
	seq     atomic.Uint64
	config  *configState
	calls   *pendingCalls
	leaving atomic.Bool
	// lifetime ends with Run and stops the retries that release claims;
	// releaseSlots bounds how many run at once.
	lifetime     context.Context
	endLifetime  context.CancelFunc
	releaseSlots chan struct{}

	mu    sync.Mutex
	table *directory.Table
	// complete is set once a control host has sent a complete list.
	complete bool
	// lost holds the control hosts whose sessions have ended.
	lost directory.LostSources

	// sessionsMu guards hosts, sessions and startSession. It may be locked while mu is
	// held, not the other way round.
	sessionsMu sync.Mutex
	hosts      *controlhosts.Set
	// sessions has one session for each selected host of hosts.
	sessions     []*session
	startSession func(*session)
}

// New returns a client that connects once Run is called.
func New(o Options) *Client {
	if o.Lease == 0 {
		o.Lease = DefaultLease
	}
	if o.Sessions == 0 {
		o.Sessions = DefaultSessions
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
	c := &Client{opts: o, log: o.Log.WithPrefix("controlclient"), clock: steadyclock.New(), calls: newPendingCalls(), table: directory.NewTable(), lost: directory.LostSources{}}
	c.lifetime, c.endLifetime = context.WithCancel(context.Background())
	c.releaseSlots = make(chan struct{}, maxReleases)
	c.config = newConfigState(o.Site, c.configAdopted, c.log)
	c.opts.Transport.Stamp = c.Stamp
	c.hosts = controlhosts.New(o.Self().From.ID, o.Sessions)
	c.stepHosts(controlhosts.Event{Configured: &controlhosts.Configured{Addrs: o.Controls}})
	return c
}

// Run maintains the sessions until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	defer c.endLifetime()
	g, ctx := errgroup.WithContext(ctx)
	c.startSessions(func(s *session) {
		sessionCtx, stop := context.WithCancel(ctx)
		s.stop = stop
		g.Go(func() error { defer stop(); s.run(sessionCtx); return nil })
	})
	g.Go(func() error { c.maintainHosts(ctx); return nil })
	g.Go(func() error { c.renew(ctx); return nil })
	g.Go(func() error { c.endFreshConfigWait(ctx); return nil })
	return g.Wait()
}

// Stamp returns the stamp of the configuration in force in this process.
func (c *Client) Stamp() wire.Stamp { return c.config.stamp() }

// ObserveStamp records the stamp of another process. If that process has a newer
// configuration, the client fetches it.
func (c *Client) ObserveStamp(s wire.Stamp) {
	if c.config.observe(s.Index) {
		c.fetch()
	}
}

// Announce sends an announcement to all control hosts immediately, for changes
// that must not wait for the next renewal.
func (c *Client) Announce() {
	if c.leaving.Load() {
		return
	}
	msg := c.announcement()
	for _, s := range c.allSessions() {
		s.announce(msg)
	}
}

// configAdopted passes a new configuration to OnConfig and announces its stamp
// immediately, because operators may be waiting for this process to apply it.
func (c *Client) configAdopted(conf *fleet.Config) {
	c.opts.OnConfig(conf)
	go c.Announce()
}

// announcement returns an announcement with the next sequence number.
func (c *Client) announcement() *wire.Announce {
	msg := c.opts.Self()
	msg.Seq = c.seq.Add(1)
	msg.Lease = c.opts.Lease
	msg.Watch = true
	return &msg
}

// Leave sends a leaving announcement to every connected control host and waits
// for their answers, or until ctx ends. No announcement is sent after it.
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

// renew sends an announcement to all sessions renewalsPerLease times per lease.
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

// endFreshConfigWait waits until freshConfigWait after the first offer of a
// configuration by a control host without a fresh quorum, then allows such
// configurations and fetches one.
func (c *Client) endFreshConfigWait(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-c.config.offered:
	}
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
