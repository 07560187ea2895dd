package entry

import (
	"fmt"
	"maps"
	"time"

	"github.com/fireflytray/fireflytray/task"
)

// Stats counts the activity of an entry since its start.
type Stats struct {
	Submitted uint64
	Answered  map[task.State]uint64
	Reasons   map[task.Reason]uint64
	// Placed counts assignments. Refused counts assignments that ended as not
	// run.
	Placed  uint64
	Refused uint64
	// Evacuated counts the refused assignments whose agents' failure domain is
	// evacuated.
	Evacuated uint64
	// Shed counts submissions refused because agents answer this entry too slowly.
	Shed uint64
	// NoRoomForSubmissions and NoRoomForBytes count submissions refused because of
	// Options.MaxSubmissions and MaxBytes.
	NoRoomForSubmissions, NoRoomForBytes uint64
	// GuiltyTasks counts tasks that were found to crash upstreams, Isolated the
	// assignments that agents have to keep apart because an upstream crashed under
	// their tasks.
	GuiltyTasks uint64
	Isolated    uint64
	// Retries counts further attempts at tasks that may have run.
	Retries uint64
	// PlacedTooSlow counts tasks placed on an upstream that was predicted to miss
	// the job's objective while others would have met it. WaitedForFaster counts
	// tasks placed in time of jobs that had waited for a faster upstream.
	PlacedTooSlow   uint64
	WaitedForFaster uint64
	// Sent and Received count messages to and from agents. Wasted counts those
	// of them that made no progress on any task.
	Sent     uint64
	Received uint64
	Wasted   Waste
	// LateResults counts results of attempts that had already ended.
	// OrphanedResults counts attempts that ended after their submission was
	// answered.
	LateResults     uint64
	OrphanedResults uint64
}

// Waste counts, by cause, messages that made no progress on any task.
type Waste struct {
	// Acks counts updates that only acknowledge or cancel.
	Acks uint64
	// Demands counts updates that only announce waiting tasks.
	Demands uint64
	// Credits counts reports of credit that was not needed immediately.
	Credits uint64
	// Refusals counts assignments that ended as not run.
	Refusals uint64
	// Late counts reports with nothing new or with no result that was still
	// needed.
	Late uint64
	// Locks counts messages that only carry requests for job locks, withdrawals or
	// answers to them.
	Locks uint64
}

// Total returns the sum over all causes.
func (w Waste) Total() uint64 {
	return w.Acks + w.Demands + w.Credits + w.Refusals + w.Late + w.Locks
}

func (s *Stats) answered(a task.Answer) {
	if s.Answered == nil {
		s.Answered = make(map[task.State]uint64)
		s.Reasons = make(map[task.Reason]uint64)
	}
	s.Answered[a.State]++
	if a.Reason != task.ReasonNone {
		s.Reasons[a.Reason]++
	}
}

// AgentView is the state of an agent for status pages.
type AgentView struct {
	ID          string
	Domain      string
	Service     string
	Connected   bool
	Evacuated   bool
	Slow        bool
	Slots       int
	Credit      int
	Outstanding int
	Others      int
	// Speed is that of its upstream relative to the service's mean one, zero if
	// unknown.
	Speed float64
}

// View is a snapshot of the state that status pages show.
type View struct {
	Stats       Stats
	ConfigIndex uint64
	// ConfigAge is the time since the configuration took effect.
	ConfigAge time.Duration
	InFlight  int
	// Bytes is what the submissions in flight take of Options.MaxBytes.
	Bytes    int
	Waiting  map[string]int
	Agents   []AgentView
	Draining bool
	// Turnaround is the median time of agents to an answer, zero if unknown.
	Turnaround time.Duration
	// Unlockable is about the share of jobs whose lock this entry can't get.
	Unlockable float64
	// Confined lists the kinds of tasks that may run on a few agents only.
	Confined []ConfinedView
}

// ConfinedView is a confined kind for status pages.
type ConfinedView struct {
	Service string
	Kind    string
	Agents  []string
	For     time.Duration
}

