package agentd

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/agent"
	"github.com/fireflytray/fireflytray/keys"
	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/transport"
	"github.com/fireflytray/fireflytray/upstream"
	"github.com/fireflytray/fireflytray/wire"
)

const (
	testTimeout      = 20 * time.Second
	testLease        = 600 * time.Millisecond
	entryIncarnation = 77
)

// fixture is an agent and its upstream on real sockets, with the certificate
// authority that issues their keys.
type fixture struct {
	t            *testing.T
	ca           *keys.Authority
	peers        string
	announce     string
	upstream     *upstream.Server
	stopAgent    context.CancelFunc
	agentDone    chan error
	stopUpstream context.CancelFunc
	upstreamDone chan error
	start        time.Time
}

func newFixture(t *testing.T, conf agent.Config) *fixture {
	ca, err := keys.NewAuthority()
	require.NoError(t, err)
	s := &fixture{t: t, ca: ca, start: time.Now()}
	s.runAgent(conf)
	s.runUpstream(upstream.Options{})
	return s
}

func (s *fixture) runAgent(conf agent.Config) {
	id, err := s.ca.Identity(wire.RoleAgent, "agent-1", "sv-a")
	require.NoError(s.t, err)
	ctx, stop := context.WithCancel(context.Background())
	s.stopAgent, s.agentDone = stop, make(chan error, 1)
	ready := make(chan struct{})
	go func() {
		s.agentDone <- Run(ctx, Options{
			Self:     wire.Peer{ID: "agent-1", Domain: "sv-a"},
			Identity: id,
			Peers:    "127.0.0.1:0",
			Upstream: "127.0.0.1:0",
			Agent:    conf,
			Ready: func(peers, up string) {
				s.peers, s.announce = peers, up
				close(ready)
			},
		})
	}()
	s.t.Cleanup(stop)
	await(s.t, ready)
}

func (s *fixture) runUpstream(o upstream.Options) {
	o.Tasks, o.Agent, o.Service, o.Lease = "127.0.0.1:0", s.announce, "alert-core", testLease
	up, err := upstream.New(o)
	require.NoError(s.t, err)
	ctx, stop := context.WithCancel(context.Background())
	s.upstream, s.stopUpstream, s.upstreamDone = up, stop, make(chan error, 1)
	done := s.upstreamDone
	go func() { done <- up.Run(ctx) }()
	s.t.Cleanup(func() { up.Kill(); stop() })
}

func await[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		require.Fail(t, "timed out")
		panic("unreachable")
	}
}

// testEntry is a minimal entry connected to the agent.
type testEntry struct {
	fixture *fixture
	conn    *transport.Conn
	seq     uint64
	welcome *wire.Welcome

	mu           sync.Mutex
	seen         uint64
	slots        uint32
	results      map[task.ID]wire.Result
	resultCounts map[task.ID]int
}

func (s *fixture) dial(session, incarnation uint64, pending ...task.ID) *testEntry {
	id, err := s.ca.Identity(wire.RoleEntry, "entry-1", "sv-a")
	require.NoError(s.t, err)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	// The peer time-out exceeds the time for which a test freezes the agent, so
	// that the connection survives and messages sent meanwhile arrive.
	conn, err := transport.Dial(ctx, s.peers, wire.RoleAgent, transport.Options{Identity: id, PeerTimeout: testTimeout})
	require.NoError(s.t, err)
	s.t.Cleanup(func() { conn.Close("test ends") })
	c := &testEntry{fixture: s, conn: conn, results: map[task.ID]wire.Result{}, resultCounts: map[task.ID]int{}}
	require.NoError(s.t, conn.Send(&wire.Hello{
		From:             wire.Peer{Role: wire.RoleEntry, ID: "entry-1", Incarnation: entryIncarnation},
		Session:          session,
		SentAt:           time.Since(s.start),
		AgentIncarnation: incarnation,
		Pending:          pending,
	}))
	m, _, err := conn.Recv(ctx)
	require.NoError(s.t, err)
	c.welcome = m.(*wire.Welcome)
	c.record(c.welcome.Report)
	go c.receive()
	return c
}

func (c *testEntry) receive() {
	for {
		m, _, err := c.conn.Recv(context.Background())
		if err != nil {
			return
		}
		c.record(m.(*wire.Report))
	}
}

func (c *testEntry) record(r *wire.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen, c.slots = r.Seq, r.Slots
	for _, o := range r.Outcomes {
		c.results[o.ID] = o
		c.resultCounts[o.ID]++
	}
}

func (c *testEntry) update(u *wire.Update) {
	c.seq++
	c.mu.Lock()
	u.Seq, u.Ack, u.SentAt = c.seq, c.seen, time.Since(c.fixture.start)
	c.mu.Unlock()
	require.NoError(c.fixture.t, c.conn.Send(u))
}

// send assigns tasks with a start deadline that does not pass during the test.
func (c *testEntry) send(p upstream.Payload, ids ...task.ID) { c.sendWithin(testTimeout, p, ids...) }

// sendWithin assigns tasks that must start within the given time.
func (c *testEntry) sendWithin(within time.Duration, p upstream.Payload, ids ...task.ID) {
	body, err := json.Marshal(p)
	require.NoError(c.fixture.t, err)
	u := &wire.Update{}
	for _, id := range ids {
		u.Tasks = append(u.Tasks, wire.Assignment{
			ID:          id,
			Spec:        task.Spec{Payload: body},
			StartWithin: within,
			RunWithin:   testTimeout,
		})
	}
	c.update(u)
}

func (c *testEntry) result(id task.ID) wire.Result {
	c.fixture.t.Helper()
	var r wire.Result
	c.fixture.eventually(func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		var ok bool
		r, ok = c.results[id]
		return ok
	})
	return r
}

func (c *testEntry) awaitSlots(n uint32) {
	c.fixture.t.Helper()
	c.fixture.eventually(func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.slots == n
	})
}

func (s *fixture) eventually(cond func() bool) {
	s.t.Helper()
	require.Eventually(s.t, cond, testTimeout, 5*time.Millisecond)
}

// starts returns the number of times the upstream started each task.
func (s *fixture) starts() map[string]int {
	n := map[string]int{}
	for _, e := range s.upstream.Journal() {
		n[e.ID]++
	}
	return n
}

func (s *fixture) awaitStart(id task.ID) {
	s.t.Helper()
	s.eventually(func() bool { return s.starts()[id.String()] > 0 })
}

func taskID(n uint64) task.ID { return task.ID{Submission: task.NewSubmissionID(entryIncarnation, n)} }

func taskIDs(n uint64) []task.ID {
	ids := make([]task.ID, n)
	for i := range ids {
		ids[i] = taskID(uint64(i) + 1)
	}
	return ids
}

func dialAs(t *testing.T, s *fixture, id *keys.Identity) *transport.Conn {
	conn, err := transport.Dial(t.Context(), s.peers, wire.RoleAgent, transport.Options{Identity: id})
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close("test ends") })
	return conn
}
