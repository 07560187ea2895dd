package controld

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fireflytray/fireflytray/controlhosts"
	"github.com/fireflytray/fireflytray/directory"
	"github.com/fireflytray/fireflytray/transport"
	"github.com/fireflytray/fireflytray/wire"
)

const (
	dialTimeout = time.Second
	minBackoff  = 50 * time.Millisecond
	maxBackoff  = time.Second
	// leaderTimeout bounds the wait for the leader's answer to a proposal. After it
	// the proposal is retried if it is idempotent, and fails otherwise.
	leaderTimeout = time.Second
)

// links manages the connections that this host dials to the other control hosts.
// They carry messages of the replicated log, proposals to the leader, and the
// directory updates of the other hosts.
type links struct {
	host *Host

	mu sync.Mutex
	// hosts decides which links there are; byAddr has one for each selected host.
	hosts  *controlhosts.Set
	byAddr map[string]*link
	// reported holds the control hosts of the directory, including this one.
	reported []string
	// lastRequest is the number of the last proposal; pending holds the channel
	// for the answer to each unanswered one.
	lastRequest uint64
	pending     map[uint64]chan *wire.Proposed
}

// link is the connection to one control host.
type link struct {
	addr string
	stop context.CancelFunc

	mu   sync.Mutex
	conn *transport.Conn
	// connEnded is closed once conn has ended and all of its messages are handled.
	connEnded chan struct{}
	// cancelWait ends the dial in progress or the wait for the next one.
	cancelWait context.CancelFunc
}

func newLinks(h *Host) *links {
	return &links{host: h, hosts: controlhosts.New(h.opts.Self.ID, controlhosts.MaxListed), byAddr: map[string]*link{}, pending: map[uint64]chan *wire.Proposed{}}
}

// step passes an event to the set of control hosts, and starts and stops links as it
// says.
func (t *links) step(ctx context.Context, ev controlhosts.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	connect, drop := t.hosts.Step(t.host.loop.Now(), ev)
	for _, addr := range drop {
		t.host.log.Info("control host given up", "control", addr, "links", len(t.byAddr)-1)
		t.byAddr[addr].stop()
		delete(t.byAddr, addr)
	}
	for _, addr := range connect {
		t.host.log.Info("control host taken up", "control", addr, "links", len(t.byAddr)+1)
		linkCtx, stop := context.WithCancel(ctx)
		l := &link{addr: addr, stop: stop}
		t.byAddr[addr] = l
		t.host.group.Go(func() error { t.run(linkCtx, l); return nil })
	}
}

// configure takes the control hosts that the settings name.
func (t *links) configure(ctx context.Context, addrs []string) {
	t.step(ctx, controlhosts.Event{Configured: &controlhosts.Configured{Addrs: t.others(addrs)}})
}

// update takes the addresses of the log's members and of recent announcements, which
// are listed beside those of the directory, and whether this host has a fresh quorum.
func (t *links) update(ctx context.Context, addrs []string, fresh bool) {
	t.mu.Lock()
	addrs = append(addrs, t.reported...)
	t.mu.Unlock()
	t.step(ctx, controlhosts.Event{Listed: &controlhosts.Listed{Addrs: t.others(addrs)}})
	t.step(ctx, controlhosts.Event{Informed: &controlhosts.Informed{Yes: fresh}})
}

// setReported records the control hosts of the directory.
func (t *links) setReported(members []wire.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reported = nil
	for _, m := range members {
		t.reported = append(t.reported, m.Peer.Addr)
	}
}

