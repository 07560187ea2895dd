package httpapi

import (
	"errors"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/fireflytray/fireflytray/internal/httpserve"
	"github.com/fireflytray/fireflytray/task"
)

// drainRetryAfter is the retry delay for callers that this server rejects during
// a drain, before their submissions reach the backend. It is short because the
// load balancer sends the retry to another entry.
const drainRetryAfter = 100 * time.Millisecond

func (s *Server) handleRequest(ctx *fasthttp.RequestCtx, service string) {
	sub, err := decodeRequest(service, &ctx.Request)
	if err != nil {
		badRequest(err).write(ctx)
		return
	}
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.rejectIfDraining(ctx) {
		return
	}
	a := s.submitAndWait(ctx, sub)
	if a.State != task.Complete {
		answerProblem(a).write(ctx)
		return
	}
	writeRequestAnswer(ctx, &a)
}

func (s *Server) handleJob(ctx *fasthttp.RequestCtx, service string) {
	sub, wait, err := s.decodeJob(ctx, service)
	if err != nil {
		jobProblem(err).write(ctx)
		return
	}
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.rejectIfDraining(ctx) {
		return
	}
	if !wait {
		s.submitAsync(ctx, sub)
		return
	}
	a := s.submitAndWait(ctx, sub)
	writeJobAnswer(ctx, &a)
}

func (s *Server) decodeJob(ctx *fasthttp.RequestCtx, service string) (task.Submission, bool, error) {
	sub, wait, err := decodeJob(service, string(ctx.Request.Header.Peek(HeaderTeam)), ctx.PostBody(), s.cfg.MaxTasks)
	if err != nil {
		return sub, wait, err
	}
	sub.IdempotencyKey, err = keyHeader(&ctx.Request)
	return sub, wait, err
}

func jobProblem(err error) *Problem {
	var tooMany tooManyTasksError
	if errors.As(err, &tooMany) {
		return tooLarge(tooMany.Error())
	}
	return badRequest(err)
}

func (s *Server) rejectIfDraining(ctx *fasthttp.RequestCtx) bool {
	if !s.rejecting.Load() {
		return false
	}
	p := newProblem(task.NotRun, task.ReasonDraining, "the entry is shutting down")
	p.RetryAfterMS = ceilUnits(drainRetryAfter, time.Millisecond)
	p.write(ctx)
	return true
}

// submitAndWait submits sub and waits for the answer. If the caller disconnects
// first, the submission is cancelled if cancelOnDisconnect allows it. A request whose
// caller has left before is not submitted.
func (s *Server) submitAndWait(ctx *fasthttp.RequestCtx, sub task.Submission) task.Answer {
	if httpserve.Disconnected(ctx.Conn()) {
		ctx.SetConnectionClose()
		return task.Answer{State: task.NotRun, Reason: task.ReasonCallerGone, Detail: "the caller had left when its request was read"}
	}
	answer, gone := make(chan task.Answer, 1), make(chan struct{})
	stop := httpserve.Watch(ctx.Conn(), func() { close(gone) })
	defer stop()
	id := s.backend.Submit(sub, func(a task.Answer) { answer <- a })
	select {
	case a := <-answer:
		return a
	case <-gone:
	}
	if cancelOnDisconnect(&sub) {
		s.backend.Cancel([]task.SubmissionID{id}, task.ReasonCallerGone)
	}
	ctx.SetConnectionClose()
	return <-answer
}

// cancelOnDisconnect reports whether a submission may be cancelled when its
// caller disconnects. A cancellation stops running tasks, so a request that must
// not run twice continues. A submission with an idempotency key also continues,
// because its caller may retry to get the outcome.
func cancelOnDisconnect(sub *task.Submission) bool {
	return sub.IdempotencyKey == "" && (sub.Job || sub.Idempotent)
}

// submitAsync submits a job whose caller collects the answer later.
func (s *Server) submitAsync(ctx *fasthttp.RequestCtx, sub task.Submission) {
	if retryAfter, ok := s.jobs.reserve(); !ok {
		p := newProblem(task.NotRun, task.ReasonOverload, "the entry keeps as many uncollected jobs as it can")
		p.RetryAfterMS = ceilUnits(retryAfter, time.Millisecond)
		p.write(ctx)
		return
	}
	registered := make(chan *asyncJob, 1)
	id := s.backend.Submit(sub, func(a task.Answer) {
		go func() { s.jobs.setAnswer(<-registered, a) }()
	})
	registered <- s.jobs.add(id, sub.Team)
	s.writePending(ctx, id, fasthttp.StatusAccepted)
}

func (s *Server) writePending(ctx *fasthttp.RequestCtx, id task.SubmissionID, status int) {
	ctx.Response.Header.Set(fasthttp.HeaderLocation, s.cfg.PublicURL+"/v1/jobs/"+id.String())
	ctx.Response.Header.Set(HeaderSubmission, id.String())
	writeJSON(ctx, status, JobStatus{ID: id.String(), State: statePending})
}

func writeRequestAnswer(ctx *fasthttp.RequestCtx, a *task.Answer) {
	if len(a.Outcomes) != 1 {
		writeOutcomeMismatch(ctx, a)
		return
	}
	out := &a.Outcomes[0]
	writeAnswerHeaders(ctx, a)
	ctx.Response.Header.Set(HeaderRan, out.Ran.String())
	ctx.Response.Header.Set(HeaderWorker, out.Where)
	ctx.SetContentType("application/octet-stream")
	ctx.SetBody(out.Body)
}

func writeJobAnswer(ctx *fasthttp.RequestCtx, a *task.Answer) {
	if a.State != task.Complete {
		answerProblem(*a).write(ctx)
		return
	}
	writeAnswerHeaders(ctx, a)
	ctx.SetContentType("application/json")
	ctx.Response.SetBodyRaw(appendJobAnswer(nil, a))
}

func writeAnswerHeaders(ctx *fasthttp.RequestCtx, a *task.Answer) {
	h := &ctx.Response.Header
	h.Set(HeaderSubmission, a.ID.String())
	h.Set(HeaderState, a.State.String())
	h.Set(HeaderMessages, strconv.FormatUint(uint64(a.Messages), 10))
	h.Set(HeaderWasted, strconv.FormatUint(uint64(a.Wasted), 10))
	if a.Replayed {
		h.Set(HeaderReplayed, "true")
	}
}

// writeOutcomeMismatch reports a complete answer to a request of one task that
// does not have exactly one outcome.
func writeOutcomeMismatch(ctx *fasthttp.RequestCtx, a *task.Answer) {
	p := newProblem(task.Unknown, ReasonInternal, "the answer is not whole")
	p.ID = a.ID.String()
	p.write(ctx)
}
