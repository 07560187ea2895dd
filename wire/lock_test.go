package wire

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"

	"github.com/fireflytray/fireflytray/task"
)

// Messages without job locks have the keys of older builds, so that a build that
// knows no locks can be mixed with one that does.
func TestMessagesWithoutLocksHaveOnlyOlderKeys(t *testing.T) {
	for name, c := range map[string]struct {
		m    Message
		keys []string
	}{
		"welcome": {&Welcome{}, []string{"f", "t", "w", "o"}},
		"update":  {&Update{}, []string{"q", "n", "t", "d", "a", "c"}},
		"report":  {&Report{}, []string{"q", "n", "t", "c", "r", "u", "l", "p", "k", "o"}},
	} {
		b, err := c.m.MarshalMsg(nil)
		require.NoError(t, err)
		require.Equal(t, c.keys, mapKeys(t, b), name)
	}
}

func mapKeys(t *testing.T, b []byte) []string {
	n, b, err := msgp.ReadMapHeaderBytes(b)
	require.NoError(t, err)
	var keys []string
	for range n {
		var key string
		key, b, err = msgp.ReadStringBytes(b)
		require.NoError(t, err)
		b, err = msgp.Skip(b)
		require.NoError(t, err)
		keys = append(keys, key)
	}
	return keys
}

func TestLocksSurviveEncoding(t *testing.T) {
	id := task.NewSubmissionID(7, 8)
	u := Update{
		Release: []LockRef{{Ref: "a", Submission: id}},
		Acquire: []LockRequest{{Ref: "b", Submission: id, Age: time.Second, Within: time.Minute}},
	}
	b, err := u.MarshalMsg(nil)
	require.NoError(t, err)
	var got Update
	_, err = got.UnmarshalMsg(b)
	require.NoError(t, err)
	require.Equal(t, u.Release, got.Release)
	require.Equal(t, u.Acquire, got.Acquire)

	r := Report{Locks: []LockAnswer{{Ref: "a", Submission: id, State: LockRevoked}}}
	b, err = r.MarshalMsg(nil)
	require.NoError(t, err)
	var report Report
	_, err = report.UnmarshalMsg(b)
	require.NoError(t, err)
	require.Equal(t, r.Locks, report.Locks)

	w := Welcome{RunsEndWithin: time.Second}
	b, err = w.MarshalMsg(nil)
	require.NoError(t, err)
	var welcome Welcome
	_, err = welcome.UnmarshalMsg(b)
	require.NoError(t, err)
	require.Equal(t, w.RunsEndWithin, welcome.RunsEndWithin)
}
