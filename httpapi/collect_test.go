package httpapi

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/task"
)

const asyncJobBody = `{"wait":false,"tasks":[{"payload":{"a":"<b>"}},{"payload_base64":"/wA="}]}`

func TestAsyncJobIsCollectedLater(t *testing.T) {
	b := &fakeBackend{}
	_, url := startServer(t, b, Config{PublicURL: ""})
	r := mustRequest(t, "POST", url+"/v1/services/s/jobs", []byte(asyncJobBody), HeaderTeam, testTeam)
	require.Equal(t, 202, r.status, "%s", r.body)
	job := url + r.header.Get("Location")
	require.Equal(t, 202, mustRequest(t, "GET", job, nil, HeaderTeam, testTeam).status)
	require.Equal(t, 404, mustRequest(t, "GET", job, nil, HeaderTeam, "other").status, "another team's job")

	b.release(echo)
	for range 2 {
		r = mustRequest(t, "GET", job+"?wait=10s", nil, HeaderTeam, testTeam)
		require.Equal(t, 200, r.status)
		var a JobAnswer
		require.NoError(t, json.Unmarshal(r.body, &a), "%s", r.body)
		require.Len(t, a.Outcomes, 2)
		require.Equal(t, `{"a":"<b>"}`, string(a.Outcomes[0].Body))
		require.Equal(t, []byte{0xff, 0}, a.Outcomes[1].BodyBase64)
	}
}

func TestCancelByDeleteAndByList(t *testing.T) {
	b := &fakeBackend{}
	_, url := startServer(t, b, Config{})
	var ids []string
	for range 3 {
		r := mustRequest(t, "POST", url+"/v1/services/s/jobs", []byte(asyncJobBody), HeaderTeam, testTeam)
		ids = append(ids, r.header.Get(HeaderSubmission))
	}
	require.Equal(t, 202, mustRequest(t, "DELETE", url+"/v1/jobs/"+ids[0], nil, HeaderTeam, testTeam).status)
	r := mustRequest(t, "GET", url+"/v1/jobs/"+ids[0]+"?wait=10s", nil, HeaderTeam, testTeam)
	require.Equal(t, 409, r.status)
	require.Equal(t, "not_run", decodeProblem(t, r).State)

	unknown := task.NewSubmissionID(9, 9).String()
	body, err := json.Marshal(CancelRequest{IDs: append(ids, unknown)})
	require.NoError(t, err)
	r = mustRequest(t, "POST", url+"/v1/cancel", body, HeaderTeam, "other")
	var other CancelAnswer
	require.NoError(t, json.Unmarshal(r.body, &other))
	require.Len(t, other.NotFound, 4, "another team's jobs")
	require.Equal(t, 1, b.cancelCount())

	r = mustRequest(t, "POST", url+"/v1/cancel", body, HeaderTeam, testTeam)
	var mine CancelAnswer
	require.NoError(t, json.Unmarshal(r.body, &mine))
	require.Equal(t, CancelAnswer{Cancelling: ids[1:], Ended: ids[:1], NotFound: []string{unknown}}, mine)
}

func TestRegistryIsBounded(t *testing.T) {
	now := time.Unix(0, 0)
	r := newRegistry(Config{MaxKeptJobs: 2, MaxAnswerBytes: 1000, AnswerRetention: time.Minute}, func() time.Time { return now })
	keep := func(n uint64, size int) *asyncJob {
		_, ok := r.reserve()
		require.True(t, ok)
		j := r.add(task.NewSubmissionID(1, n), testTeam)
		if size >= 0 {
			r.setAnswer(j, task.Answer{Detail: string(make([]byte, size))})
		}
		return j
	}
	first := keep(1, 10)
	second := keep(2, -1)
	now = now.Add(20 * time.Second)
	wait, ok := r.reserve()
	require.False(t, ok, "an uncollected answer was dropped")
	require.Equal(t, 40*time.Second, wait)

	r.markCollected(first)
	keep(3, 10)
	_, found := r.get(first.id, testTeam)
	require.False(t, found)
	_, found = r.get(second.id, testTeam)
	require.True(t, found, "a job without an answer was dropped")

	now = now.Add(2 * time.Minute)
	r.setAnswer(second, task.Answer{Detail: string(make([]byte, 2000))})
	_, ok = r.reserve()
	require.False(t, ok, "more bytes than allowed")
	now = now.Add(time.Minute)
	_, ok = r.reserve()
	require.True(t, ok, "an expired answer was kept")
}
