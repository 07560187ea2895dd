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

// linkFault is a fault that a relay applies to the traffic it forwards.
type linkFault int32

const (
	faultNone linkFault = iota
	faultDelay
	faultBlackhole // drops all data; connections stay open
	faultDropReplies
	faultReset // closes all flows and resets new TCP connections
	faultCount
)

const (
	// relayDelay is added to each packet or read in both directions.
	relayDelay       = 120 * time.Millisecond
	maxDatagramBytes = 2048
)

// relay forwards TCP and UDP traffic from one address to a target and injects
// faults.
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

// drawFault draws a fault and a duration, and returns a function that applies
// the fault for that time.
func (r *relay) drawFault(rng *rand.Rand) func() {
	kind := linkFault(1 + rng.IntN(int(faultCount)-1))
	duration := time.Duration(200+rng.IntN(2500)) * time.Millisecond
	return func() {
		r.fault.Store(int32(kind))
		if kind == faultReset {
			r.resetConns()
		}
		time.Sleep(duration)
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

// applyFault applies the current fault and reports whether data may pass.
func (r *relay) applyFault(isReply bool) bool {
	switch linkFault(r.fault.Load()) {
	case faultDelay:
		time.Sleep(relayDelay)
	case faultBlackhole:
		return false
	case faultDropReplies:
		return !isReply
	}
	return true
}

// copy forwards a stream. Once data has been dropped, the stream is corrupt, so
// all later data is dropped as well.
func (r *relay) copy(to io.Writer, from io.Reader, isReply bool) {
	buffer := make([]byte, 32<<10)
	dropping := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		dropping = dropping || !r.applyFault(isReply)
		if dropping {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// proxyUDP forwards packets, with one socket per peer.
func (r *relay) proxyUDP() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := r.udp.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || !r.applyFault(false) {
			continue
		}
		if to := r.peerConn(from); to != nil {
			// Packet loss is allowed on the link, so errors are ignored.
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

func (r *relay) proxyReplies(to net.Conn, client net.Addr) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, err := to.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil && r.applyFault(true) {
			_, _ = r.udp.WriteTo(buffer[:n], client)
		}
	}
}
