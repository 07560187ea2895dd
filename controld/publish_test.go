package controld

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/fireflytray/fireflytray/control"
	"github.com/fireflytray/fireflytray/wire"
)

// routesDocument returns a document with n routes. Operators publish documents of
// the sizes used here in a deployment of the users' size.
func routesDocument(n int) []wire.ConfigSection {
	list := []wire.ConfigSection{{Name: "service s"}}
	for i := range n {
		list = append(list, wire.ConfigSection{Name: fmt.Sprintf("route r%d", i), Keys: []wire.ConfigPair{
			{Key: "host", Value: fmt.Sprintf("h%d.example", i%7)}, {Key: "prefix", Value: fmt.Sprintf("/p%d/", i)},
			{Key: "service", Value: "s"}, {Key: "timeout", Value: "1s"},
		}})
	}
	return list
}

// A document with hundreds of routes is a single log entry, far above 64 KiB, and
// must be accepted.
func TestLargeDocumentIsAccepted(t *testing.T) {
	c := startCluster(t, 3)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for version, n := range []int{10, 430, 1000} {
		refused, err := c.hosts[c.leader()].Publish(ctx, "op", uint64(version+1), routesDocument(n), bytes.Repeat([]byte("x"), 180*n))
		require.NoError(t, err, "%d routes", n)
		require.Empty(t, refused)
	}
}

// fullRoutes returns a document with n routes that set every key, as the platform's do.
func fullRoutes(n int) []wire.ConfigSection {
	list := routesDocument(n)
	for i := range list[1:] {
		list[i+1].Keys = append(list[i+1].Keys, wire.ConfigPair{Key: "target-latency", Value: "60ms"}, wire.ConfigPair{Key: "latency-factor", Value: "1.6"},
			wire.ConfigPair{Key: "priority", Value: "3"}, wire.ConfigPair{Key: "max-attempts", Value: "3"}, wire.ConfigPair{Key: "idempotent", Value: "false"})
	}
	return list
}

// A valid document of 1,400 routes more was answered with "unavailable" for ever: the log
// holds it twice, as received and as sections, and a command was limited to 512 KiB. The
// replicas that get it from the leader, and one that restarts, take it, too.
func TestDocumentOfManyRoutesIsAccepted(t *testing.T) {
	c := startCluster(t, 3)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	const routes = 1600
	refused, err := c.hosts[c.leader()].Publish(ctx, "op", 7, fullRoutes(routes), bytes.Repeat([]byte("x"), 210*routes))
	require.NoError(t, err)
	require.Empty(t, refused)
	for _, h := range c.hosts {
		eventually(t, "the document is in force", func() bool { return h.machine.Published().Version == 7 })
	}
}

// A document that the log can't take is refused at once, with the limit, and isn't retried
// until the caller's time is over.
func TestTooLargeDocumentIsRefusedAtOnce(t *testing.T) {
	h := startHost(t, newAuthority(t), "control-1", "127.0.0.1:0")
	eventually(t, "the host is fresh", func() bool { return h.fresh.Load() })
	// The context never ends, so that a retry would not either.
	ctx := context.Background()
	for name, publish := range map[string]func() (string, error){
		"source": func() (string, error) {
			return h.Publish(ctx, "op", 7, routesDocument(1), make([]byte, control.MaxSource+1))
		},
		"sections": func() (string, error) { return h.Publish(ctx, "op", 7, fullRoutes(9000), nil) },
	} {
		t.Run(name, func(t *testing.T) {
			_, err := publish()
			var tooLarge *TooLargeError
			require.ErrorAs(t, err, &tooLarge)
			require.Greater(t, tooLarge.Bytes, tooLarge.Limit)
			require.Equal(t, fasthttp.StatusRequestEntityTooLarge, problemOf(err).Status)
		})
	}
	refused, err := h.Publish(ctx, "op", 7, routesDocument(1), make([]byte, control.MaxSource))
	require.NoError(t, err)
	require.Empty(t, refused)
}

// Such documents are refused where they arrive, and nothing of them is in the log: replicas
// of earlier builds accept them.
func TestDocumentWithUnreachableRoutesIsNotProposed(t *testing.T) {
	c := startCluster(t, 1)
	host := c.hosts[c.leader()]
	publish := func(version uint64, hosts ...string) string {
		t.Helper()
		sections := []wire.ConfigSection{{Name: "service s"}}
		for i, name := range hosts {
			sections = append(sections, wire.ConfigSection{Name: fmt.Sprintf("route r%d", i), Keys: []wire.ConfigPair{
				{Key: "host", Value: name}, {Key: "prefix", Value: "/p/"}, {Key: "service", Value: "s"}, {Key: "timeout", Value: "1s"},
			}})
		}
		refused, err := host.Publish(t.Context(), "op", version, sections, []byte("source"))
		require.NoError(t, err)
		return refused
	}
	require.Contains(t, publish(1, "a.example", "A.example"), "hosts have no case")
	require.Contains(t, publish(1, "a@b"), "is not a host")
	require.Zero(t, host.machine.Published().Version)
	require.Empty(t, host.machine.Audit(control.AuditFilter{}))
	require.Empty(t, publish(1, "A.example", "b.example"))
	require.Equal(t, uint64(1), host.machine.Published().Version)
}

// Control hosts of earlier builds propose, and keep on their disks, documents that this build
// refuses from operators. A stricter rule in the replicated machine would take such a document
// out of force on restart, or keep it out on the replicas of one build only.
func TestDocumentsOfEarlierBuildsStayInForce(t *testing.T) {
	c := startCluster(t, 3)
	route := func(name, host string) wire.ConfigSection {
		return wire.ConfigSection{Name: "route " + name, Keys: []wire.ConfigPair{
			{Key: "host", Value: host}, {Key: "prefix", Value: "/p/"}, {Key: "service", Value: "s"}, {Key: "timeout", Value: "1s"},
		}}
	}
	earlier := &control.Publish{
		Version: 7, Source: []byte("{\"version\":7,\"note\":\"\xff\"}"),
		Sections: []wire.ConfigSection{{Name: "service s"}, route("a", "Queue.example"), route("b", "queue.example"), route("c", "a@b"), route("d", "\ufffd")},
	}
	reply, err := c.hosts[c.leader()].propose(t.Context(), &control.Command{Publish: earlier})
	require.NoError(t, err)
	require.True(t, reply.Publish.Accepted, reply.Publish.Detail)
	check := func() {
		t.Helper()
		digests := map[uint64]bool{}
		for _, h := range c.hosts {
			eventually(t, "the document is in force", func() bool { return h.machine.Published().Version == earlier.Version })
			require.Equal(t, earlier.Source, h.machine.Published().Source)
			_, doc := h.machine.Current()
			digests[doc.Digest()] = true
			found, _ := doc.Effective("").Routes.Find("QUEUE.example", "/p/")
			require.Equal(t, "b", found.Name, "the route that earlier builds served")
		}
		require.Len(t, digests, 1)
	}
	check()
	for _, h := range c.hosts {
		h.shutDown()
	}
	for i := range c.hosts {
		c.start(i, false)
	}
	check()
	refused, err := c.hosts[c.leader()].Publish(t.Context(), "op", 8, routesDocument(3), []byte("source"))
	require.NoError(t, err)
	require.Empty(t, refused, "a later document replaces it")
}