// others returns addrs without that of this host and without repetitions.
func (t *links) others(addrs []string) []string {
	var out []string
	for _, a := range addrs {
		if a != t.host.opts.Self.Addr && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// run dials and serves connections, with a backoff between attempts, until ctx
// ends.
func (t *links) run(ctx context.Context, l *link) {
	backoff := minBackoff
	for ctx.Err() == nil {
		started := time.Now()
		dialCtx, cancel := l.waitContext(ctx)
		err := t.serve(ctx, dialCtx, l)
		if time.Since(started) > maxBackoff {
			backoff = minBackoff
		}
		t.host.log.Debug("no connection to control host", "control", l.addr, "err", err)
		select {
		case <-dialCtx.Done():
		case <-time.After(backoff/2 + rand.N(backoff)):
		}
		backoff = min(2*backoff, maxBackoff)
		if dialCtx.Err() != nil {
			backoff = minBackoff
		}
		cancel()
	}
}

// waitContext returns a context that ends when the control host appears while there
// is no connection to it.
func (l *link) waitContext(ctx context.Context) (context.Context, context.CancelFunc) {
	waitCtx, cancel := context.WithCancel(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancelWait = cancel
	return waitCtx, cancel
}

// appeared dials a control host again at once if there is no connection to it,
// because it has just dialled this host. A dial that began before the other host
// listened would wait for the retransmission of its first packet.
func (t *links) appeared(addr string) {
	t.mu.Lock()
	l := t.byAddr[addr]
	t.mu.Unlock()
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil && l.cancelWait != nil {
		l.cancelWait()
	}
}

// serve dials a control host, until waitCtx ends, and handles one connection until it
// ends.
func (t *links) serve(ctx, waitCtx context.Context, l *link) error {
	dialCtx, cancel := context.WithTimeout(waitCtx, dialTimeout)
	conn, err := transport.Dial(dialCtx, l.addr, wire.RoleControl, t.host.opts.Transport)
	cancel()
	if err != nil {
		return fmt.Errorf("controld: %w", err)
	}
	ended := make(chan struct{})
	defer close(ended)
	l.setConn(conn, ended)
	t.step(ctx, controlhosts.Event{Opened: &controlhosts.Opened{Addr: l.addr}})
	defer t.ended(ctx, l)
	defer l.setConn(nil, nil)
	defer conn.Close("link ended")
	linkCtx, stop := context.WithCancel(ctx)
	defer stop()
	go t.announce(linkCtx, conn)
	for {
		m, _, err := conn.Recv(ctx)
		if err != nil {
			return fmt.Errorf("controld: link to %s: %w", l.addr, err)
		}
		t.handle(l, conn, m)
	}
}

// ended records that the connection of a link has ended.
func (t *links) ended(ctx context.Context, l *link) {
	t.step(ctx, controlhosts.Event{Closed: &controlhosts.Closed{Addr: l.addr}})
	t.host.loop.Post(directory.Event{SourceLost: &directory.SourceLost{Source: directory.Source(l.addr)}})
}

// announce sends announcements that register this host with the other one and
// subscribe to its directory.
func (t *links) announce(ctx context.Context, conn *transport.Conn) {
	ticker := time.NewTicker(peerLease / renewalsPerLease)
	defer ticker.Stop()
	for {
		if err := conn.Send(t.announcement()); err != nil {
			return
		}
		conn.SetAwaitingReply(true)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (t *links) announcement() *wire.Announce {
	return &wire.Announce{
		From: t.host.opts.Self, Seq: t.host.seq.Add(1), Lease: peerLease, Watch: true,
		Replica: t.host.memberManager.ownReplica(),
	}
}

// announceNow announces the configuration in force at this host to all other
// control hosts immediately. A link that is down sends an announcement when it
// reconnects.
func (t *links) announceNow() {
	for _, addr := range t.addrs() {
		_ = t.send(addr, t.announcement())
	}
}

func (t *links) addrs() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]string, 0, len(t.byAddr))
	for addr := range t.byAddr {
		out = append(out, addr)
	}
	return out
}

func (t *links) handle(l *link, conn *transport.Conn, m wire.Message) {
	switch m := m.(type) {
	case *wire.Announced:
		conn.SetAwaitingReply(false)
	case *wire.Directory:
		t.host.loop.Post(directory.Event{Received: &directory.ReceivedDirectory{Source: directory.Source(l.addr), Msg: m}})
	case *wire.Proposed:
		t.deliver(m)
	}
}

func (l *link) setConn(conn *transport.Conn, ended chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn, l.connEnded = conn, ended
}

// errNoLink is returned if there is no connection to a control host.
var errNoLink = errors.New("not connected")

func (t *links) send(addr string, m wire.Message) error {
	_, err := t.sendCall(addr, m)
	return err
}

// sendCall is like send. The channel ended is closed once the connection has ended
// and no answer can follow.
func (t *links) sendCall(addr string, m wire.Message) (ended <-chan struct{}, err error) {
	t.mu.Lock()
	l := t.byAddr[addr]
	t.mu.Unlock()
	if l == nil {
		return nil, errNoLink
	}
	l.mu.Lock()
	conn, ended := l.conn, l.connEnded
	l.mu.Unlock()
	if conn == nil {
		return nil, errNoLink
	}
	return ended, conn.Send(m)
}

// sendRaft sends a message of the replicated log; the message may be lost.
func (t *links) sendRaft(addr string, body []byte) {
	_ = t.send(addr, &wire.Raft{Body: body})
}

// propose sends a proposal to the leader at addr and waits for the answer or the end
// of the connection.
func (t *links) propose(ctx context.Context, addr string, m *wire.Propose) (*wire.Proposed, error) {
	id, ch := t.open()
	defer t.close(id)
	forwarded := *m
	forwarded.Request = id
	ended, err := t.sendCall(addr, &forwarded)
	if err != nil {
		return nil, fmt.Errorf("leader %s: %w", addr, err)
	}
	timer := time.NewTimer(leaderTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil, fmt.Errorf("leader %s: %w: %w", addr, ErrUnknownOutcome, ctx.Err())
	case <-timer.C:
		return nil, fmt.Errorf("leader %s: %w: no answer in %s", addr, ErrUnknownOutcome, leaderTimeout)
	case <-ended:
		// An answer that arrived before the end is in the channel by now.
		select {
		case reply := <-ch:
			return proposed(addr, reply)
		default:
			return nil, fmt.Errorf("leader %s: %w: the connection ended", addr, ErrUnknownOutcome)
		}
	case reply := <-ch:
		return proposed(addr, reply)
	}
}

// proposed returns the leader's answer, or the error that it carries.
func proposed(addr string, reply *wire.Proposed) (*wire.Proposed, error) {
	if err := proposedError(reply); err != nil {
		return nil, fmt.Errorf("leader %s: %w", addr, err)
	}
	return reply, nil
}

// open returns the request number and the answer channel of a new proposal. close
// removes it.
func (t *links) open() (uint64, chan *wire.Proposed) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastRequest++
	ch := make(chan *wire.Proposed, 1)
	t.pending[t.lastRequest] = ch
	return t.lastRequest, ch
}

func (t *links) close(id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pending, id)
}

func (t *links) deliver(m *wire.Proposed) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ch, ok := t.pending[m.Request]; ok {
		delete(t.pending, m.Request)
		ch <- m
	}
}
