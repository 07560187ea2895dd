package httpapi

import (
	"errors"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/fireflytray/fireflytray/task"
)

// retryWhenDraining is when a caller refused by a drain may come back; the
// balancer leads it to another entry.
const retryWhenDraining = 100 * time.Millisecond

func (s *Server) handleRequest(ctx *fasthttp.RequestCtx, service string) {
	sub, err := decodeRequest(service, &ctx.Request)
	if err != nil {
		badRequest(err).write(ctx)
		return
	}
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.refused(ctx) {
		return
	}
	a, ok := s.run(ctx, sub)
	if !ok {
		return
	}
	if a.State != task.Complete {
		problemOf(a).write(ctx)
		return
	}
	writeRequestAnswer(ctx, &a)
}

func (s *Server) handleJob(ctx *fasthttp.RequestCtx, service string) {
	sub, wait, err := s.decodeJob(ctx, service)
	if err != nil {
		badJob(err).write(ctx)
		return
	}
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.refused(ctx) {
		return
	}
	if !wait {
		s.detach(ctx, sub)
		return
	}
	if a, ok := s.run(ctx, sub); ok {
		writeJobAnswer(ctx, &a)
	}
}

func (s *Server) decodeJob(ctx *fasthttp.RequestCtx, service string) (task.Submission, bool, error) {
	sub, wait, err := decodeJob(service, string(ctx.Request.Header.Peek(HeaderTeam)), ctx.PostBody(), s.cfg.MaxTasks)
	if err != nil {
		return sub, wait, err
	}
	sub.IdempotencyKey, err = keyHeader(&ctx.Request)
	return sub, wait, err
}

func badJob(err error) *Problem {
	var many errTooManyTasks
	if errors.As(err, &many) {
		return tooLarge(many.Error())
	}
	return badRequest(err)
}

func (s *Server) refused(ctx *fasthttp.RequestCtx) bool {
	if !s.refusing.Load() {
		return false
	}
	p := newProblem(task.NotRun, task.ReasonDraining, "the entry is shutting down")
	p.RetryAfterMS = ceilTo(retryWhenDraining, time.Millisecond)
	p.write(ctx)
	return true
}

// run submits and waits for the answer. It returns false if the caller went
// away first; the submission is then cancelled if it may be.
func (s *Server) run(ctx *fasthttp.RequestCtx, sub task.Submission) (task.Answer, bool) {
	answer := make(chan task.Answer, 1)
	id := s.backend.Submit(sub, func(a task.Answer) { answer <- a })
	check := time.NewTicker(callerCheck)
	defer check.Stop()
	for {
		select {
		case a := <-answer:
			return a, true
		case <-check.C:
		}
		if callerGone(ctx.Conn()) {
			if mayAbandon(&sub) {
				s.backend.Cancel([]task.SubmissionID{id})
			}
			ctx.SetConnectionClose()
			<-answer
			return task.Answer{}, false
		}
	}
}

// mayAbandon reports whether a submission whose caller went away may be
// cancelled. A cancellation stops what runs, so a request that must not run
// twice goes on; so does one with a key, whose caller may come back for its
// outcome.
func mayAbandon(sub *task.Submission) bool {
	return sub.IdempotencyKey == "" && (sub.Job || sub.Idempotent)
}

// detach submits a job whose answer is collected later.
func (s *Server) detach(ctx *fasthttp.RequestCtx, sub task.Submission) {
	if wait, ok := s.jobs.reserve(); !ok {
		p := newProblem(task.NotRun, task.ReasonOverload, "the entry keeps as many uncollected jobs as it can")
		p.RetryAfterMS = ceilTo(wait, time.Millisecond)
		p.write(ctx)
		return
	}
	registered := make(chan *keptJob, 1)
	id := s.backend.Submit(sub, func(a task.Answer) {
		go func() { s.jobs.answer(<-registered, a) }()
	})
	registered <- s.jobs.add(id, sub.Team)
	s.writePending(ctx, id, fasthttp.StatusAccepted)
}

func (s *Server) writePending(ctx *fasthttp.RequestCtx, id task.SubmissionID, status int) {
	ctx.Response.Header.Set(fasthttp.HeaderLocation, s.cfg.Public+"/v1/jobs/"+id.String())
	ctx.Response.Header.Set(HeaderSubmission, id.String())
	writeJSON(ctx, status, JobStatus{ID: id.String(), State: statePending})
}

func writeRequestAnswer(ctx *fasthttp.RequestCtx, a *task.Answer) {
	if len(a.Outcomes) != 1 {
		writeIncomplete(ctx, a)
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
		problemOf(*a).write(ctx)
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

// writeIncomplete reports a complete answer that has not one outcome a task.
func writeIncomplete(ctx *fasthttp.RequestCtx, a *task.Answer) {
	p := newProblem(task.Unknown, ReasonInternal, "the answer is not whole")
	p.ID = a.ID.String()
	p.write(ctx)
}
