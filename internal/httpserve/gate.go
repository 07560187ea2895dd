package httpserve

import (
	"cmp"
	"container/list"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"
)

// Limits bound what the servers that share a Gate hold for their clients. Zero fields
// take the defaults.
type Limits struct {
	// Connections bounds the open connections.
	Connections int
	// BodyBytes bounds the bodies of the requests that are read or handled, in bytes.
	// Those of up to smallBodyBytes are not counted: the connections bound them.
	BodyBytes int
	// SocketBytes bounds what the kernel buffers for one connection in each direction,
	// in bytes.
	SocketBytes int
}

// The defaults of Limits.
const (
	DefaultConnections = 256
	DefaultBodyBytes   = 8 << 20
	DefaultSocketBytes = 16 << 10
)

const (
	// smallBodyBytes is the size of the bodies that the HTTP server reads into a buffer
	// of the connection.
	smallBodyBytes = 8 << 10
	// stalledAfter is how long a connection with a request must have made no progress
	// before it may be closed to make room for others.
	stalledAfter = 500 * time.Millisecond
	// releaseWait bounds the wait for what a connection that is being closed holds.
	releaseWait = 50 * time.Millisecond
	// Up to a backlogShare'th of Limits.Connections wait to be accepted, and minBacklog
	// at least.
	backlogShare, minBacklog = 2, 128
	// descriptorReserve is the number of descriptors for all else than the connections
	// of one gate.
	descriptorReserve = 512
	// boundLogInterval is the time between two log lines on the same bound.
	boundLogInterval = 10 * time.Second
)

func (l Limits) withDefaults() Limits {
	if l.Connections == 0 {
		l.Connections = DefaultConnections
	}
	if l.BodyBytes == 0 {
		l.BodyBytes = DefaultBodyBytes
	}
	if l.SocketBytes == 0 {
		l.SocketBytes = DefaultSocketBytes
	}
	return l
}

// Gate admits connections and bodies to the servers that share it, before anything is
// read or allocated for them. When a bound is reached it makes room: it closes a
// connection on which no request has arrived for stalledAfter, or else the one that has
// waited longest for a request, or else one whose request has stalled. It is safe for
// concurrent use.
type Gate struct {
	name        string
	limits      Limits
	log         *log.Logger
	connections tally.Gauge
	bodyBytes   tally.Gauge
	bounds      map[string]*bound

	// mu also guards the connections of the servers.
	mu   sync.Mutex
	open int
	held int // bytes of bodies
	// queues holds the connections that may be closed, by kind, the longest waiting
	// first.
	queues [queueCount]*list.List
	// futile is set when a wait for room has ended in vain, until something is released.
	futile bool
	// waiting counts those that wait for room. released is closed and replaced when a
	// connection or a body is released, or a connection may be closed.
	waiting  int
	released chan struct{}
}

// queue is a kind of connection that a Gate may close.
type queue int

const (
	queueNew    queue = iota // no request has arrived
	queueIdle                // between two requests
	queueActive              // a request is read or its answer is written
	queueCount
	queueNone queue = -1 // a request is handled, or the connection is being closed
)

// bound counts how often a bound of a Gate was reached. The Gate's lock guards it.
type bound struct {
	name    string
	reached tally.Counter
	// refused and evicted count since the last log line at loggedAt.
	refused, evicted int
	loggedAt         time.Time
}

const (
	boundConnections = "connections"
	boundBodies      = "body_bytes"
)

// NewGate returns a gate that reports to scope and l under a name.
func NewGate(name string, limits Limits, scope tally.Scope, l *log.Logger) *Gate {
	if scope == nil {
		scope = tally.NoopScope
	}
	if l == nil {
		l = log.Default()
	}
	limits = limits.withDefaults()
	if n := withinDescriptors(limits.Connections, descriptors()); n < limits.Connections {
		l.Warn("fewer connections than the limit, for want of descriptors", "gate", name, "connections", n, "connections_limit", limits.Connections)
		limits.Connections = n
	}
	scope = scope.SubScope("http").Tagged(map[string]string{"gate": name})
	g := &Gate{
		name: name, limits: limits, log: l, released: make(chan struct{}), bounds: map[string]*bound{},
		connections: scope.Gauge("connections"), bodyBytes: scope.Gauge("body_bytes"),
	}
	for _, name := range []string{boundConnections, boundBodies} {
		g.bounds[name] = &bound{name: name, reached: scope.Tagged(map[string]string{"bound": name}).Counter("bound_reached")}
	}
	for i := range g.queues {
		g.queues[i] = list.New()
	}
	return g
}

// descriptors returns how many descriptors the process may open, zero if unknown.
func descriptors() uint64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return limit.Cur
}

// withinDescriptors lowers a number of connections so that descriptorReserve others can be
// open beside them: a process without a free one accepts nobody, and makes no room.
func withinDescriptors(connections int, descriptors uint64) int {
	if descriptors == 0 || uint64(connections)+descriptorReserve <= descriptors {
		return connections
	}
	return max(int(descriptors)-descriptorReserve, min(connections, int(descriptors)/2))
}

// admit makes room for one more connection. It returns false if there is none because a
// request is in progress on each.
func (g *Gate) admit() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.awaitRoom(boundConnections, func() bool { return g.open < g.limits.Connections }) {
		return false
	}
	g.open++
	g.connections.Update(float64(g.open))
	return true
}

// leave releases a connection that was admitted and is closed.
func (g *Gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open--
	g.connections.Update(float64(g.open))
	g.signal()
}

