package soak

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// linkFault is what a relay does to what passes through it.
type linkFault int32

const (
	faultNone linkFault = iota
	faultDelay
	faultBlackhole // swallows everything; connections stay open
	faultDropReplies
	faultReset
	faultCount
)

const (
	relayDelay = 120 * time.Millisecond
	packetSize = 2048
)

// relay stands between the two ends of a link, for TCP and UDP on one address.
type relay struct {
	target string
	fault  atomic.Int32
	tcp    net.Listener
	udp    net.PacketConn

	mu        sync.Mutex
	conns     map[net.Conn]bool
	peerConns map[string]net.Conn
}

func newRelay(t *testing.T, addr, target string) *relay {
	r := &relay{target: target, conns: map[net.Conn]bool{}, peerConns: map[string]net.Conn{}}
	var err error
	r.tcp, err = net.Listen("tcp", addr)
	require.NoError(t, err)
	r.udp, err = net.ListenPacket("udp", addr)
	require.NoError(t, err)
	go r.acceptTCP()
	go r.proxyUDP()
	return r
}

func (r *relay) close() {
	r.tcp.Close()
	r.udp.Close()
	r.resetConns()
}

// drawFault makes trouble for a while.
func (r *relay) drawFault(rng *rand.Rand) func() {
	kind := linkFault(1 + rng.IntN(int(faultCount)-1))
	lasts := time.Duration(200+rng.IntN(2500)) * time.Millisecond
	return func() {
		r.fault.Store(int32(kind))
		if kind == faultReset {
			r.resetConns()
		}
		time.Sleep(lasts)
		r.fault.Store(int32(faultNone))
	}
}

// resetConns resets every connection.
func (r *relay) resetConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.Close()
	}
	clear(r.conns)
	clear(r.peerConns)
}

func (r *relay) track(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = true
}

func (r *relay) untrack(c net.Conn) {
	c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

func (r *relay) acceptTCP() {
	for {
		c, err := r.tcp.Accept()
		if err != nil {
			return
		}
		if linkFault(r.fault.Load()) == faultReset {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
			continue
		}
		go r.proxyTCP(c)
	}
}

func (r *relay) proxyTCP(c net.Conn) {
	r.track(c)
	defer r.untrack(c)
	to, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	r.track(to)
	defer r.untrack(to)
	go func() {
		r.copy(c, to, true)
		c.Close()
	}()
	r.copy(to, c, false)
}

// applyFault reports whether something may go on, after the delay in force.
func (r *relay) applyFault(answer bool) bool {
	switch linkFault(r.fault.Load()) {
	case faultDelay:
		time.Sleep(relayDelay)
	case faultBlackhole:
		return false
	case faultDropReplies:
		return !answer
	}
	return true
}

// copy passes a stream on. What is swallowed breaks the stream, so that it is
// silent from then on.
func (r *relay) copy(to io.Writer, from io.Reader, answer bool) {
	buffer := make([]byte, 32<<10)
	silent := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		silent = silent || !r.applyFault(answer)
		if silent {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// proxyUDP passes packets on over one socket a peer.
func (r *relay) proxyUDP() {
	buffer := make([]byte, packetSize)
	for {
		n, from, err := r.udp.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || !r.applyFault(false) {
			continue
		}
		if to := r.peerConn(from); to != nil {
			// A lost packet is what the link may do anyway.
			_, _ = to.Write(buffer[:n])
		}
	}
}

func (r *relay) peerConn(from net.Addr) net.Conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if to := r.peerConns[from.String()]; to != nil {
		return to
	}
	to, err := net.Dial("udp", r.target)
	if err != nil {
		return nil
	}
	r.peerConns[from.String()], r.conns[to] = to, true
	go r.proxyReplies(to, from)
	return to
}

func (r *relay) proxyReplies(to net.Conn, back net.Addr) {
	buffer := make([]byte, packetSize)
	for {
		n, err := to.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil && r.applyFault(true) {
			_, _ = r.udp.WriteTo(buffer[:n], back)
		}
	}
}
