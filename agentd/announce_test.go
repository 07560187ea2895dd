package agentd

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/agent"
	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/upstream"
)

func validAnnouncement() upstream.Announcement {
	return upstream.Announcement{
		Instance: "i", Service: "alert-core", Address: "127.0.0.1:1", Slots: 8, Connections: 64, LeaseMS: 3000,
	}
}

func TestInvalidAnnouncementIsRejected(t *testing.T) {
	cases := map[string]func(*upstream.Announcement){
		"instance":    func(a *upstream.Announcement) { a.Instance = "" },
		"service":     func(a *upstream.Announcement) { a.Service = "" },
		"slots":       func(a *upstream.Announcement) { a.Slots = maxSlots + 1 },
		"connections": func(a *upstream.Announcement) { a.Connections = 0 },
		"lease":       func(a *upstream.Announcement) { a.LeaseMS = 1 },
		"address":     func(a *upstream.Announcement) { a.Address = "nowhere" },
	}
	for name, invalidate := range cases {
		a := validAnnouncement()
		invalidate(&a)
		body, err := json.Marshal(a)
		require.NoError(t, err)
		_, err = decodeAnnouncement(body)
		require.ErrorContains(t, err, name)
	}
	_, err := decodeAnnouncement([]byte(`{"instance":"i","slot":8}`))
	require.ErrorContains(t, err, `unknown field "slot"`)
}

func TestOptionsFillInAnnouncementDefaults(t *testing.T) {
	d := &daemon{opts: Options{Offered: task.Resources{MilliCPU: 1000}, Rack: "r1"}}
	body, err := json.Marshal(validAnnouncement())
	require.NoError(t, err)
	ev, err := d.decode(upstream.PathAnnounce, body)
	require.NoError(t, err)
	up := ev.(agent.Announced).Upstream
	require.Equal(t, task.Resources{MilliCPU: 1000}, up.Offered)
	require.Equal(t, "r1", up.Rack)
	require.Equal(t, 3*time.Second, up.Lease)
}

// An announcement that package json repairs announced another upstream.
func TestAnnouncementThatWouldBeRepairedIsRefused(t *testing.T) {
	const text = `{"instance":"i-1","service":"s","address":"127.0.0.1:1","slots":8,"connections":8,"lease_ms":1000}`
	_, err := decodeAnnouncement([]byte(text))
	require.NoError(t, err)
	for _, instance := range []string{"i-\xff", `i-\ud83d`, `i-2","instance":"i-1`, `i-1","Instance":"i-2`} {
		_, err := decodeAnnouncement([]byte(strings.Replace(text, "i-1", instance, 1)))
		require.Error(t, err, instance)
	}
}

// FuzzDecode checks that every event decoded from an arbitrary body is within the
// limits.
func FuzzDecode(f *testing.F) {
	body, err := json.Marshal(validAnnouncement())
	require.NoError(f, err)
	f.Add(upstream.PathAnnounce, body)
	f.Add(upstream.PathLeave, []byte(`{"instance":"i"}`))
	f.Add(pathUsage, []byte(`{"in_use":{"milli_cpu":1},"age_ms":200}`))
	d := &daemon{}
	f.Fuzz(func(t *testing.T, path string, body []byte) {
		ev, err := d.decode(path, body)
		if err != nil {
			return
		}
		switch ev := ev.(type) {
		case agent.Announced:
			u := ev.Upstream
			require.True(t, u.Instance != "" && u.Service != "" && u.Slots > 0 && u.Slots <= maxSlots)
			require.True(t, u.Connections > 0 && u.Lease >= minLease && u.Lease <= maxLease)
		case agent.Left:
			require.NotEmpty(t, ev.Instance)
		case agent.Usage:
			require.True(t, ev.Age >= 0 && ev.Age <= maxUsageAge)
		}
	})
}
