package httpapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/fireflytray/fireflytray/task"
)

// CancelAnswer is the body of the answer to POST /v1/cancel.
type CancelAnswer struct {
	// Cancelling lists the jobs whose cancellation was requested.
	Cancelling []string `json:"cancelling"`
	// Ended lists the jobs that already had an answer.
	Ended []string `json:"ended"`
	// NotFound lists the ids for which this entry keeps no job of the team.
	NotFound []string `json:"not_found"`
}

// handleCollect handles GET /v1/jobs/{id}?wait=10s.
func (s *Server) handleCollect(ctx *fasthttp.RequestCtx, rawID string) {
	j, p := s.findJob(ctx, rawID)
	if p != nil {
		p.write(ctx)
		return
	}
	wait, err := s.parseWait(ctx)
	if err != nil {
		badRequest(err).write(ctx)
		return
	}
	if !awaitAnswer(j, wait) {
		s.writePending(ctx, j.id, fasthttp.StatusAccepted)
		return
	}
	writeJobAnswer(ctx, &j.answer)
	s.jobs.markCollected(j)
}

// handleDelete handles DELETE /v1/jobs/{id}.
func (s *Server) handleDelete(ctx *fasthttp.RequestCtx, rawID string) {
	j, p := s.findJob(ctx, rawID)
	if p != nil {
		p.write(ctx)
		return
	}
	if !isAnswered(j) {
		s.backend.Cancel([]task.SubmissionID{j.id}, task.ReasonCancelled)
	}
	s.writePending(ctx, j.id, fasthttp.StatusAccepted)
}

// handleCancel handles POST /v1/cancel.
func (s *Server) handleCancel(ctx *fasthttp.RequestCtx) {
	var req CancelRequest
	if err := decodeJSON(ctx.PostBody(), &req); err != nil {
		badRequest(err).write(ctx)
		return
	}
	team, err := teamHeader(&ctx.Request)
	if err != nil {
		badRequest(err).write(ctx)
		return
	}
	answer, ids, err := s.classifyCancels(team, req.IDs)
	if err != nil {
		badRequest(err).write(ctx)
		return
	}
	if len(ids) > 0 {
		s.backend.Cancel(ids, task.ReasonCancelled)
	}
	writeJSON(ctx, fasthttp.StatusAccepted, answer)
}

// classifyCancels sorts the ids into the lists of CancelAnswer and returns the
// submissions to cancel. It fails if any id is malformed, so that a malformed
// list cancels nothing.
func (s *Server) classifyCancels(team string, raw []string) (CancelAnswer, []task.SubmissionID, error) {
	answer := CancelAnswer{Cancelling: []string{}, Ended: []string{}, NotFound: []string{}}
	var ids []task.SubmissionID
	if len(raw) == 0 {
		return answer, nil, errors.New("ids: want at least one id")
	}
	for i, text := range raw {
		id, err := task.ParseSubmissionID(text)
		if err != nil {
			return answer, nil, fmt.Errorf("ids[%d]: %w", i, err)
		}
		j, ok := s.jobs.get(id, team)
		switch {
		case !ok:
			answer.NotFound = append(answer.NotFound, text)
		case isAnswered(j):
			answer.Ended = append(answer.Ended, text)
		default:
			answer.Cancelling = append(answer.Cancelling, text)
			ids = append(ids, id)
		}
	}
	return answer, ids, nil
}

func (s *Server) findJob(ctx *fasthttp.RequestCtx, rawID string) (*asyncJob, *Problem) {
	id, err := task.ParseSubmissionID(rawID)
	if err != nil {
		return nil, badRequest(err)
	}
	team, err := teamHeader(&ctx.Request)
	if err != nil {
		return nil, badRequest(err)
	}
	j, ok := s.jobs.get(id, team)
	if !ok {
		p := notFound("this entry keeps no such job of team " + team +
			"; a job is collected from the entry that took it, within " + s.cfg.AnswerRetention.String())
		p.State = task.Unknown.String()
		p.ID = rawID
		return nil, p
	}
	return j, nil
}

func (s *Server) parseWait(ctx *fasthttp.RequestCtx) (time.Duration, error) {
	raw := string(ctx.QueryArgs().Peek("wait"))
	if raw == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(raw)
	if err != nil || d < 0 {
		return 0, fmt.Errorf("wait: want a duration such as 10s, got %q", raw)
	}
	return min(d, s.cfg.MaxWait), nil
}

func awaitAnswer(j *asyncJob, wait time.Duration) bool {
	if isAnswered(j) {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-j.answered:
		return true
	case <-timer.C:
		return isAnswered(j)
	}
}

func isAnswered(j *asyncJob) bool {
	select {
	case <-j.answered:
		return true
	default:
		return false
	}
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		newProblem(task.Unknown, ReasonInternal, err.Error()).write(ctx)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.Response.SetBodyRaw(body)
}
