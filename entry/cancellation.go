package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

const (
	// cancellationTimeout bounds the time in which the agents that keep the lock of a job
	// answer for it.
	cancellationTimeout = time.Second
	// membersTimeout bounds the same while the entry may not know all of these agents.
	membersTimeout = 1500 * time.Millisecond
	// maxCancellations bounds the cancellations that wait for answers.
	maxCancellations = 1 << 10
)

// cancellation is the cancellation of a job that another entry may hold. The agents that
// may keep the lock of the job pass it on.
type cancellation struct {
	request uint64
	ref     string
	since   time.Duration
	// until is when it is decided at the latest.
	until time.Duration
	asked []askedMember
	// majority is the number of members that must say that no entry holds the job, absent
	// the number of those that have.
	majority, absent int
	// incomplete is set if there may be members that the entry doesn't know.
	incomplete bool
	decided    bool
}

type askedMember struct {
	agent    *agent
	session  uint64
	answered bool
}

// cancelJob asks the members for the lock of a job that are in reach. It asks all of them:
// a submission under way may have reached only one. While some agents may be unknown, so
// may be members; it then asks all agents that keep locks, of which one that knows the job
// ends it, but none can say that there is no such job. Once all are known, it asks again.
func (e *Entry) cancelJob(ev CancelJob) {
	members := e.lockAgentsOf(ev.Ref)
	if !e.lockAgentsKnown() {
		members = e.lockAgents
	}
	if len(members) == 0 && e.anyConnected() && !e.anyKeepsLocks() {
		// Nobody knows of other entries' jobs.
		e.emit(JobCancelled{Request: ev.Request, Outcome: task.NoSuchJob})
		return
	}
	c := &cancellation{request: ev.Request, ref: ev.Ref, since: e.now, until: e.now + cancellationTimeout}
	if !e.lockAgentsKnown() {
		c.until = e.now + membersTimeout
	}
	if len(e.cancellations) >= maxCancellations || e.ask(c, members) == 0 && !c.incomplete {
		e.decideCancellation(c, task.CancellationUnknown)
		return
	}
	e.cancellations[c.request] = c
	e.arm(timer{at: c.until, kind: timerCancellation, cancellation: c})
	if c.incomplete {
		e.arm(timer{at: e.listedSince + agentsListedWithin, kind: timerCancellation, cancellation: c})
	}
}

// ask asks the members that are in reach and returns their number.
func (e *Entry) ask(c *cancellation, members []*agent) int {
	c.asked, c.absent, c.majority, c.incomplete = nil, 0, len(members)/2+1, !e.lockAgentsKnown()
	for _, a := range members {
		if a.link != linkOpen {
			continue
		}
		c.asked = append(c.asked, askedMember{agent: a, session: a.session})
		a.toWithdraw = append(a.toWithdraw, wire.Withdrawal{Request: c.request, Ref: c.ref})
		e.markDirty(a)
	}
	return len(c.asked)
}

// cancellationDue decides a cancellation whose time is over, or asks the members for it
// once they are known.
func (e *Entry) cancellationDue(c *cancellation) {
	switch {
	case c.decided:
	case e.now >= c.until:
		e.decideCancellation(c, task.CancellationUnknown)
	case c.incomplete && e.lockAgentsKnown():
		if e.ask(c, e.lockAgentsOf(c.ref)) == 0 {
			e.decideCancellation(c, task.CancellationUnknown)
		}
	}
}

// askMembersAgain asks the members for the cancellations that began before all agents were
// known.
func (e *Entry) askMembersAgain() {
	for _, request := range slices.Sorted(maps.Keys(e.cancellations)) {
		e.cancellationDue(e.cancellations[request])
	}
}

// handleWithdrawn handles an agent's answers to cancellations. An agent that may not know
// each lock can't say that no entry holds a job.
func (e *Entry) handleWithdrawn(a *agent, answers []wire.WithdrawalAnswer) {
	for _, w := range answers {
		c := e.cancellations[w.Request]
		if c == nil || !c.answeredBy(a) {
			continue
		}
		if w.Found {
			e.decideCancellation(c, task.Cancelled)
			continue
		}
		if e.knowsLocks(a) && !c.incomplete {
			c.absent++
		}
		switch {
		case c.absent >= c.majority:
			e.decideCancellation(c, task.NoSuchJob)
		case c.answeredByAll() && !c.incomplete:
			e.decideCancellation(c, task.CancellationUnknown)
		}
	}
}

// answeredBy records the answer of an agent and reports whether it is the first one on the
// session on which the agent was asked.
func (c *cancellation) answeredBy(a *agent) bool {
	for i := range c.asked {
		if m := &c.asked[i]; m.agent == a && m.session == a.session && !m.answered {
			m.answered = true
			return true
		}
	}
	return false
}

func (c *cancellation) answeredByAll() bool {
	for i := range c.asked {
		if !c.asked[i].answered {
			return false
		}
	}
	return true
}

// decideCancellation answers a cancellation that is not decided yet.
func (e *Entry) decideCancellation(c *cancellation, outcome task.Cancellation) {
	if c.decided {
		return
	}
	c.decided = true
	delete(e.cancellations, c.request)
	e.emit(JobCancelled{Request: c.request, Outcome: outcome})
	if !e.opts.Trace {
		return
	}
	answered := 0
	for i := range c.asked {
		if c.asked[i].answered {
			answered++
		}
	}
	e.emit(Decision{Ref: c.ref, Message: "cancellation passed on", At: e.now, Inputs: []any{
		"request", c.request, "outcome", outcome, "asked", len(c.asked), "answered", answered, "absent", c.absent,
		"majority", c.majority, "incomplete", c.incomplete, "after", e.now - c.since,
	}})
}

// handleCancelled cancels submissions whose jobs were cancelled at other entries. The
// acknowledgement of the report confirms it.
func (e *Entry) handleCancelled(a *agent, list []wire.LockRef) {
	for i := range list {
		r := &list[i]
		e.markDirty(a)
		s := e.subs[r.Submission]
		switch {
		case s != nil:
			e.emitLock(s, "cancelled at another entry", a)
			e.cancel(Cancel{IDs: []task.SubmissionID{r.Submission}})
		case e.lingering[r.Submission] == nil:
			a.toRelease = append(a.toRelease, wire.LockRef{Ref: r.Ref, Submission: r.Submission})
		}
	}
}
