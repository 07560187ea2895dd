package upstream

import (
	"net"
	"sync"
	"sync/atomic"
)

// faultListener is a listener whose connections can be silenced or reset.
type faultListener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*faultConn]struct{}
}

func newFaultListener(ln net.Listener) *faultListener {
	return &faultListener{Listener: ln, conns: make(map[*faultConn]struct{})}
}

// Accept implements net.Listener.
func (g *faultListener) Accept() (net.Conn, error) {
	c, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	wrapped := &faultConn{Conn: c, listener: g}
	g.mu.Lock()
	g.conns[wrapped] = struct{}{}
	g.mu.Unlock()
	return wrapped, nil
}

// silence makes the connections that are open now discard all later data.
func (g *faultListener) silence() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		c.silent.Store(true)
	}
}

// resetAll closes the listener and resets every connection.
func (g *faultListener) resetAll() {
	g.Listener.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.Conn.Close()
	}
}

// faultConn is a connection that can be silenced.
type faultConn struct {
	net.Conn
	listener *faultListener
	silent   atomic.Bool
}

// Read implements net.Conn. A silent connection discards what it reads and returns
// only on an error.
func (c *faultConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn. A silent connection discards the data.
func (c *faultConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *faultConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
