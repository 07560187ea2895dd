package httpapi

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/fireflytray/fireflytray/task"
)

// Whatever the body, decoding either fails or gives a job within limits whose
// answer, with the payloads echoed, is JSON.
func FuzzDecodeJob(f *testing.F) {
	f.Add([]byte(`{"team":"a","deadline_ms":1500,"tasks":[{"payload":{"x":[1]},"declared_ms":3.5,"need":{"cpu":1}}]}`))
	f.Add([]byte(`{"team":"a","tasks":[{"payload_base64":"AA=="}],"wait":false}`))
	f.Add([]byte("{\n\"team\":\n}"))
	f.Add([]byte(`{"team":"a","deadline_ms":9223372036854775807,"tasks":[{"need":{"cpu":1e300}}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		s, _, err := decodeJob("s", "", body, 10)
		if err != nil {
			if pos, ok := errorPosition(err); ok {
				require.True(t, pos.Line >= 1 && pos.Column >= 1 && pos.Column <= len(body)+1)
			}
			return
		}
		require.True(t, len(s.Tasks) >= 1 && len(s.Tasks) <= 10)
		require.GreaterOrEqual(t, s.Deadline, time.Duration(0))
		a := echo(task.NewSubmissionID(1, 1), s)
		require.True(t, json.Valid(appendJobAnswer(nil, &a)))
	})
}

func FuzzDecodeRequest(f *testing.F) {
	f.Add("a", "k", "true", "1s", "2ms", "cpu=1,memory=2MB,accelerators=3")
	f.Add("", "", "", "-1s", "1e9h", "memory=99999999GB")
	f.Fuzz(func(t *testing.T, team, key, idempotent, deadline, declared, need string) {
		var req fasthttp.Request
		req.Header.Set(HeaderTeam, team)
		req.Header.Set(HeaderIdempotencyKey, key)
		req.Header.Set(HeaderIdempotent, idempotent)
		req.Header.Set(HeaderDeadline, deadline)
		req.Header.Set(HeaderDeclared, declared)
		req.Header.Set(HeaderNeed, need)
		s, err := decodeRequest("s", &req)
		if err != nil {
			return
		}
		require.Len(t, s.Tasks, 1)
		require.NotEmpty(t, s.Team)
		require.True(t, s.Deadline >= 0 && s.Tasks[0].DeclaredRunTime >= 0)
	})
}
