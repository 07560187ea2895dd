package entry

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/fireflytray/fireflytray/task"
)

// teamState is a team's quota at this entry: its share of the team's rate.
type teamState struct {
	rate   float64 // tasks a second here; zero for no bound
	burst  float64
	tokens float64
	at     time.Duration
	tasks  int // tasks admitted and not answered
}

// configureTeams divides each team's quota by the entries that are alive.
func (e *Entry) configureTeams() {
	if e.cfg == nil {
		return
	}
	entries := float64(max(1, len(e.entries)))
	for name, t := range e.cfg.Teams {
		ts := e.teams[name]
		if ts == nil {
			ts = &teamState{tokens: t.Burst / entries, at: e.now}
			e.teams[name] = ts
		}
		ts.refill(e.now)
		ts.rate = t.Rate / entries
		ts.burst = max(t.Burst, 1) / entries
	}
}

func (t *teamState) refill(now time.Duration) {
	t.tokens = min(t.burst, t.tokens+(now-t.at).Seconds()*t.rate)
	t.at = now
}

// checkTeam refuses teams that are not configured, or not for the service.
func (e *Entry) checkTeam(sub *task.Submission) *refusal {
	t, ok := e.cfg.Teams[sub.Team]
	if !ok {
		return &refusal{reason: task.ReasonUnknownTeam, detail: fmt.Sprintf("team %q is not configured", sub.Team)}
	}
	if len(t.Services) > 0 && !slices.Contains(t.Services, sub.Service) {
		return &refusal{reason: task.ReasonUnknownTeam, detail: fmt.Sprintf("team %q may not call service %q", sub.Team, sub.Service)}
	}
	return nil
}

// checkQuota takes the submission's tasks out of its team's quota. A job larger
// than the burst is admitted on a full bucket and leaves a debt.
func (e *Entry) checkQuota(sub *task.Submission) *refusal {
	ts := e.teams[sub.Team]
	if ts == nil || ts.rate == 0 {
		return nil
	}
	ts.refill(e.now)
	n := float64(len(sub.Tasks))
	need := min(n, ts.burst)
	if ts.tokens >= need {
		ts.tokens -= n
		return nil
	}
	wait := time.Duration(math.Ceil((need - ts.tokens) / ts.rate * float64(time.Second)))
	return &refusal{
		reason: task.ReasonQuota,
		detail: fmt.Sprintf("team %q is over its quota of %g tasks/s at this entry", sub.Team, ts.rate),
		after:  wait,
	}
}

func (e *Entry) teamAdmitted(name string, n int) {
	if ts := e.teams[name]; ts != nil {
		ts.tasks += n
	}
}

func (e *Entry) teamDone(name string, n int) {
	if ts := e.teams[name]; ts != nil {
		ts.tasks -= n
	}
}
