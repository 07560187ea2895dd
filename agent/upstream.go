package agent

import (
	"math"
	"time"

	"github.com/fireflytray/fireflytray/task"
)

// upstream is what the agent knows of the process that it starts tasks at.
type upstream struct {
	Upstream
	// leaseUntil is when the lease runs out; zero while no lease is held.
	leaseUntil time.Duration
	leaving    bool
	// unreachable is set when no connection could be made or a probe failed,
	// until a probe succeeds.
	unreachable bool
	probing     bool
	// busyUntil is set while the upstream runs tasks that this agent doesn't
	// know, such as those of its predecessor.
	busyUntil time.Duration
	probeAt   time.Duration
	// measuredFree is what the last measurement leaves free, less what was started
	// since.
	measuredFree task.Resources
	measured     bool
}

// open reports whether tasks may start.
func (u *upstream) open() bool { return u.leaseUntil > 0 && !u.leaving && !u.unreachable }

// fits reports whether need is free now, beside the running tasks.
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

// usage takes a measurement of the time takenAt. Tasks started after that come
// on top.
func (u *upstream) usage(inUse task.Resources, takenAt time.Duration, running []*record) {
	u.measured = true
	u.measuredFree = u.Offered.Sub(inUse)
	for _, r := range running {
		if r.started > takenAt {
			u.measuredFree = u.measuredFree.Sub(r.need)
		}
	}
}

func (u *upstream) reserve(need task.Resources) { u.measuredFree = u.measuredFree.Sub(need) }

func (u *upstream) unreserve(need task.Resources) {
	sum := u.measuredFree.Add(need)
	u.measuredFree = u.Offered.Sub(u.Offered.Sub(sum))
}

// announce takes an upstream's announcement: a new one, a renewal or a change.
func (s *State) announce(a Upstream) {
	u := &s.up
	if u.leaseUntil == 0 || a.Instance != u.Instance {
		s.dropUpstream(task.ReasonUpstreamGone)
		*u = upstream{Upstream: a}
		s.health.failedSubmissions = s.health.failedSubmissions[:0]
		s.pace = pace{}
		s.emit(UseUpstream{Upstream: a})
	}
	if a.Addr != u.Addr || a.Connections != u.Connections {
		s.emit(UseUpstream{Upstream: a})
	}
	u.Upstream = a
	u.leaseUntil = s.now + max(a.Lease, time.Millisecond)
	if a.Draining {
		s.leave(a.Instance)
	}
}

// leave closes the upstream to new tasks; running ones end normally.
func (s *State) leave(instance string) {
	if s.up.leaseUntil == 0 || s.up.Instance != instance || s.up.leaving {
		return
	}
	s.up.leaving = true
	s.refuseQueued(task.ReasonDraining)
}

// dropUpstream gives up the upstream: whether its running tasks ended is unknown.
func (s *State) dropUpstream(why task.Reason) {
	s.up.leaseUntil = 0
	s.refuseQueued(task.ReasonNoUpstream)
	for len(s.running) > 0 {
		r := s.running[len(s.running)-1]
		s.emit(AbandonRun{Run: r.run, ID: r.id})
		s.end(r, task.Outcome{State: task.Unknown, Reason: why, Ran: s.now - r.started})
	}
}

// markUnreachable closes the upstream to new tasks until a probe succeeds.
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

func (s *State) probed(ev Probed) {
	if s.up.leaseUntil == 0 || ev.Instance != s.up.Instance {
		return
	}
	s.up.probing = false
	if ev.OK {
		s.up.unreachable = false
		return
	}
	s.markUnreachable()
	s.up.probeAt = s.now + s.cfg.CheckInterval
}

// expireUpstream acts on what has come due at the upstream.
func (s *State) expireUpstream() {
	u := &s.up
	if u.leaseUntil == 0 {
		return
	}
	if s.now >= u.leaseUntil && (!u.leaving || len(s.running) == 0) {
		s.dropUpstream(task.ReasonUpstreamGone)
		return
	}
	if u.unreachable && !u.probing && s.now >= u.probeAt {
		s.probe()
	}
}

func (s *State) refuseQueued(why task.Reason) {
	for s.queue.len() > 0 {
		s.refuse(s.queue.last(), why)
	}
}

// meanNeedWeight is the share of a new task in the mean of what tasks need.
const meanNeedWeight = 0.05

// meanNeed is a mean of the resources that tasks take.
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

// estimateSlots returns how many tasks of a typical need fit, as an estimate: each
// start is checked against the resources themselves.
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
