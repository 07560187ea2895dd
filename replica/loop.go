package replica

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fireflytray/fireflytray/internal/steadyclock"
	"github.com/fireflytray/fireflytray/raft"
	"github.com/fireflytray/fireflytray/wal"
)

// eventQueueSize is the number of queued events beyond which messages are
// dropped.
const eventQueueSize = 4096

// maxEventBatch bounds the number of events handled before the next save starts.
const maxEventBatch = 1024

// event is an input of the loop; exactly one field is set.
type event struct {
	body []byte
	req  *request
	stop bool
}

// request is an API call.
type request struct {
	kind    requestKind
	ctx     context.Context
	command []byte
	change  raft.Change
	reply   chan result
}

func (q *request) answer(res result) { q.reply <- res }

// waiter is a request whose entry is in the log but not applied.
type waiter struct {
	term uint64
	req  *request
}

// confirmedRead is a read whose index is known but may not be applied yet.
type confirmedRead struct {
	index uint64
	req   *request
}

// pendingTransfer is a transfer request that waits until another replica leads.
type pendingTransfer struct {
	deadline time.Duration
	req      *request
}

// loop is the goroutine that owns a replica's state.
type loop struct {
	r     *Replica
	opt   *Options
	clock steadyclock.Clock

	wal       *wal.WAL
	saver     *saver
	bootstrap *bootstrapper // nil while the replica belongs to a cluster
	node      *raft.Node    // nil while the replica belongs to no cluster

	ident   wal.Identity
	addrs   map[uint64]string // by replica id, as learned from the peers' own messages
	leader  uint64
	applied uint64

	waiters          map[uint64]waiter
	pendingReads     map[uint64]*request
	confirmedReads   []confirmedRead
	readID           uint64
	pendingTransfers []pendingTransfer

	lastSnapshotIndex uint64 // applied index at the last snapshot or failed attempt
	appliedBytes      int    // since the last snapshot
	snapshotBytes     int    // size of the last snapshot
	snapshotting      bool
	stopping          bool
	failure           error
}

func newLoop(r *Replica, w *wal.WAL, st wal.State) (*loop, error) {
	l := &loop{
		r: r, opt: &r.opt, clock: r.opt.newClock(),
		wal: w, ident: st.Identity,
		addrs:        map[uint64]string{},
		waiters:      map[uint64]waiter{},
		pendingReads: map[uint64]*request{},
	}
	if st.Truncated > 0 {
		l.opt.Log("truncated an incomplete write at the end of the log", "bytes", st.Truncated)
	}
	if st.Identity.Phase == wal.PhaseMember {
		return l, l.startNode(st)
	}
	return l, l.startBootstrap()
}

func (l *loop) now() time.Duration { return l.clock.Now() }

// startBootstrap creates the bootstrapper that forms or joins a cluster.
func (l *loop) startBootstrap() error {
	var addrs []string
	for _, m := range l.opt.Bootstrap {
		addrs = append(addrs, m.Addr)
	}
	l.bootstrap = newBootstrapper(l.ident, l.opt.Addr, addrs)
	if !l.opt.Join || l.ident.Phase != wal.PhaseNew {
		return nil
	}
	var eff effects
	l.bootstrap.waitToBeAdded(&eff)
	return l.runEffects(eff)
}

// startNode starts the consensus node from the stored state.
func (l *loop) startNode(st wal.State) error {
	node, err := raft.New(raft.Config{
		ID: l.ident.Replica, Hard: st.Hard, Snapshot: st.Snapshot, Entries: st.Entries,
		Now: l.now(), Seed: l.opt.Seed,
		ElectionTimeout: l.opt.ElectionTimeout, HeartbeatInterval: l.opt.HeartbeatInterval,
	})
	if err != nil {
		return err
	}
	l.bootstrap = nil
	l.node = node
	l.applied = st.Snapshot.Index
	l.lastSnapshotIndex = st.Snapshot.Index
	l.saver = newSaver(l.wal)
	return nil
}

func (l *loop) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !l.stopping && l.failure == nil {
		timer.Reset(min(max(0, l.nextWakeup()-l.now()), steadyclock.MaxSleep))
		l.waitForEvent(timer)
		l.drain()
		if l.node != nil && l.failure == nil {
			l.process()
		}
	}
	l.shutDown()
}

func (l *loop) nextWakeup() time.Duration {
	switch {
	case l.node != nil:
		return l.node.NextTick()
	case l.bootstrap.ident.Phase == wal.PhaseWaiting:
		return l.now() + time.Hour
	}
	return l.bootstrap.nextIntro
}

// waitForEvent blocks until an event, a finished save or the timer, and handles
// it.
func (l *loop) waitForEvent(timer *time.Timer) {
	var done chan saveDone
	if l.saver != nil {
		done = l.saver.done
	}
	select {
	case ev := <-l.r.events:
		l.tick()
		l.handle(ev)
	case d := <-done:
		l.tick()
		l.handleSaveDone(d)
	case <-timer.C:
		l.tick()
	}
}

// drain handles the events that are already queued, so that they share one save.
func (l *loop) drain() {
	for range maxEventBatch {
		if l.stopping || l.failure != nil {
			return
		}
		select {
		case ev := <-l.r.events:
			l.handle(ev)
		default:
			return
		}
	}
}

// tick advances the clock. It runs before the handling of an event, so that a
// process that was suspended first notices that its lease has expired.
func (l *loop) tick() {
	if l.node != nil {
		l.node.Tick(l.now())
		return
	}
	l.stopOnError(l.runEffects(l.bootstrap.tick(l.now())))
}

func (l *loop) handle(ev event) {
	switch {
	case ev.stop:
		l.stopping = true
	case ev.req != nil:
		l.handleRequest(ev.req)
	default:
		l.r.queuedBytes.Add(-int64(len(ev.body)))
		l.handleMessage(ev.body)
	}
}

