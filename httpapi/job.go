package httpapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"github.com/fireflytray/fireflytray/internal/httpserve"
	"github.com/fireflytray/fireflytray/internal/strictjson"
	"github.com/fireflytray/fireflytray/task"
)

// JobRequest is the body of POST /v1/services/{service}/jobs.
type JobRequest struct {
	Team string `json:"team"`
	// DeadlineMS bounds the time to the answer. If it is absent, the service's
	// default applies.
	DeadlineMS int64     `json:"deadline_ms,omitempty"`
	Tasks      []JobTask `json:"tasks"`
	// Wait requests the answer in the response; if it is false, the caller
	// collects the answer later. Absent means true.
	Wait *bool `json:"wait,omitempty"`
}

// JobTask is one task of a JobRequest.
type JobTask struct {
	// Payload is any JSON value; the upstream receives its text unchanged.
	Payload json.RawMessage `json:"payload,omitempty"`
	// PayloadBase64 is a payload that is not JSON.
	PayloadBase64 []byte  `json:"payload_base64,omitempty"`
	DeclaredMS    float64 `json:"declared_ms,omitempty"`
	Need          *Need   `json:"need,omitempty"`
}

// Need is the JSON form of task.Resources.
type Need struct {
	// CPU is the number of cores, possibly fractional.
	CPU          float64 `json:"cpu,omitempty"`
	MemoryMB     uint32  `json:"memory_mb,omitempty"`
	Accelerators uint32  `json:"accelerators,omitempty"`
}

// CancelRequest is the body of POST /v1/cancel.
type CancelRequest struct {
	IDs []string `json:"ids"`
}

// tooManyTasksError is the only decoding error that is reported with reason
// too_large instead of bad_request.
type tooManyTasksError struct{ got, limit int }

func (e tooManyTasksError) Error() string {
	return fmt.Sprintf("the job has %d tasks; at most %d are accepted", e.got, e.limit)
}

// decodeJob decodes a job from the body of a request. headerTeam is the team
// named in the request's header, if any.
func decodeJob(service, headerTeam string, body []byte, maxTasks int) (s task.Submission, wait bool, err error) {
	var req JobRequest
	if n := longestList(body); n > maxTasks {
		return s, false, tooManyTasksError{n, maxTasks}
	}
	if err := decodeJSON(body, &req); err != nil {
		return s, false, err
	}
	s = task.Submission{Service: service, Job: true}
	if s.Team, err = jobTeam(headerTeam, req.Team); err != nil {
		return s, false, err
	}
	if s.Deadline, err = millis("deadline_ms", float64(req.DeadlineMS)); err != nil {
		return s, false, err
	}
	if s.Tasks, err = taskSpecs(req.Tasks, maxTasks); err != nil {
		return s, false, err
	}
	return s, req.Wait == nil || *req.Wait, nil
}

// longestList returns the number of elements of the longest list that is a field of a JSON
// object, at least 1. The decoder would build all of them before it could be asked. The
// result means nothing if body is not valid JSON.
func longestList(body []byte) int {
	const listDepth = 2
	depth, count, longest := 0, 1, 1
	for i := 0; i < len(body); i++ {
		switch body[i] {
		case '"':
			for i++; i < len(body) && body[i] != '"'; i++ {
				if body[i] == '\\' {
					i++
				}
			}
		case '[', '{':
			if depth++; depth == listDepth {
				count = 1
			}
		case ']', '}':
			depth--
		case ',':
			if depth == listDepth {
				count++
				longest = max(longest, count)
			}
		}
	}
	return longest
}

func jobTeam(headerTeam, bodyTeam string) (string, error) {
	if bodyTeam == "" {
		bodyTeam = headerTeam
	}
	if bodyTeam == "" {
		return "", errors.New(`team is missing: name it in "team" or ` + HeaderTeam)
	}
	if headerTeam != "" && headerTeam != bodyTeam {
		return "", fmt.Errorf("team %q differs from %s %q", bodyTeam, HeaderTeam, headerTeam)
	}
	return bodyTeam, checkName("team", bodyTeam)
}

func taskSpecs(tasks []JobTask, limit int) ([]task.Spec, error) {
	if len(tasks) == 0 {
		return nil, errors.New("tasks: a job has at least one task")
	}
	if len(tasks) > limit {
		return nil, tooManyTasksError{len(tasks), limit}
	}
	specs := make([]task.Spec, len(tasks))
	for i := range tasks {
		spec, err := tasks[i].spec()
		if err != nil {
			return nil, fmt.Errorf("tasks[%d]: %w", i, err)
		}
		specs[i] = spec
	}
	return specs, nil
}

func (t *JobTask) spec() (spec task.Spec, err error) {
	if t.Payload != nil && t.PayloadBase64 != nil {
		return spec, errors.New("both payload and payload_base64 are given")
	}
	spec.Payload = t.PayloadBase64
	if t.Payload != nil {
		spec.Payload = t.Payload
	}
	if spec.DeclaredRunTime, err = millis("declared_ms", t.DeclaredMS); err != nil {
		return spec, err
	}
	if t.Need == nil {
		return spec, nil
	}
	spec.Need.MemoryMB = t.Need.MemoryMB
	spec.Need.Accelerators = t.Need.Accelerators
	if spec.Need.MilliCPU, err = milliCPU(t.Need.CPU); err != nil {
		return spec, fmt.Errorf("need.cpu: %w", err)
	}
	return spec, nil
}

func millis(name string, ms float64) (time.Duration, error) {
	d := ms * float64(time.Millisecond)
	if d < 0 || d >= math.MaxInt64 {
		return 0, fmt.Errorf("%s: %v is out of range", name, ms)
	}
	return time.Duration(d), nil
}

// bodyError is a JSON error with its position in the body.
type bodyError struct {
	pos Position
	err error
}

func (e *bodyError) Error() string {
	return fmt.Sprintf("body, line %d, column %d: %v", e.pos.Line, e.pos.Column, e.err)
}

func (e *bodyError) Unwrap() error { return e.err }

func errorPosition(err error) (Position, bool) {
	var be *bodyError
	if errors.As(err, &be) {
		return be.pos, true
	}
	return Position{}, false
}

// decodeJSON decodes exactly one JSON value and rejects unknown fields.
func decodeJSON(body []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	var err error
	httpserve.Decode(body, func() { err = dec.Decode(into) })
	if err != nil {
		return newBodyError(body, errorOffset(dec, err, len(body)), err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return newBodyError(body, dec.InputOffset(), errors.New("want the end of the body"))
	}
	var refused *strictjson.Error
	if errors.As(strictjson.Check(body, into), &refused) {
		return newBodyError(body, int64(refused.Offset), errors.New(refused.Reason))
	}
	return nil
}

func errorOffset(dec *json.Decoder, err error, size int) int64 {
	var syntax *json.SyntaxError
	var typed *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return syntax.Offset
	case errors.As(err, &typed):
		return typed.Offset
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return int64(size)
	}
	return dec.InputOffset()
}

func newBodyError(body []byte, offset int64, err error) error {
	offset = min(max(offset, 0), int64(len(body)))
	before := body[:offset]
	line := 1 + bytes.Count(before, []byte{'\n'})
	column := max(1, int(offset)-bytes.LastIndexByte(before, '\n')-1)
	return &bodyError{Position{Line: line, Column: column}, err}
}
