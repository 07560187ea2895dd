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

// trouble is what a relay does to what passes through it.
type trouble int32

const (
	passes trouble = iota
	delays
	silences // swallows everything; connections stay open
	swallowsAnswers
	resets
	troubles
)

const (
	relayDelay = 120 * time.Millisecond
	packetSize = 2048
)

// relay stands between the two ends of a link, for TCP and UDP on one address.
type relay struct {
	target string
	now    atomic.Int32
	tcp    net.Listener
	udp    net.PacketConn

	mu    sync.Mutex
	conns map[net.Conn]bool
	peers map[string]net.Conn
}

func newRelay(t *testing.T, addr, target string) *relay {
	r := &relay{target: target, conns: map[net.Conn]bool{}, peers: map[string]net.Conn{}}
	var err error
	r.tcp, err = net.Listen("tcp", addr)
	require.NoError(t, err)
	r.udp, err = net.ListenPacket("udp", addr)
	require.NoError(t, err)
	go r.accept()
	go r.packets()
	return r
}

func (r *relay) close() {
	r.tcp.Close()
	r.udp.Close()
	r.cut()
}

// disturb makes trouble for a while.
func (r *relay) disturb(rng *rand.Rand) func() {
	kind := trouble(1 + rng.IntN(int(troubles)-1))
	lasts := time.Duration(200+rng.IntN(2500)) * time.Millisecond
	return func() {
		r.now.Store(int32(kind))
		if kind == resets {
			r.cut()
		}
		time.Sleep(lasts)
		r.now.Store(int32(passes))
	}
}

// cut resets every connection.
func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.Close()
	}
	clear(r.conns)
	clear(r.peers)
}

func (r *relay) hold(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = true
}

func (r *relay) drop(c net.Conn) {
	c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

func (r *relay) accept() {
	for {
		c, err := r.tcp.Accept()
		if err != nil {
			return
		}
		if trouble(r.now.Load()) == resets {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
			continue
		}
		go r.connect(c)
	}
}

func (r *relay) connect(c net.Conn) {
	r.hold(c)
	defer r.drop(c)
	to, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	r.hold(to)
	defer r.drop(to)
	go func() {
		r.copy(c, to, true)
		c.Close()
	}()
	r.copy(to, c, false)
}

// passed reports whether something may go on, after the delay in force.
func (r *relay) passed(answer bool) bool {
	switch trouble(r.now.Load()) {
	case delays:
		time.Sleep(relayDelay)
	case silences:
		return false
	case swallowsAnswers:
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
		silent = silent || !r.passed(answer)
		if silent {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// packets passes packets on over one socket a peer.
func (r *relay) packets() {
	buffer := make([]byte, packetSize)
	for {
		n, from, err := r.udp.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || !r.passed(false) {
			continue
		}
		if to := r.peer(from); to != nil {
			// A lost packet is what the link may do anyway.
			_, _ = to.Write(buffer[:n])
		}
	}
}

func (r *relay) peer(from net.Addr) net.Conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if to := r.peers[from.String()]; to != nil {
		return to
	}
	to, err := net.Dial("udp", r.target)
	if err != nil {
		return nil
	}
	r.peers[from.String()], r.conns[to] = to, true
	go r.answers(to, from)
	return to
}

func (r *relay) answers(to net.Conn, back net.Addr) {
	buffer := make([]byte, packetSize)
	for {
		n, err := to.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil && r.passed(true) {
			_, _ = r.udp.WriteTo(buffer[:n], back)
		}
	}
}
