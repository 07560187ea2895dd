package upstream

import (
	"net"
	"sync"
	"sync/atomic"
)

// gate is a listener whose connections can be silenced or cut.
type gate struct {
	net.Listener
	mu    sync.Mutex
	conns map[*gateConn]struct{}
}

func newGate(ln net.Listener) *gate {
	return &gate{Listener: ln, conns: make(map[*gateConn]struct{})}
}

// Accept implements net.Listener.
func (g *gate) Accept() (net.Conn, error) {
	c, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	gc := &gateConn{Conn: c, gate: g}
	g.mu.Lock()
	g.conns[gc] = struct{}{}
	g.mu.Unlock()
	return gc, nil
}

// silence makes the open connections swallow everything from now on.
func (g *gate) silence() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		c.silent.Store(true)
	}
}

// cut closes the listener and every connection.
func (g *gate) cut() {
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

// gateConn is a connection that can fall silent.
type gateConn struct {
	net.Conn
	gate   *gate
	silent atomic.Bool
}

// Read implements net.Conn; a silent connection reads and never returns data.
func (c *gateConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn; a silent connection drops the data.
func (c *gateConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *gateConn) Close() error {
	c.gate.mu.Lock()
	delete(c.gate.conns, c)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}
