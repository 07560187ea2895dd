package hold

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	ms     = time.Millisecond
	start  = 10 * time.Second
	second = time.Second
)

func testGate() *Gate { return New(start, Limits{Wait: second, Count: 100, Bytes: 10_000}) }

// byPath routes the paths that begin with a service's name.
func byPath(r *Request) (string, bool) {
	service, _, _ := strings.Cut(r.Path, "/")
	return service, service != "unknown"
}

func paths(rs []*Request) []string {
	var out []string
	for _, r := range rs {
		out = append(out, r.Path)
	}
	return out
}

// The return after a loss of all power: 90 callers ask within 0.6 s of the start,
// the configuration comes at 0.5 s, the first agent of one service at 0.55 s and
// that of another at 0.7 s. All are served in order of arrival, each as soon as its
// service can.
func TestReturnAfterPowerLoss(t *testing.T) {
	g := testGate()
	var want, got []string
	for i := range 90 {
		r := &Request{Path: fmt.Sprintf("a/%d", i), Bytes: 10, ArrivedAt: start + time.Duration(i)*5*ms, Left: 1500 * ms}
		if i%3 == 0 {
			r.Path = fmt.Sprintf("b/%d", i)
		} else {
			want = append(want, r.Path)
		}
		require.Equal(t, Hold, g.Arrive(r.ArrivedAt, r))
	}
	require.Empty(t, g.Configured(byPath))
	got = append(got, paths(g.Reached("a"))...)
	require.Equal(t, want, got)
	require.Equal(t, 30, g.Held())
	require.Equal(t, Pass, g.Arrive(start+600*ms, &Request{Path: "a/late", ArrivedAt: start + 600*ms}))
	require.Len(t, g.Reached("b"), 30)
	require.Zero(t, g.Held())
	require.Zero(t, g.bytes)
	require.Nil(t, g.Reached("b"))
}

// A request is held no longer than the setting allows, its caller has time for, and
// the entry may expect a configuration.
func TestHoldIsBounded(t *testing.T) {
	g := testGate()
	require.Equal(t, start+second, g.Until(&Request{ArrivedAt: start}))
	require.Equal(t, start+300*ms, g.Until(&Request{ArrivedAt: start, Left: 400 * ms}))
	require.Equal(t, start+2*second, g.Until(&Request{ArrivedAt: start + 1900*ms, Left: 9 * second}))
	unread := &Request{ArrivedAt: start, Left: 400 * ms}
	require.Equal(t, Pass, g.Arrive(start+350*ms, unread), "its time passed before it was read")
	require.Equal(t, Pass, g.Arrive(start+5*second, &Request{ArrivedAt: start + 5*second}), "control is away")
	require.Equal(t, Pass, New(start, Limits{Count: 9, Bytes: 9}).Arrive(start, &Request{ArrivedAt: start}), "holding is off")
	for range 100 {
		require.Equal(t, Hold, g.Arrive(start, &Request{ArrivedAt: start}))
	}
	require.Equal(t, Pass, g.Arrive(start, &Request{ArrivedAt: start}), "too many")
	g = testGate()
	require.Equal(t, Hold, g.Arrive(start, &Request{ArrivedAt: start, Bytes: 9000}))
	require.Equal(t, Pass, g.Arrive(start, &Request{ArrivedAt: start, Bytes: 1001}), "too large")
	require.Equal(t, Hold, g.Arrive(start, &Request{ArrivedAt: start, Bytes: 1000}))
}

// A caller that leaves frees its place; a request with an unknown route is not held
// once there is a configuration; a drain ends all holds.
func TestHoldEnds(t *testing.T) {
	g := testGate()
	gone, unknown, kept := &Request{Path: "a/1", ArrivedAt: start, Bytes: 10_000}, &Request{Path: "unknown/2", ArrivedAt: start}, &Request{Path: "a/3", ArrivedAt: start}
	for _, r := range []*Request{gone, unknown, kept} {
		require.Equal(t, Hold, g.Arrive(start, r))
	}
	require.True(t, g.Leave(gone))
	require.False(t, g.Leave(gone))
	require.Zero(t, g.bytes)
	require.Equal(t, []*Request{unknown}, g.Configured(byPath))
	require.Equal(t, []*Request{kept}, g.Close())
	require.False(t, g.Leave(kept))
	require.Equal(t, Pass, g.Arrive(start, &Request{Path: "a/4", ArrivedAt: start}))
}