// View returns a snapshot for status pages.
func (e *Entry) View() View {
	v := View{
		Stats:    e.stats,
		InFlight: len(e.subs),
		Bytes:    e.bytes,
		Waiting:  make(map[string]int),
		Draining: e.draining,

		Turnaround: e.turnaround.median(e.now),
		Unlockable: e.unlockable(),
	}
	v.Stats.Answered = maps.Clone(e.stats.Answered)
	v.Stats.Reasons = maps.Clone(e.stats.Reasons)
	if e.cfg != nil {
		v.ConfigIndex = e.cfg.Index
		v.ConfigAge = e.now - e.cfgSince
	}
	for name, s := range e.services {
		v.Waiting[name] = s.waiting()
		for _, c := range s.crashes.Confined() {
			v.Confined = append(v.Confined, ConfinedView{Service: name, Kind: c.Kind, Agents: c.Agents, For: e.now - c.Since})
		}
	}
	for _, a := range e.agents {
		v.Agents = append(v.Agents, a.view())
	}
	return v
}

func (a *agent) view() AgentView {
	return AgentView{
		ID:          a.ID,
		Domain:      a.peer.Domain,
		Service:     a.worker.Service,
		Connected:   a.link == linkOpen,
		Evacuated:   a.withheldFrom != nil,
		Slow:        a.Slow,
		Slots:       a.Slots,
		Credit:      a.Credit,
		Outstanding: a.Outstanding,
		Others:      a.Others,
		Speed:       a.Speed,
	}
}

// reasonDetails maps each reason to a one-sentence description for the caller.
var reasonDetails = map[task.Reason]string{
	task.ReasonUpstreamError:     "the upstream answered with an error",
	task.ReasonUpstreamGone:      "the upstream was lost while it held the task",
	task.ReasonAgentGone:         "the agent was lost while it held the task",
	task.ReasonAgentRestarted:    "the agent restarted while it held the task",
	task.ReasonDeadline:          "the deadline can't be kept",
	task.ReasonSuperseded:        "the job was submitted again",
	task.ReasonCancelled:         "cancelled by the caller",
	task.ReasonCallerGone:        "the caller has closed its connection",
	task.ReasonCrashesUpstreams:  "the task crashes the upstreams that start it",
	task.ReasonQuarantined:       "requests of this kind crash upstreams, and those set aside for them are down",
	task.ReasonEvacuated:         "all failure domains of the service are evacuated",
	task.ReasonLockUnavailable:   "this entry is cut off from most agents that keep the job's lock, others may not be",
	task.ReasonNeverFits:         "no worker offers what the task needs",
	task.ReasonClaimedElsewhere:  "the idempotency key is held by a submission without an outcome yet",
	task.ReasonClaimMismatch:     "the idempotency key was used for a different request",
	task.ReasonClaimsUnavailable: "idempotency keys can't be claimed now",
}

// describe returns a one-sentence description of how a task ended.
func describe(o task.Outcome) string {
	text := reasonDetails[o.Reason]
	if text == "" {
		text = string(o.Reason)
	}
	if o.Where != "" {
		return fmt.Sprintf("%s: %s at %s", o.State, text, o.Where)
	}
	return fmt.Sprintf("%s: %s", o.State, text)
}

// retryAfter returns when a retry may help, or zero if it won't.
func (e *Entry) retryAfter(s *submission, reason task.Reason) time.Duration {
	switch reason {
	case task.ReasonDeadline, task.ReasonOverload, task.ReasonBusy, task.ReasonStartExpired:
		return s.svc.limit.RetryAfter(e.now, s.svc.waiting()+1)
	case task.ReasonUpstreamGone, task.ReasonAgentGone, task.ReasonAgentRestarted,
		task.ReasonDraining, task.ReasonSuspended, task.ReasonNeverReceived, task.ReasonLockUnavailable:
		return lostTaskRetryAfter
	case task.ReasonEvacuated:
		return evacuatedRetryAfter
	case task.ReasonQuarantined:
		return laneDownRetryAfter
	}
	return 0
}
