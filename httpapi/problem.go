package httpapi

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/fireflytray/fireflytray/task"
)

// Reasons used only by this package. All but ReasonInternal always come with
// state task.NotRun.
const (
	ReasonBadRequest task.Reason = "bad_request"
	ReasonNotFound   task.Reason = "not_found"
	ReasonBadMethod  task.Reason = "method_not_allowed"
	ReasonInternal   task.Reason = "internal"
)

const (
	problemContentType = "application/problem+json"
	problemTypePrefix  = "urn:fireflytray:problem:"
)

// Problem is the body of every unsuccessful answer (RFC 9457).
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// State is complete, failed, not_run or unknown.
	State string `json:"state"`
	// Reason is a reason of package task or of this package.
	Reason task.Reason `json:"reason"`
	// ID is the submission's id, if one was assigned.
	ID string `json:"id,omitempty"`
	// RetryAfterMS is the delay before a retry. The Retry-After header holds
	// the same delay, rounded up to whole seconds. Both are absent if a retry
	// cannot help.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Messages and Wasted are those of the task.Answer.
	Messages uint32 `json:"messages,omitempty"`
	Wasted   uint32 `json:"wasted,omitempty"`
	// Position is the position of the error in a malformed body.
	Position *Position `json:"position,omitempty"`
}

// Position is a position in a JSON body. Lines and columns count from 1.
type Position struct {
	Line   int `json:"line"`
	Column int `json:"column"`
}

type statusEntry struct {
	code  int
	title string
}

// statuses maps each reason to its status code and title. One reason can come
// with different states: the state in the body, not the code, tells whether a
// task ran.
var statuses = map[task.Reason]statusEntry{
	ReasonBadRequest:             {fasthttp.StatusBadRequest, "The request is malformed"},
	ReasonNotFound:               {fasthttp.StatusNotFound, "Nothing here by that name"},
	ReasonBadMethod:              {fasthttp.StatusMethodNotAllowed, "The method is not allowed here"},
	ReasonInternal:               {fasthttp.StatusInternalServerError, "Internal error"},
	task.ReasonUpstreamError:     {fasthttp.StatusBadGateway, "The upstream answered with an error"},
	task.ReasonUpstreamGone:      {fasthttp.StatusBadGateway, "The upstream was lost"},
	task.ReasonAgentGone:         {fasthttp.StatusBadGateway, "The worker was lost"},
	task.ReasonAgentRestarted:    {fasthttp.StatusBadGateway, "The worker's agent was restarted"},
	task.ReasonSiblingFailed:     {fasthttp.StatusBadGateway, "Another task of the job failed"},
	task.ReasonDeadline:          {fasthttp.StatusGatewayTimeout, "The deadline can't be kept"},
	task.ReasonStartExpired:      {fasthttp.StatusGatewayTimeout, "The task could not start in time"},
	task.ReasonCancelled:         {fasthttp.StatusConflict, "The submission was cancelled"},
	task.ReasonSuperseded:        {fasthttp.StatusConflict, "The job was submitted again"},
	task.ReasonCallerGone:        {fasthttp.StatusConflict, "The caller went away"},
	task.ReasonClaimedElsewhere:  {fasthttp.StatusConflict, "The idempotency key is in use"},
	task.ReasonClaimMismatch:     {fasthttp.StatusUnprocessableEntity, "The idempotency key was used for a different request"},
	task.ReasonNeverFits:         {fasthttp.StatusUnprocessableEntity, "No worker can ever run this"},
	task.ReasonTooLarge:          {fasthttp.StatusRequestEntityTooLarge, "The request is too large"},
	task.ReasonUnknownService:    {fasthttp.StatusNotFound, "No such service"},
	task.ReasonUnknownTeam:       {fasthttp.StatusForbidden, "No such team"},
	task.ReasonQuota:             {fasthttp.StatusTooManyRequests, "The team's quota is used up"},
	task.ReasonOverload:          {fasthttp.StatusServiceUnavailable, "The service is overloaded"},
	task.ReasonLockUnavailable:   {fasthttp.StatusServiceUnavailable, "The entry is cut off from the agents that keep the job's lock"},
	task.ReasonBusy:              {fasthttp.StatusServiceUnavailable, "All workers are busy"},
	task.ReasonDraining:          {fasthttp.StatusServiceUnavailable, "The process is shutting down"},
	task.ReasonSuspended:         {fasthttp.StatusServiceUnavailable, "The worker is suspended"},
	task.ReasonCrashesUpstreams:  {fasthttp.StatusUnprocessableEntity, "The task crashes the upstreams that start it"},
	task.ReasonQuarantined:       {fasthttp.StatusServiceUnavailable, "The upstreams for requests of this kind are down"},
	task.ReasonEvacuated:         {fasthttp.StatusServiceUnavailable, "The failure domains of the service are evacuated"},
	task.ReasonNoUpstream:        {fasthttp.StatusServiceUnavailable, "No upstream of the service is announced"},
	task.ReasonClaimsUnavailable: {fasthttp.StatusServiceUnavailable, "Idempotency keys can't be claimed now"},
	task.ReasonNeverReceived:     {fasthttp.StatusServiceUnavailable, "The task never reached a worker"},
	task.ReasonEntryRestarted:    {fasthttp.StatusServiceUnavailable, "The entry was restarted"},
	task.ReasonDuplicateTaskID:   {fasthttp.StatusInternalServerError, "Internal error"},
	task.ReasonNone:              {fasthttp.StatusInternalServerError, "Internal error"},
}

// StatusOf returns the HTTP status code of a reason.
func StatusOf(r task.Reason) int { return statusFor(r).code }

func statusFor(r task.Reason) statusEntry {
	if row, ok := statuses[r]; ok {
		return row
	}
	return statuses[ReasonInternal]
}

// answerProblem returns the problem for a final answer whose state is not
// complete. The backend has set the reason, which selects the status code, and
// the retry delay.
func answerProblem(a task.Answer) *Problem {
	p := newProblem(a.State, a.Reason, a.Detail)
	p.ID = a.ID.String()
	p.RetryAfterMS = ceilUnits(a.RetryAfter, time.Millisecond)
	p.Messages = a.Messages
	p.Wasted = a.Wasted
	return p
}

func newProblem(state task.State, reason task.Reason, detail string) *Problem {
	row := statusFor(reason)
	return &Problem{
		Type:   problemTypePrefix + string(reason),
		Title:  row.title,
		Status: row.code,
		Detail: detail,
		State:  state.String(),
		Reason: reason,
	}
}

func badRequest(err error) *Problem {
	p := newProblem(task.NotRun, ReasonBadRequest, err.Error())
	if pos, ok := errorPosition(err); ok {
		p.Position = &pos
	}
	return p
}

func (p *Problem) write(ctx *fasthttp.RequestCtx) {
	body, err := json.Marshal(p)
	if err != nil {
		ctx.Error("encode problem: "+err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(p.Status)
	ctx.SetContentType(problemContentType)
	if p.ID != "" {
		ctx.Response.Header.Set(HeaderSubmission, p.ID)
	}
	if p.RetryAfterMS > 0 {
		wait := time.Duration(p.RetryAfterMS) * time.Millisecond
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(ceilUnits(wait, time.Second), 10))
	}
	ctx.SetBody(body)
}

// ceilUnits returns d as a number of units, rounded up.
func ceilUnits(d, unit time.Duration) int64 {
	return int64(math.Ceil(float64(d) / float64(unit)))
}
