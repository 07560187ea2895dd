package agent

import (
	"math"
	"time"

	"github.com/fireflytray/fireflytray/task"
)

// upstream is the agent's view of the process on which it starts tasks.
type upstream struct {
	Upstream
	// largest holds the most of each resource that this instance has offered. Its
	// capacity may shrink and grow while it runs.
	largest task.Resources
	// leaseUntil is when the lease expires; zero without a lease.
	leaseUntil time.Duration
	leaving    bool
	// unannounced is set once the lease has expired while a leased upstream still has
	// runs, whose ends are reported. It is cleared by the next announcement.
	unannounced bool
	// unreachable is set when a connection attempt or probe fails, a run check
	// gets no answer or the upstream is reported silent. It is cleared when a
	// probe succeeds.
	unreachable bool
	probing     bool
	// busyUntil is the end of the pause after the upstream rejected a task as
	// busy, which happens while it runs tasks unknown to this agent, such as
	// those of the agent's predecessor.
	busyUntil time.Duration
	probeAt   time.Duration
	// measuredFree is the free resources by the last measurement, minus the
	// needs of tasks started since and plus those of tasks ended since.
	measuredFree task.Resources
	measured     bool
}

// acceptsTasks reports whether tasks may start.
func (u *upstream) acceptsTasks() bool {
	return u.leaseUntil > 0 && !u.leaving && !u.unannounced && !u.unreachable
}

// fits reports whether the resources of need are free, given the running tasks
// and the last measurement.
func (u *upstream) fits(need task.Resources, running []*record) bool {
	if need == (task.Resources{}) {
		return true
	}
	free := u.Offered
	for _, r := range running {
		free = free.Sub(r.need)
	}
	return need.Fits(free) && (!u.measured || need.Fits(u.measuredFree))
}

// applyUsage applies a measurement taken at takenAt. The needs of tasks started
// after that are added to it.
func (u *upstream) applyUsage(inUse task.Resources, takenAt time.Duration, running []*record) {
	u.measured = true
	u.measuredFree = u.Offered.Sub(inUse)
	for _, r := range running {
		if r.started > takenAt {
			u.measuredFree = u.measuredFree.Sub(r.need)
		}
	}
}

func (u *upstream) reserve(need task.Resources) { u.measuredFree = u.measuredFree.Sub(need) }

// unreserve adds the need of an ended task to the free resources, up to those
// offered.
func (u *upstream) unreserve(need task.Resources) {
	sum := u.measuredFree.Add(need)
	u.measuredFree = u.Offered.Sub(u.Offered.Sub(sum))
}

// handleAnnouncement processes an announcement from a new upstream, or a lease
// renewal or change of the current one.
func (s *State) handleAnnouncement(a Upstream) {
	u := &s.up
	if u.leaseUntil == 0 || a.Instance != u.Instance {
		s.replaceUpstream(a)
		*u = upstream{Upstream: a}
		s.health.failedSubmissions = s.health.failedSubmissions[:0]
		s.runTimeRatio = runTimeRatio{}
		s.warmUp = ramp{}
		s.emit(UseUpstream{Upstream: a})
	}
	if a.Addr != u.Addr || a.Connections != u.Connections {
		s.emit(UseUpstream{Upstream: a})
	}
	u.largest = u.largest.Max(a.Offered)
	shrunk := !u.Offered.Fits(a.Offered)
	u.Upstream = a
	if shrunk {
		s.refuseOversized()
	}
	u.leaseUntil, u.unannounced = s.now+max(a.Lease, time.Millisecond), false
	if _, cold := s.warmUp.nextStep(s.now); !cold && a.ColdFor > 0 {
		s.emit(ColdUpstream{Instance: a.Instance, For: a.ColdFor})
	}
	s.warmUp.setRemaining(s.now, a.ColdFor)
	if a.Draining {
		s.upstreamLeaving(a.Instance)
	}
}

// refuseOversized refuses the queued tasks that need more than the upstream offers
// now. They fit others, or this one later.
func (s *State) refuseOversized() {
	for i := 0; i < s.queue.len(); i++ {
		if r := s.queue.recs[i]; !r.need.Fits(s.up.Offered) {
			s.refuse(r, task.ReasonBusy)
			i--
		}
	}
}

// upstreamLeaving refuses queued and new tasks, because the upstream accepts no
// more; running tasks end normally.
func (s *State) upstreamLeaving(instance string) {
	if s.up.leaseUntil == 0 || s.up.Instance != instance || s.up.leaving {
		return
	}
	s.up.leaving = true
	s.refuseQueued(task.ReasonDraining)
}