func (l *loop) stopOnError(err error) {
	if err != nil && l.failure == nil {
		l.failure = err
		l.opt.Log("replica stops on an error", "error", err)
	}
}

func (l *loop) handleSaveDone(d saveDone) {
	switch {
	case d.err != nil:
		l.stopOnError(d.err)
	case d.job.snapshot != nil:
		l.snapshotting = false
		l.node.Compact(*d.job.snapshot)
	default:
		l.node.Advance()
	}
}

// process executes the output of the consensus node until there is none left.
func (l *loop) process() {
	for {
		rd := l.node.Ready()
		if rd.Empty() {
			break
		}
		l.send(rd.Messages)
		if rd.Save != nil {
			l.saver.jobs <- saveJob{save: rd.Save}
		}
		l.apply(rd.Restore, rd.Committed)
		l.handleReadStates(rd.Reads)
	}
	l.updateRole()
	l.maybeSnapshot()
}

func (l *loop) send(msgs []raft.Message) {
	for i := range msgs {
		m := &msgs[i]
		l.sendTo(m.To, l.addrOf(m.To), envelope{Raft: m})
	}
}

func (l *loop) sendTo(to uint64, addr string, e envelope) {
	if addr == "" {
		return
	}
	e.From, e.FromAddr, e.Cluster = l.ident.Replica, l.opt.Addr, l.ident.Cluster
	body, err := e.encode()
	if err != nil {
		l.opt.Log("can't encode a message", "peer", addr, "error", err)
		return
	}
	l.opt.Transport.Send(to, addr, body)
}

// addrOf returns the address of a replica: the one that it last sent from, or
// else the one in the membership.
func (l *loop) addrOf(id uint64) string {
	if addr := l.addrs[id]; addr != "" {
		return addr
	}
	if id == l.ident.Replica {
		return l.opt.Addr
	}
	if l.node == nil {
		return ""
	}
	for _, m := range l.node.Members() {
		if m.ID == id {
			return m.Addr
		}
	}
	return ""
}

// apply restores a snapshot and applies committed entries to the replicated
// state machine, and answers the requests whose entries are applied.
func (l *loop) apply(s *raft.Snapshot, ents []raft.Entry) {
	if s != nil && l.failure == nil {
		l.restore(s)
	}
	for _, e := range ents {
		if l.failure != nil {
			return
		}
		var data []byte
		if e.Kind == raft.EntryCommand {
			data = l.opt.StateMachine.Apply(e.Index, e.Data)
		}
		l.applied = e.Index
		l.appliedBytes += len(e.Data)
		if w, ok := l.waiters[e.Index]; ok {
			delete(l.waiters, e.Index)
			w.req.answer(proposalResult(w, e, data))
		}
	}
}

func proposalResult(w waiter, e raft.Entry, data []byte) result {
	if w.term != e.Term {
		return result{err: ErrUnknownOutcome}
	}
	return result{data: data, index: e.Index}
}

func (l *loop) restore(s *raft.Snapshot) {
	l.failWaiters(ErrUnknownOutcome)
	l.applied, l.lastSnapshotIndex = s.Index, s.Index
	l.appliedBytes, l.snapshotBytes = 0, len(s.Data)
	if s.Index == initialIndex && len(s.Data) == 0 {
		return
	}
	if err := l.opt.StateMachine.Restore(s.Index, s.Data); err != nil {
		l.stopOnError(fmt.Errorf("restore snapshot %d: %w", s.Index, err))
	}
}

func (l *loop) failWaiters(err error) {
	for _, w := range l.waiters {
		w.req.answer(result{err: err})
	}
	clear(l.waiters)
}

func (l *loop) maybeSnapshot() {
	if l.snapshotting || l.failure != nil || !l.snapshotDue() {
		return
	}
	l.appliedBytes = 0
	data, err := l.opt.StateMachine.Snapshot()
	if err != nil {
		l.opt.Log("can't take a snapshot", "error", err)
		l.lastSnapshotIndex = l.applied
		return
	}
	s, ok := l.node.MakeSnapshot(l.applied, data)
	if !ok {
		return
	}
	l.lastSnapshotIndex, l.snapshotBytes = s.Index, len(s.Data)
	l.snapshotting = true
	l.saver.jobs <- saveJob{snapshot: &s}
}

// logShare bounds the work for snapshots of a large state: the log before the next one
// grows to this fraction of the last one, but not beyond maxLogShare bytes.
const (
	logShare    = 2
	maxLogShare = 8 << 20
)

// snapshotDue reports whether enough was applied since the last snapshot, or the state
// has shrunk.
func (l *loop) snapshotDue() bool {
	if l.applied == l.lastSnapshotIndex {
		return false
	}
	c, ok := l.opt.StateMachine.(Compacter)
	shrunk := ok && c.SnapshotDue()
	bytes := max(l.opt.SnapshotBytes, min(l.snapshotBytes/logShare, maxLogShare))
	return shrunk || l.applied >= l.lastSnapshotIndex+l.opt.SnapshotEntries || l.appliedBytes >= bytes
}

// shutDown answers the pending proposals and transfers and closes the files.
func (l *loop) shutDown() {
	l.failWaiters(ErrUnknownOutcome)
	for _, t := range l.pendingTransfers {
		t.req.answer(result{err: ErrStopped})
	}
	var err error
	if l.saver != nil {
		err = l.saver.close()
	} else {
		err = l.wal.Close()
	}
	l.r.err = errors.Join(l.failure, err)
	if l.failure != nil {
		l.r.err = fmt.Errorf("replica %s: %w", formatID(l.ident.Replica), l.failure)
	}
	close(l.r.done)
}
