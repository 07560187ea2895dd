// Package relaytest provides a UDP relay for tests that can drop the state of
// open flows, as a NAT or firewall does.
package relaytest

import (
	"net"
	"net/netip"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// Relay forwards UDP between dialling sides and one target. It keeps state per
// flow, as a NAT does.
type Relay struct {
	listener *net.UDPConn
	target   *net.UDPAddr
	mu       sync.Mutex
	flows    map[netip.AddrPort]*flow
}

// flow is the state of one dialling side's port. A dropped flow forwards
// nothing.
type flow struct {
	targetConn *net.UDPConn
	dropped    bool
}

// New starts a relay to target; it is stopped at the end of the test.
func New(t *testing.T, target string) *Relay {
	t.Helper()
	addr, err := net.ResolveUDPAddr("udp", target)
	require.NoError(t, err)
	listener, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	r := &Relay{listener: listener, target: addr, flows: make(map[netip.AddrPort]*flow)}
	t.Cleanup(r.close)
	go r.relayRequests()
	return r
}

// Addr returns the address at which the relay accepts packets for the target.
func (r *Relay) Addr() string { return r.listener.LocalAddr().String() }

// DropFlows drops the state of all open flows. Flows opened later are forwarded.
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
		targetConn, err := net.DialUDP("udp", nil, r.target)
		if err != nil {
			return nil
		}
		f = &flow{targetConn: targetConn}
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