// replaceUpstream gives up the present upstream for another process. The end of each run
// of a leased one is reported, and some of them may go on at its successor.
func (s *State) replaceUpstream(next Upstream) {
	if s.up.leaseUntil > 0 && s.up.Leased && next.Leased {
		s.refuseQueued(task.ReasonNoUpstream)
		return
	}
	s.dropUpstream(task.ReasonUpstreamGone)
}

// dropUpstream abandons the upstream. The outcome of its running tasks is
// unknown.
func (s *State) dropUpstream(reason task.Reason) {
	s.up.leaseUntil = 0
	s.refuseQueued(task.ReasonNoUpstream)
	for len(s.running) > 0 {
		r := s.running[len(s.running)-1]
		s.emit(AbandonRun{Run: r.run, ID: r.id})
		s.endTask(r, task.Outcome{State: task.Unknown, Reason: reason, Ran: s.now - r.started})
	}
}

// markUnreachable refuses queued and new tasks until a probe succeeds.
func (s *State) markUnreachable() {
	if s.up.leaseUntil == 0 || s.up.unreachable {
		return
	}
	s.up.unreachable = true
	s.refuseQueued(task.ReasonUpstreamGone)
	s.probe()
}

func (s *State) probe() {
	if s.up.probing {
		return
	}
	s.up.probing = true
	s.emit(ProbeUpstream{Instance: s.up.Instance})
}

// probed processes the result of a health probe. A failed probe is repeated after
// CheckInterval.
func (s *State) probed(ev Probed) {
	if s.up.leaseUntil == 0 || ev.Instance != s.up.Instance {
		return
	}
	s.up.probing = false
	if ev.OK {
		s.withdrawCrash()
		s.up.unreachable = false
		return
	}
	s.markUnreachable()
	s.up.probeAt = s.now + s.cfg.CheckInterval
}

// expireUpstream handles the expiry of the upstream's lease and starts a due
// probe.
func (s *State) expireUpstream() {
	u := &s.up
	if u.leaseUntil == 0 {
		return
	}
	switch {
	case s.now < u.leaseUntil:
	case len(s.running) == 0 || !u.leaving && !u.Leased:
		s.dropUpstream(task.ReasonUpstreamGone)
		return
	case !u.leaving && !u.unannounced:
		u.unannounced = true
		s.refuseQueued(task.ReasonNoUpstream)
	}
	if u.unreachable && !u.probing && s.now >= u.probeAt {
		s.probe()
	}
}

// refuseQueued refuses all queued tasks.
func (s *State) refuseQueued(reason task.Reason) {
	for s.queue.len() > 0 {
		s.refuse(s.queue.last(), reason)
	}
}

// meanNeedWeight is the weight of a new task in meanNeed.
const meanNeedWeight = 0.05

// meanNeed is a moving average of the resource needs of tasks.
type meanNeed struct{ cpu, memory, accelerators float64 }

func (n *meanNeed) observe(r task.Resources) {
	if *n == (meanNeed{}) {
		*n = meanNeed{float64(r.MilliCPU), float64(r.MemoryMB), float64(r.Accelerators)}
		return
	}
	n.cpu += meanNeedWeight * (float64(r.MilliCPU) - n.cpu)
	n.memory += meanNeedWeight * (float64(r.MemoryMB) - n.memory)
	n.accelerators += meanNeedWeight * (float64(r.Accelerators) - n.accelerators)
}

// slots returns how many tasks the upstream runs concurrently when it is warm.
func (u *upstream) slots(n meanNeed) int {
	if u.Leased {
		return u.estimateSlots(n)
	}
	return int(min(u.Slots, u.Connections))
}

// estimateSlots returns about how many tasks with the average need fit. The
// estimate suffices because each start is checked against the actual resources.
func (u *upstream) estimateSlots(n meanNeed) int {
	slots := math.Inf(1)
	for _, part := range [][2]float64{
		{float64(u.Offered.MilliCPU), n.cpu},
		{float64(u.Offered.MemoryMB), n.memory},
		{float64(u.Offered.Accelerators), n.accelerators},
	} {
		if part[1] > 0 {
			slots = min(slots, part[0]/part[1])
		}
	}
	if math.IsInf(slots, 1) {
		return int(u.Slots)
	}
	return max(1, int(math.Round(slots)))
}
