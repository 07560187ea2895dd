// Package relaytest is a UDP relay for tests that loses track of open flows, as
// a middlebox does.
package relaytest

import (
	"net"
	"net/netip"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// Relay forwards UDP between dialling sides and one target, as a middlebox
// that keeps state per flow does.
type Relay struct {
	listener *net.UDPConn
	target   *net.UDPAddr
	mu       sync.Mutex
	flows    map[netip.AddrPort]*flow
}

// flow is one dialling side's port; a forgotten one passes nothing any more.
type flow struct {
	targetConn *net.UDPConn
	dropped    bool
}

// New starts a relay to a target; it ends with the test.
func New(t *testing.T, target string) *Relay {
	t.Helper()
	addr, err := net.ResolveUDPAddr("udp", target)
	require.NoError(t, err)
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	r := &Relay{listener: front, target: addr, flows: make(map[netip.AddrPort]*flow)}
	t.Cleanup(r.close)
	go r.relayRequests()
	return r
}

// Addr is where to dial the target through the relay.
func (r *Relay) Addr() string { return r.listener.LocalAddr().String() }

// DropFlows drops the state of every flow; new ones work.
func (r *Relay) DropFlows() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		f.dropped = true
	}
}

func (r *Relay) close() {
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		f.targetConn.Close()
	}
}

func (r *Relay) relayRequests() {
	buf := make([]byte, 1<<16)
	for {
		n, from, err := r.listener.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if f := r.flow(from); f != nil {
			f.targetConn.Write(buf[:n])
		}
	}
}

// flow returns the flow to forward to, or nil to drop the packet.
func (r *Relay) flow(from netip.AddrPort) *flow {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, ok := r.flows[from]
	if !ok {
		back, err := net.DialUDP("udp", nil, r.target)
		if err != nil {
			return nil
		}
		f = &flow{targetConn: back}
		r.flows[from] = f
		go r.relayReplies(f, from)
	}
	if f.dropped {
		return nil
	}
	return f
}

func (r *Relay) relayReplies(f *flow, to netip.AddrPort) {
	buf := make([]byte, 1<<16)
	for {
		n, err := f.targetConn.Read(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		drop := f.dropped
		r.mu.Unlock()
		if !drop {
			r.listener.WriteToUDPAddrPort(buf[:n], to)
		}
	}
}
