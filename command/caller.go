package command

import (
	"fmt"
	"math"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/fireflytray/fireflytray/httpapi"
	"github.com/fireflytray/fireflytray/internal/strictjson"
	"github.com/fireflytray/fireflytray/task"
)

// callerGrace is how long a caller waits for the answer after its deadline.
const callerGrace = 5 * time.Second

// entryOptions are the options for calling an entry on behalf of a team.
type entryOptions struct {
	Entry   string        `long:"entry" required:"yes" value-name:"URL" description:"Base URL of the entry"`
	Team    string        `long:"team" required:"yes" description:"Team on whose behalf to call"`
	Timeout time.Duration `long:"timeout" default:"10m" description:"How long to wait for the entry"`
}

// callEntry sends one request without retries. It returns a problem answer as an
// error with the exit code of its state.
func callEntry(req *fasthttp.Request, resp *fasthttp.Response, timeout time.Duration) error {
	client := fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	if err := client.DoTimeout(req, resp, timeout); err != nil {
		return Exit(ExitUnavailable, "call %s: %w", req.URI(), err)
	}
	if resp.StatusCode() < fasthttp.StatusBadRequest {
		return nil
	}
	var p httpapi.Problem
	if err := strictjson.Unmarshal(resp.Body(), &p); err != nil || p.State == "" {
		return Exit(ExitUnavailable, "call %s: status %d without problem details", req.URI(), resp.StatusCode())
	}
	return problemError(&p)
}

func problemError(p *httpapi.Problem) error {
	text := fmt.Sprintf("%s (%s): %s", p.State, p.Reason, p.Title)
	if p.Detail != "" {
		text += ": " + p.Detail
	}
	if p.RetryAfterMS > 0 {
		text += fmt.Sprintf("; retry after %v", time.Duration(p.RetryAfterMS)*time.Millisecond)
	}
	return Exit(exitCodeOf(p.State), "%s", text)
}

// exitCodeOf returns the exit code for a submission state.
func exitCodeOf(state string) int {
	switch state {
	case task.Complete.String():
		return ExitOK
	case task.NotRun.String():
		return ExitNotRun
	case task.Unknown.String():
		return ExitUnknown
	}
	return ExitFailed
}

// answerTimeout returns how long to wait for the answer to a request with the
// given deadline; zero means none.
func (o *entryOptions) answerTimeout(deadline time.Duration) time.Duration {
	if deadline <= 0 || deadline > math.MaxInt64-callerGrace {
		return o.Timeout
	}
	return min(o.Timeout, deadline+callerGrace)
}

func (o *entryOptions) request(method, path string) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(method)
	req.SetRequestURI(o.Entry + path)
	req.Header.Set(httpapi.HeaderTeam, o.Team)
	return req
}
