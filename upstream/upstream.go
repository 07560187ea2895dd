package upstream

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/fireflytray/fireflytray/internal/httpserve"
)

const (
	announceTimeout = time.Second
	// renewalsPerLease is the number of announcements per lease duration.
	renewalsPerLease = 3
	maxPayloadBytes  = 8 << 20
	// The server takes gateConnections times the announced connections, as those of an
	// agent that has ended may still be open, and gateBodies of the largest payloads.
	gateConnections = 4
	gateBodies      = 8
)

// The kinds of work of a task.
const (
	WorkSleep = "sleep"
	WorkCPU   = "cpu"
)

// Options configures a stand-in upstream.
type Options struct {
	// Tasks is the host:port for the task interface. Port 0 picks a free port.
	Tasks string
	// Agent is the agent's host:port for announcements. If empty, the upstream
	// sends none.
	Agent   string
	Service string
	// Slots, Connections and Lease are the announced values. Zero means 8 slots,
	// 64 connections and a lease of 3 s.
	Slots       uint32
	Connections uint32
	Lease       time.Duration
	Offered     Offered
	Rack        string
	// Work is the kind of work of tasks that name none. If empty, it is WorkSleep.
	Work string
	// Slowdown multiplies every run time. Zero means 1.
	Slowdown float64
	// FailShare is the fraction of tasks that fail immediately, chosen at random
	// with Seed.
	FailShare float64
	Seed      uint64
	// Journal is the file to which each start is appended. If empty, there is
	// none.
	Journal string
	// Ready is called with the address of the task interface once it is open.
	Ready func(addr string)
	Log   *log.Logger
}

func (o Options) withDefaults() Options {
	if o.Slots == 0 {
		o.Slots = 8
	}
	if o.Connections == 0 {
		o.Connections = 64
	}
	if o.Lease == 0 {
		o.Lease = 3 * time.Second
	}
	if o.Work == "" {
		o.Work = WorkSleep
	}
	if o.Slowdown == 0 {
		o.Slowdown = 1
	}
	if o.Log == nil {
		o.Log = log.New(io.Discard)
	}
	return o
}

// Server is a stand-in upstream.
type Server struct {
	opts           Options
	instance       string
	ln             *faultListener
	http           *httpserve.Server
	client         fasthttp.Client
	tasks          *tasks
	fault          *faults
	kill           context.CancelFunc
	killed         context.Context
	leaveOnce      sync.Once
	leaveRequested chan struct{}
}

// New listens on the address for tasks and returns a server that is not serving
// yet.
func New(o Options) (*Server, error) {
	o = o.withDefaults()
	ln, err := net.Listen("tcp", o.Tasks)
	if err != nil {
		return nil, fmt.Errorf("upstream: listen %s: %w", o.Tasks, err)
	}
	j, err := newJournal(o.Journal)
	if err != nil {
		ln.Close()
		return nil, err
	}
	s := &Server{opts: o, instance: rand.Text(), ln: newFaultListener(ln), fault: newFaults(), leaveRequested: make(chan struct{})}
	s.killed, s.kill = context.WithCancel(context.Background())
	s.tasks = newTasks(o, j, s.fault)
	s.http = httpserve.New("tasks", &fasthttp.Server{
		Handler:               s.handle,
		Name:                  "upstream",
		MaxRequestBodySize:    maxPayloadBytes,
		NoDefaultServerHeader: true,
	}, s.ln, nil, o.Log, httpserve.WithGate(httpserve.NewGate("tasks", httpserve.Limits{
		Connections: gateConnections * int(o.Connections), BodyBytes: gateBodies * maxPayloadBytes,
	}, nil, o.Log)))
	return s, nil
}

// Addr returns the host:port for tasks.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Instance returns the name of this incarnation of the upstream.
func (s *Server) Instance() string { return s.instance }

// Journal returns the starts so far, in their order.
func (s *Server) Journal() []JournalEntry { return s.tasks.journal.entries() }

// SetFault replaces the injected fault.
func (s *Server) SetFault(f Fault) error {
	if err := s.fault.set(f); err != nil {
		return err
	}
	switch f.Mode {
	case FaultSilent:
		s.ln.silence()
	case FaultLeave:
		s.leaveOnce.Do(func() { close(s.leaveRequested) })
	}
	return nil
}

// Kill ends the upstream like a crash of its process: it does not deregister, and
// every connection is reset.
func (s *Server) Kill() {
	s.kill()
	s.ln.resetAll()
}

// Run creates a server and calls its Run.
func Run(ctx context.Context, o Options) error {
	s, err := New(o)
	if err != nil {
		return err
	}
	return s.Run(ctx)
}

// Run serves until ctx ends, FaultLeave is set or Kill is called. Unless it was
// killed, it then deregisters from the agent, waits for the running tasks and shuts
// down.
func (s *Server) Run(ctx context.Context) error {
	if s.opts.Ready != nil {
		s.opts.Ready(s.Addr())
	}
	var g errgroup.Group
	g.Go(func() error {
		err := s.http.Serve()
		if err != nil && s.killed.Err() == nil && !errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("upstream: serve %s: %w", s.Addr(), err)
		}
		return nil
	})
	g.Go(func() error {
		s.announceLoop(ctx)
		return s.leave()
	})
	return g.Wait()
}

// announceLoop announces the upstream, which renews its lease, until ctx ends, the
// upstream is killed or FaultLeave is set.
func (s *Server) announceLoop(ctx context.Context) {
	ticker := time.NewTicker(s.opts.Lease / renewalsPerLease)
	defer ticker.Stop()
	for {
		s.announce(false)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		case <-s.leaveRequested:
			return
		case <-s.killed.Done():
			return
		}
	}
}

func (s *Server) announce(draining bool) {
	if s.opts.Agent == "" || s.fault.mode() == FaultFreeze {
		return
	}
	if err := s.post(PathAnnounce, s.announcement(draining)); err != nil {
		s.opts.Log.Warn("announcement failed", "agent", s.opts.Agent, "err", err)
	}
}

func (s *Server) announcement(draining bool) Announcement {
	return Announcement{
		Instance:    s.instance,
		Service:     s.opts.Service,
		Address:     s.Addr(),
		Slots:       s.opts.Slots,
		Connections: s.opts.Connections,
		LeaseMS:     uint32(s.opts.Lease / time.Millisecond),
		Offered:     s.opts.Offered,
		Rack:        s.opts.Rack,
		Draining:    draining,
		CanStop:     true,
		CanStatus:   true,
	}
}

// leave deregisters from the agent, waits for the running tasks and shuts down. It
// does nothing if the upstream was killed.
func (s *Server) leave() error {
	if s.killed.Err() != nil {
		return nil
	}
	if s.opts.Agent != "" {
		if err := s.post(PathLeave, Departure{Instance: s.instance}); err != nil {
			s.opts.Log.Warn("failed to deregister from the agent", "agent", s.opts.Agent, "err", err)
		}
	}
	s.tasks.wait(s.killed)
	// Requests that are being read may still start tasks until the server is down.
	defer s.tasks.journal.close()
	if err := s.http.Shutdown(context.Background()); err != nil {
		return fmt.Errorf("upstream: shut down %s: %w", s.Addr(), err)
	}
	return nil
}

func newJournal(path string) (*journal, error) {
	j := &journal{}
	if path == "" {
		return j, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("upstream: open journal: %w", err)
	}
	j.file = f
	return j, nil
}
