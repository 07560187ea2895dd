package httpapi

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/task"
)

const detached = `{"wait":false,"tasks":[{"payload":{"a":"<b>"}},{"payload_base64":"/wA="}]}`

func TestJobIsCollectedLater(t *testing.T) {
	b := &fakeBackend{}
	_, url := start(t, b, Config{Public: ""})
	r := call(t, "POST", url+"/v1/services/s/jobs", []byte(detached), HeaderTeam, team)
	require.Equal(t, 202, r.status, "%s", r.body)
	job := url + r.header.Get("Location")
	require.Equal(t, 202, call(t, "GET", job, nil, HeaderTeam, team).status)
	require.Equal(t, 404, call(t, "GET", job, nil, HeaderTeam, "other").status, "another team's job")

	b.release(echo)
	for range 2 {
		r = call(t, "GET", job+"?wait=10s", nil, HeaderTeam, team)
		require.Equal(t, 200, r.status)
		var a JobAnswer
		require.NoError(t, json.Unmarshal(r.body, &a), "%s", r.body)
		require.Len(t, a.Outcomes, 2)
		require.Equal(t, `{"a":"<b>"}`, string(a.Outcomes[0].Body))
		require.Equal(t, []byte{0xff, 0}, a.Outcomes[1].BodyBase64)
	}
}

func TestCancelOneAndMany(t *testing.T) {
	b := &fakeBackend{}
	_, url := start(t, b, Config{})
	var ids []string
	for range 3 {
		r := call(t, "POST", url+"/v1/services/s/jobs", []byte(detached), HeaderTeam, team)
		ids = append(ids, r.header.Get(HeaderSubmission))
	}
	require.Equal(t, 202, call(t, "DELETE", url+"/v1/jobs/"+ids[0], nil, HeaderTeam, team).status)
	r := call(t, "GET", url+"/v1/jobs/"+ids[0]+"?wait=10s", nil, HeaderTeam, team)
	require.Equal(t, 409, r.status)
	require.Equal(t, "not_run", problem(t, r).State)

	unknown := task.NewSubmissionID(9, 9).String()
	body, err := json.Marshal(CancelRequest{IDs: append(ids, unknown)})
	require.NoError(t, err)
	r = call(t, "POST", url+"/v1/cancel", body, HeaderTeam, "other")
	var other CancelAnswer
	require.NoError(t, json.Unmarshal(r.body, &other))
	require.Len(t, other.NotFound, 4, "another team's jobs")
	require.Equal(t, 1, b.cancels())

	r = call(t, "POST", url+"/v1/cancel", body, HeaderTeam, team)
	var mine CancelAnswer
	require.NoError(t, json.Unmarshal(r.body, &mine))
	require.Equal(t, CancelAnswer{Cancelling: ids[1:], Ended: ids[:1], NotFound: []string{unknown}}, mine)
}

func TestRegistryIsBounded(t *testing.T) {
	now := time.Unix(0, 0)
	r := newRegistry(Config{MaxKept: 2, MaxKeptBytes: 1000, KeepFor: time.Minute}, func() time.Time { return now })
	keep := func(n uint64, size int) *keptJob {
		_, ok := r.reserve()
		require.True(t, ok)
		j := r.add(task.NewSubmissionID(1, n), team)
		if size >= 0 {
			r.answer(j, task.Answer{Detail: string(make([]byte, size))})
		}
		return j
	}
	first := keep(1, 10)
	second := keep(2, -1)
	now = now.Add(20 * time.Second)
	wait, ok := r.reserve()
	require.False(t, ok, "an uncollected answer was dropped")
	require.Equal(t, 40*time.Second, wait)

	r.collect(first)
	keep(3, 10)
	_, found := r.get(first.id, team)
	require.False(t, found)
	_, found = r.get(second.id, team)
	require.True(t, found, "a job without an answer was dropped")

	now = now.Add(2 * time.Minute)
	r.answer(second, task.Answer{Detail: string(make([]byte, 2000))})
	_, ok = r.reserve()
	require.False(t, ok, "more bytes than allowed")
	now = now.Add(time.Minute)
	_, ok = r.reserve()
	require.True(t, ok, "an expired answer was kept")
}