// reserve reserves n bytes for the body of a request. It returns false if there is no
// room.
func (g *Gate) reserve(n int) bool {
	if n <= smallBodyBytes {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if n > g.limits.BodyBytes {
		b := g.bounds[boundBodies]
		b.refused++
		g.report(b)
		return false
	}
	if !g.awaitRoom(boundBodies, func() bool { return g.held+n <= g.limits.BodyBytes }) {
		return false
	}
	g.held += n
	g.bodyBytes.Update(float64(g.held))
	return true
}

// release releases n bytes that were reserved.
func (g *Gate) release(n int) {
	if n <= smallBodyBytes {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held -= n
	g.bodyBytes.Update(float64(g.held))
	g.signal()
}

// signal wakes those that wait for room. The lock is held.
func (g *Gate) signal() {
	g.futile = false
	if g.waiting == 0 {
		return
	}
	close(g.released)
	g.released = make(chan struct{})
}

// awaitRoom returns whether there is room, for which it closes other connections. The
// lock is held, but not while it waits for these to end.
func (g *Gate) awaitRoom(name string, hasRoom func() bool) bool {
	if hasRoom() {
		return true
	}
	b := g.bounds[name]
	defer g.report(b)
	timeout := time.NewTimer(releaseWait)
	defer timeout.Stop()
	g.waiting++
	defer func() { g.waiting-- }()
	for !hasRoom() {
		switch {
		case g.evict(name):
			b.evicted++
		// A request that is read or answered now may leave its connection idle.
		case name == boundConnections && g.queues[queueActive].Len() > 0 && !g.futile:
		default:
			b.refused++
			return false
		}
		released := g.released
		g.mu.Unlock()
		expired := false
		select {
		case <-released:
		case <-timeout.C:
			expired = true
		}
		g.mu.Lock()
		if expired && !hasRoom() {
			g.futile = true
			b.refused++
			return false
		}
	}
	return true
}

// evict closes one connection, and returns false if none may be closed. For bodies only
// those that hold one help. The lock is held.
func (g *Gate) evict(name string) bool {
	now := time.Now()
	if name == boundConnections {
		if c := g.longestWaiting(now); c != nil {
			c.closeIfIdle()
			return true
		}
	}
	for e := g.queues[queueActive].Front(); e != nil; e = e.Next() {
		c := e.Value.(*connState)
		if (name == boundConnections || c.body > smallBodyBytes) && c.stalled(now) {
			c.abort()
			return true
		}
	}
	return false
}

// longestWaiting returns the connection without a request to close first, nil if there is
// none. The first request of a new connection is often under way. The lock is held.
func (g *Gate) longestWaiting(now time.Time) *connState {
	first := func(q queue) *connState {
		if e := g.queues[q].Front(); e != nil {
			return e.Value.(*connState)
		}
		return nil
	}
	if c := first(queueNew); c != nil && c.stalled(now) {
		return c
	}
	return cmp.Or(first(queueIdle), first(queueNew))
}

// report counts and logs that a bound was reached. The lock is held.
func (g *Gate) report(b *bound) {
	b.reached.Inc(1)
	now := time.Now()
	if now.Sub(b.loggedAt) < boundLogInterval {
		return
	}
	g.log.Warn("a bound of the HTTP servers was reached", "gate", g.name, "bound", b.name, "connections", g.open, "connections_limit", g.limits.Connections,
		"body_bytes", g.held, "body_bytes_limit", g.limits.BodyBytes, "refused", b.refused, "closed_for_others", b.evicted)
	b.loggedAt, b.refused, b.evicted = now, 0, 0
}

// move puts a connection at the end of a queue. The lock is held.
func (g *Gate) move(c *connState, to queue) {
	if c.queue != queueNone {
		g.queues[c.queue].Remove(c.element)
	}
	c.queue = to
	if to != queueNone {
		c.element = g.queues[to].PushBack(c)
	}
}

// closeIfIdle closes a connection unless bytes of a request have arrived. The lock is
// held.
func (c *connState) closeIfIdle() {
	c.gate.move(c, queueNone)
	setClosing(c.conn, true)
	c.setReadDeadline(longPast)
}

// abort closes a connection on which a request is read or an answer is written. The lock
// is held.
func (c *connState) abort() {
	c.gate.move(c, queueNone)
	if s := socket(c.conn); s != nil {
		s.aborted.Store(true)
	}
	if err := c.conn.SetDeadline(longPast); err != nil {
		c.gate.log.Debug("deadline not set", "peer", c.conn.RemoteAddr(), "err", err)
	}
}

// stalled reports whether nothing has arrived for stalledAfter. The lock is held.
func (c *connState) stalled(now time.Time) bool {
	return now.Sub(c.since) >= stalledAfter && now.Sub(lastArrival(c.conn)) >= stalledAfter
}

func (c *connState) setReadDeadline(at time.Time) {
	if err := c.conn.SetReadDeadline(at); err != nil {
		c.gate.log.Debug("read deadline not set", "peer", c.conn.RemoteAddr(), "err", err)
	}
}

// refusal is the answer on a connection for which there is no room. It is shorter than
// any socket buffer, so that it can be written at once.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// refuse answers and closes a connection that was not admitted. Nothing of a request has
// been read.
func refuse(c net.Conn, plain bool) {
	defer c.Close()
	if plain {
		_ = c.SetWriteDeadline(time.Now().Add(releaseWait)) // as for the write
		_, _ = c.Write([]byte(refusal))                     // the client may have gone
	}
}
