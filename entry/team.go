package entry

import (
	"fmt"
	"slices"

	"github.com/fireflytray/fireflytray/quota"
	"github.com/fireflytray/fireflytray/task"
)

// configureTeams gives each team its share of its quota at this entry: the
// whole divided by the entries that are alive.
func (e *Entry) configureTeams() {
	if e.cfg == nil {
		return
	}
	entries := float64(max(1, len(e.entries)))
	for name, t := range e.cfg.Teams {
		b := e.quotas[name]
		if b == nil {
			e.quotas[name] = quota.New(e.now, t.Rate/entries, t.Burst/entries)
			continue
		}
		b.SetLimits(e.now, t.Rate/entries, t.Burst/entries)
	}
}

// checkTeam refuses teams that are not configured, or not for the service.
func (e *Entry) checkTeam(sub *task.Submission) *refusal {
	if sub.Team == "" && sub.Route != "" {
		return nil
	}
	t, ok := e.cfg.Teams[sub.Team]
	if !ok {
		return &refusal{reason: task.ReasonUnknownTeam, detail: fmt.Sprintf("team %q is not configured", sub.Team)}
	}
	if len(t.Services) > 0 && !slices.Contains(t.Services, sub.Service) {
		return &refusal{reason: task.ReasonUnknownTeam, detail: fmt.Sprintf("team %q may not call service %q", sub.Team, sub.Service)}
	}
	return nil
}

// checkQuota takes the submission's tasks out of its team's quota.
func (e *Entry) checkQuota(sub *task.Submission) *refusal {
	b := e.quotas[sub.Team]
	if b == nil {
		return nil
	}
	ok, wait := b.Take(e.now, len(sub.Tasks))
	if ok {
		return nil
	}
	return &refusal{
		reason:     task.ReasonQuota,
		detail:     fmt.Sprintf("team %q is over its quota at this entry", sub.Team),
		retryAfter: wait,
	}
}

// returnQuota gives back the tokens of a submission that did not run.
func (e *Entry) returnQuota(s *submission) {
	if b := e.quotas[s.sub.Team]; b != nil {
		b.Return(e.now, len(s.tasks))
	}
}
