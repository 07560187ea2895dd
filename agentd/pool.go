package agentd

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	dialTimeout = time.Second
	// maxIdle is the idle time after which a connection is no longer reused.
	maxIdle = 10 * time.Second
)

// errPoolFull means that the pool has reached its limit and no connection is
// idle.
var errPoolFull = errors.New("every connection is in use")

// pool holds the connections to one upstream. At most max are open at a time.
type pool struct {
	addr string
	max  int

	mu     sync.Mutex
	open   int
	idle   []*upstreamConn
	closed bool
}

func newPool(addr string, limit uint32) *pool { return &pool{addr: addr, max: int(limit)} }

// upstreamConn is one connection to an upstream.
type upstreamConn struct {
	net.Conn
	pool *pool
	r    *bufio.Reader
	w    *bufio.Writer
	// bytesWritten counts the bytes of the current request.
	bytesWritten int
	// idleSince is zero until the connection is first returned to the pool.
	idleSince time.Time
	closeOnce sync.Once
}

// Write implements net.Conn and counts the bytes passed to the kernel.
func (c *upstreamConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytesWritten += n
	return n, err
}

// get returns an idle connection, or a new one.
func (p *pool) get() (*upstreamConn, error) {
	for {
		c := p.popIdle()
		if c == nil {
			return p.dial()
		}
		if time.Since(c.idleSince) < maxIdle && c.usable() {
			return c, nil
		}
		c.discard()
	}
}

func (p *pool) popIdle() *upstreamConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

// dial opens a connection from a new local port. If the limit is reached, it
// closes the connection that has been idle longest to make room.
func (p *pool) dial() (*upstreamConn, error) {
	if err := p.reserve(); err != nil {
		return nil, err
	}
	raw, err := net.DialTimeout("tcp", p.addr, dialTimeout)
	if err != nil {
		p.release()
		return nil, fmt.Errorf("agent: dial upstream %s: %w", p.addr, err)
	}
	c := &upstreamConn{Conn: raw, pool: p}
	c.r = bufio.NewReader(raw)
	c.w = bufio.NewWriter(c)
	return c, nil
}

func (p *pool) reserve() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.max && len(p.idle) > 0 {
		c := p.idle[0]
		p.idle = p.idle[1:]
		c.closeOnce.Do(func() {})
		c.Conn.Close()
		p.open--
	}
	if p.open >= p.max {
		return fmt.Errorf("agent: dial upstream %s: %w", p.addr, errPoolFull)
	}
	p.open++
	return nil
}

func (p *pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// put returns a connection to the pool, or closes it if the pool is closed.
func (p *pool) put(c *upstreamConn) {
	c.idleSince = time.Now()
	c.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.idle = append(p.idle, c)
		return
	}
	go c.discard()
}

// close closes the idle connections. Those in use are closed when they are
// returned.
func (p *pool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		c.discard()
	}
}

// counts returns the number of open connections and the number of idle ones.
func (p *pool) counts() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle)
}

// reuse returns the connection to the pool after a response, unless the upstream
// closes it.
func (c *upstreamConn) reuse(resp response) {
	if resp.connClose {
		c.discard()
		return
	}
	c.pool.put(c)
}

// discard closes the connection and frees its place in the pool. Further calls
// have no effect.
func (c *upstreamConn) discard() {
	c.closeOnce.Do(func() {
		c.Conn.Close()
		c.pool.release()
	})
}

// usable reports whether an idle connection is still open and has no unread
// data.
func (c *upstreamConn) usable() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		usable = errors.Is(rerr, syscall.EAGAIN)
		return true
	})
	return err == nil && usable
}
