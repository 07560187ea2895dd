package httpapi

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/fireflytray/fireflytray/task"
)

// JobAnswer is the body of a complete job's answer, for those that read it.
type JobAnswer struct {
	ID       string       `json:"id"`
	State    string       `json:"state"`
	Messages uint32       `json:"messages"`
	Wasted   uint32       `json:"wasted"`
	Longest  float64      `json:"longest_ms"`
	Replayed bool         `json:"replayed,omitempty"`
	Outcomes []JobOutcome `json:"outcomes"`
}

// JobOutcome is one task of a JobAnswer, in the order of the job.
type JobOutcome struct {
	State string `json:"state"`
	// Body is the upstream's answer if that is JSON, else it is in BodyBase64.
	Body       json.RawMessage `json:"body,omitempty"`
	BodyBase64 []byte          `json:"body_base64,omitempty"`
	RanMS      float64         `json:"ran_ms"`
	Worker     string          `json:"worker"`
}

// JobStatus is the body of an answer about a job that has not ended.
type JobStatus struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

// statePending is the state of a job that has no answer yet.
const statePending = "pending"

// appendJobAnswer appends a as the JSON of JobAnswer. Bodies are copied as they
// stand, which json.Marshal would not do.
func appendJobAnswer(b []byte, a *task.Answer) []byte {
	b = append(b, `{"id":"`...)
	b = append(b, a.ID.String()...)
	b = append(b, `","state":"`...)
	b = append(b, a.State.String()...)
	b = append(b, `","messages":`...)
	b = strconv.AppendUint(b, uint64(a.Messages), 10)
	b = append(b, `,"wasted":`...)
	b = strconv.AppendUint(b, uint64(a.Wasted), 10)
	b = append(b, `,"longest_ms":`...)
	b = appendMillis(b, a.MaxRunTime)
	if a.Replayed {
		b = append(b, `,"replayed":true`...)
	}
	b = append(b, `,"outcomes":[`...)
	for i := range a.Outcomes {
		if i > 0 {
			b = append(b, ',')
		}
		b = appendOutcome(b, &a.Outcomes[i])
	}
	return append(b, "]}"...)
}

func appendOutcome(b []byte, o *task.Outcome) []byte {
	b = append(b, `{"state":"`...)
	b = append(b, o.State.String()...)
	b = append(b, '"')
	b = appendBody(b, o.Body)
	b = append(b, `,"ran_ms":`...)
	b = appendMillis(b, o.Ran)
	b = append(b, `,"worker":`...)
	b = appendString(b, o.Where)
	return append(b, '}')
}

func appendBody(b, body []byte) []byte {
	if len(body) == 0 {
		return b
	}
	if json.Valid(body) && utf8.Valid(body) {
		b = append(b, `,"body":`...)
		return append(b, bytes.TrimSpace(body)...)
	}
	b = append(b, `,"body_base64":"`...)
	b = base64.StdEncoding.AppendEncode(b, body)
	return append(b, '"')
}

func appendString(b []byte, s string) []byte {
	quoted, err := json.Marshal(s)
	if err != nil {
		return append(b, `""`...)
	}
	return append(b, quoted...)
}

func appendMillis(b []byte, d time.Duration) []byte {
	return strconv.AppendFloat(b, float64(d)/float64(time.Millisecond), 'f', -1, 64)
}
