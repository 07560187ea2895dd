package command

import (
	"context"
	"encoding/json"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/httpapi"
	"github.com/fireflytray/fireflytray/load"
	"github.com/fireflytray/fireflytray/task"
)

// stubBackend ends each submission in the state that its team name selects, and
// keeps submissions of team "held" open until they are cancelled.
type stubBackend struct{ held chan func(task.Answer) }

func (b *stubBackend) Submit(s task.Submission, done func(task.Answer)) task.SubmissionID {
	id := task.NewSubmissionID(3, uint64(len(s.Team)))
	a := task.Answer{ID: id}
	switch s.Team {
	case "held":
		b.held <- done
		return id
	case "failed":
		a.State, a.Reason = task.Failed, task.ReasonUpstreamError
	case "refused":
		a.State, a.Reason, a.RetryAfter = task.NotRun, task.ReasonQuota, 1500*time.Millisecond
	case "lost":
		a.State, a.Reason = task.Unknown, task.ReasonAgentGone
	default:
		a.State = task.Complete
		for _, spec := range s.Tasks {
			a.Outcomes = append(a.Outcomes, task.Outcome{State: task.Complete, Body: spec.Payload})
		}
	}
	go done(a)
	return id
}

func (b *stubBackend) Cancel(ids []task.SubmissionID, reason task.Reason) {
	for _, id := range ids {
		(<-b.held)(task.Answer{ID: id, State: task.NotRun, Reason: reason})
	}
}

func (b *stubBackend) Ready() (bool, string) { return true, "" }

func (b *stubBackend) Status() (httpapi.Status, error) {
	return httpapi.Status{ID: "entry-9", Agents: []httpapi.AgentStatus{{ID: "agent-7", Slots: 8}}}, nil
}

func serveCallers(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := httpapi.New(&stubBackend{held: make(chan func(task.Answer), 1)}, ln, httpapi.Config{ShutdownDelay: time.Millisecond, CollectGrace: time.Millisecond})
	go func() { _ = s.Serve() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = s.Shutdown(ctx)
	})
	return "http://" + ln.Addr().String()
}

// Submit exits with a distinct code for each state of the submission.
func TestSubmitExitCodes(t *testing.T) {
	url := serveCallers(t)
	for team, want := range map[string]struct {
		code int
		text string
	}{
		"whole":   {ExitOK, ""},
		"failed":  {ExitFailed, "failed (upstream_error)"},
		"refused": {ExitNotRun, "not_run (quota): The team's quota is used up; retry after 1.5s"},
		"lost":    {ExitUnknown, "unknown (agent_gone)"},
	} {
		r := run("submit", "--entry", url, "--team", team, "--service", "s", "--payload", `{"a":1}`)
		require.Equal(t, want.code, r.code, r.stderr)
		require.Contains(t, r.stderr, want.text)
	}
	r := run("submit", "--entry", url, "--team", "whole", "--service", "s", "--job", "--payload", `{"tasks":[{"payload":7}]}`)
	require.Equal(t, ExitOK, r.code, r.stderr)
	require.Contains(t, r.stdout, `"body":7`)
	r = run("--json", "submit", "--entry", url, "--team", "whole", "--service", "s", "--payload", "no JSON")
	require.Contains(t, r.stdout, `"body": "no JSON"`)
	r = run("submit", "--entry", "http://127.0.0.1:1", "--team", "a", "--service", "s")
	require.Equal(t, ExitUnavailable, r.code)
}

func TestCancelAndEntries(t *testing.T) {
	url := serveCallers(t)
	r := run("submit", "--entry", url, "--team", "held", "--service", "s", "--job", "--payload", `{"wait":false,"tasks":[{}]}`)
	require.Equal(t, ExitOK, r.code, r.stderr)
	var job httpapi.JobStatus
	require.NoError(t, json.Unmarshal([]byte(r.stdout), &job))
	r = run("cancel", "--entry", url, "--team", "other", job.ID)
	require.Equal(t, ExitFailed, r.code)
	require.Contains(t, r.stdout, "not found")
	r = run("cancel", "--entry", url, "--team", "held", job.ID)
	require.Equal(t, ExitOK, r.code, r.stderr)
	require.Contains(t, r.stdout, "cancelling")

	r = run("entries", "--entry", url)
	require.Equal(t, ExitOK, r.code, r.stderr)
	require.Contains(t, r.stdout, "entry-9")
	require.Contains(t, run("entries", "--agents", "--entry", url).stdout, "agent-7")
	require.Equal(t, ExitUnavailable, run("entries", "--entry", "http://127.0.0.1:1").code)
}

func TestLoadCommand(t *testing.T) {
	url := serveCallers(t)
	plot := filepath.Join(t.TempDir(), "line.svg")
	r := run("--json", "load", "--entry", url, "--service", "s", "--rate", "100", "--duration", "200ms",
		"--seed", "5", "--team", "whole=3", "--team", "refused", "--plot", plot, "--quiet")
	require.Equal(t, ExitOK, r.code, r.stderr)
	var result load.Result
	require.NoError(t, json.Unmarshal([]byte(r.stdout), &result))
	require.EqualValues(t, 5, result.Seed)
	require.Len(t, result.Teams, 2)
	require.FileExists(t, plot)
	for _, args := range [][]string{{}, {"--rate", "1", "--utilisation", "0.5", "--slots", "8"}, {"--utilisation", "0.5"},
		{"--rate", "1", "--team", "a=b"}, {"--rate", "1", "--max-tasks", "0"}} {
		r := run(append([]string{"load", "--entry", url, "--service", "s"}, args...)...)
		require.Equal(t, ExitUsage, r.code, "%v: %s", args, r.stderr)
	}
}
