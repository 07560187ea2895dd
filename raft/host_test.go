package raft_test

import (
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/raft"
	"github.com/fireflytray/fireflytray/wal"
	"github.com/fireflytray/fireflytray/wal/waltest"
)

// never is later than any simulated time.
const never = time.Duration(1 << 62)

// host is a simulated host: a data folder and the replica that runs on it.
type host struct {
	s  *sim
	id uint64
	fs *waltest.FS

	wal          *wal.WAL
	node         *raft.Node // nil while the host is down
	reg          register
	applied      uint64
	ops          map[uint64]*op
	reads        map[uint64]uint64 // the lowest valid index of each read, by id
	saving       *raft.Save
	saveDoneAt   time.Duration
	frozen       bool
	inbox        []raft.Message
	clockRate    time.Duration // in percent of the simulation's clock
	startedAt    time.Duration // on the host's clock
	diskLost     bool          // the data folder is lost for good
	durableIndex uint64        // the last index that is durable on it
}

// start opens the data folder and starts the replica. The first start saves
// initial.
func (h *host) start(initial *raft.Save) {
	t := h.s.t
	w, st, err := wal.Open(h.fs, "/data", func() uint64 { return h.id })
	require.NoError(t, err)
	require.Equal(t, h.id, st.Identity.Replica)
	h.wal = w
	if initial != nil {
		require.NoError(t, w.Save(initial))
		st.Hard, st.Snapshot = initial.Hard, *initial.Snapshot
	}
	h.node, err = raft.New(raft.Config{
		ID: h.id, Hard: st.Hard, Snapshot: st.Snapshot, Entries: st.Entries,
		Now: h.now(), Seed: h.s.rng.Uint64(), KeepEntries: keepEntries,
		MaxBatchBytes: maxBatchBytes, MaxInflight: maxInflight, ChunkBytes: chunkBytes,
	})
	require.NoError(t, err)
	h.startedAt = h.now()
	h.reg = register{}
	h.applied = st.Snapshot.Index
	h.ops = map[uint64]*op{}
	h.reads = map[uint64]uint64{}
	h.saving, h.saveDoneAt, h.frozen, h.inbox = nil, never, false, nil
	h.processReady()
}

// crash ends the process. A save in progress is lost or torn.
func (h *host) crash() {
	if h.saving != nil && h.s.rng.IntN(2) == 0 {
		h.fs.FailSyncs(true)
		require.Error(h.s.t, h.wal.Save(h.saving))
		h.fs.FailSyncs(false)
	}
	h.fs.Crash()
	h.node = nil
	h.saveDoneAt = never
}

// now returns the time on the host's own clock.
func (h *host) now() time.Duration { return h.s.now * h.clockRate / 100 }

func (h *host) nextEventAt() time.Duration {
	if h.node == nil || h.frozen {
		return never
	}
	tick := (h.node.NextTick()*100 + h.clockRate - 1) / h.clockRate
	return min(tick, h.saveDoneAt)
}

// runDue handles the timers and the save that are due at the current time.
func (h *host) runDue() {
	h.node.Tick(h.now())
	if h.saveDoneAt <= h.s.now {
		require.NoError(h.s.t, h.wal.Save(h.saving))
		h.saving, h.saveDoneAt = nil, never
		h.node.Advance()
	}
	h.processReady()
}

func (h *host) receive(m raft.Message) {
	switch {
	case h.node == nil:
	case h.frozen:
		h.inbox = append(h.inbox, m)
	default:
		h.node.Tick(h.now())
		h.node.Step(h.now(), m)
		h.processReady()
	}
}

func (h *host) unfreeze() {
	h.frozen = false
	for _, m := range h.inbox {
		h.receive(m)
	}
	h.inbox = nil
}

// processReady carries out the work that Ready returns.
func (h *host) processReady() {
	for {
		rd := h.node.Ready()
		if rd.Empty() {
			break
		}
		for _, m := range rd.Messages {
			h.s.send(m)
		}
		if rd.Save != nil {
			require.Nil(h.s.t, h.saving)
			h.saving = rd.Save
			h.saveDoneAt = h.s.now + h.s.randomDuration(time.Millisecond, 20*time.Millisecond)
		}
		h.apply(rd)
	}
	h.durableIndex = h.node.Durable()
	h.s.checkLeader(h)
}

func (h *host) apply(rd raft.Ready) {
	if rd.Restore != nil {
		h.applied = rd.Restore.Index
		h.reg.decode(rd.Restore.Data)
		clear(h.ops)
	}
	for _, e := range rd.Committed {
		require.Equal(h.s.t, h.applied+1, e.Index)
		h.applied = e.Index
		h.s.oracle.recordCommitted(h.s.t, e)
		result := ""
		if e.Kind == raft.EntryCommand {
			result = h.reg.apply(e.Data)
		}
		h.answer(e, result)
	}
	for _, r := range rd.Reads {
		if lowest, ok := h.reads[r.ID]; ok {
			require.GreaterOrEqual(h.s.t, r.Index, lowest, "a read missed an accepted write")
			delete(h.reads, r.ID)
			h.s.readsAnswered++
		}
	}
}

func (h *host) answer(e raft.Entry, result string) {
	o := h.ops[e.Index]
	if o == nil {
		return
	}
	delete(h.ops, e.Index)
	if o.term != e.Term {
		h.s.oracle.recordRefused(h.s.t, o.id)
		return
	}
	h.s.oracle.recordAccepted(h.s.t, o, result)
}

// snapshot saves a snapshot at the applied index and compacts the log.
func (h *host) snapshot() {
	if h.saving != nil {
		return
	}
	s, ok := h.node.MakeSnapshot(h.applied, h.reg.encode())
	if !ok {
		return
	}
	require.NoError(h.s.t, h.wal.SaveSnapshot(s))
	h.node.Compact(s)
}
