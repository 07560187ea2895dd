package crowd

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// clientsAddr is the address of the entry for clients.
var clientsAddr = address(addrEntry, portClients)

// shortOf is how many bytes stalled bodies lack.
const shortOf = 1

// onEntry is a crowd of clients of the entry.
func (f *fleet) onEntry(clients int, send func(*client) error) *crowd {
	return &crowd{addr: clientsAddr, clients: clients, send: send, reads: true, submits: f.ledger.Submitted}
}

// require runs a crowd and checks the fleet during and after it.
func (f *fleet) require(c *crowd) {
	f.t.Helper()
	c.run(f.t, func() { f.requireOrdinaryAnswer("beside the crowd") })
	f.requireOrdinaryAnswer("after the crowd")
	f.requireBounds()
}

func stalledBody(c *client) error {
	if err := c.announce(maxBodyBytes); err != nil {
		return err
	}
	return c.write(jobBody(1, maxBodyBytes-shortOf))
}

// TestStalledBodies guards against an entry whose memory grows with the bodies that
// clients of legal size have begun to send and never end.
func TestStalledBodies(t *testing.T) {
	f := startFleet(t, options{})
	f.require(f.onEntry(1500, stalledBody))
}

// TestAnnouncedBodies guards against memory that is reserved when a body is announced:
// the clients send nothing of it.
func TestAnnouncedBodies(t *testing.T) {
	f := startFleet(t, options{})
	f.require(f.onEntry(1500, func(c *client) error { return c.announce(maxBodyBytes) }))
}

const chunkSize = 8_000

func stalledChunks(c *client) error {
	if err := c.head("Transfer-Encoding: chunked\r\n"); err != nil {
		return err
	}
	body := jobBody(1, maxBodyBytes)
	for at := 0; at+chunkSize < len(body); at += chunkSize {
		if err := c.chunk(body[at : at+chunkSize]); err != nil {
			return err
		}
	}
	return nil
}

// TestStalledChunks guards against the same for bodies whose size is not announced.
func TestStalledChunks(t *testing.T) {
	f := startFleet(t, options{})
	f.require(f.onEntry(1500, stalledChunks))
}

// TestOversizedBodies guards against bodies over the manifest's limit that are read all
// the same: one announced, one in chunks without an end, one of absurd length.
func TestOversizedBodies(t *testing.T) {
	const justUnder, absurd, chunks = 1<<20 - 1, 1 << 40, 512
	f := startFleet(t, options{})
	f.require(f.onEntry(600, func(c *client) error {
		switch c.number % 3 {
		case 0:
			if err := c.announce(justUnder); err != nil {
				return err
			}
			return c.write(strings.Repeat("x", justUnder-shortOf))
		case 1:
			if err := c.announce(absurd); err != nil {
				return err
			}
			return c.write(strings.Repeat("x", justUnder))
		}
		if err := c.head("Transfer-Encoding: chunked\r\n"); err != nil {
			return err
		}
		for range chunks {
			if err := c.chunk(strings.Repeat("x", chunkSize)); err != nil {
				return err
			}
		}
		return nil
	}))
}

// TestWholeLargeBodies guards against whole bodies of legal size that arrive on many
// connections at once.
func TestWholeLargeBodies(t *testing.T) {
	const rounds = 3
	f := startFleet(t, options{})
	f.require(f.onEntry(1000, func(c *client) error {
		for range rounds {
			if err := c.announce(maxBodyBytes); err != nil {
				return err
			}
			if err := c.write(jobBody(1, maxBodyBytes)); err != nil {
				return err
			}
		}
		return nil
	}))
}

// TestRequestsSentAhead guards against clients that send requests without reading an
// answer, each with a new key.
func TestRequestsSentAhead(t *testing.T) {
	const ahead = 2000
	f := startFleet(t, options{})
	c := f.onEntry(1500, func(c *client) error {
		body := jobBody(1, 4_000)
		for range ahead {
			if err := c.announce(len(body)); err != nil {
				return err
			}
			if err := c.write(body); err != nil {
				return err
			}
		}
		return nil
	})
	c.reads = false
	f.require(c)
}

// TestUnreadAnswers guards against answers that pile up because nobody reads them:
// requests of a line each are answered at once.
func TestUnreadAnswers(t *testing.T) {
	const ahead = 20_000
	f := startFleet(t, options{})
	c := f.onEntry(1000, func(c *client) error {
		batch := strings.Repeat("GET "+prefix+" HTTP/1.1\r\nHost: "+host+"\r\n\r\n", 100)
		for range ahead / 100 {
			if err := c.write(batch); err != nil {
				return err
			}
		}
		return nil
	})
	c.reads = false
	f.require(c)
}

// TestManyTasks guards against the tasks of a job that are built before anybody asks
// whether there is room for them: 200 bytes ask for 100,000.
func TestManyTasks(t *testing.T) {
	const tasks = 100_000
	f := startFleet(t, options{})
	f.require(f.onEntry(200, func(c *client) error {
		body := jobBody(tasks, 0)
		if err := c.announce(len(body)); err != nil {
			return err
		}
		return c.write(body)
	}))
}

// TestStalledHeaders guards against heads of requests that never end.
func TestStalledHeaders(t *testing.T) {
	f := startFleet(t, options{})
	f.require(f.onEntry(2500, func(c *client) error {
		return c.write("POST " + prefix + newID() + " HTTP/1.1\r\nHost: " + host + "\r\nX-Padding: " + strings.Repeat("x", 15_000))
	}))
}

// TestIdleConnections guards against connections without a request that take all
// descriptors of the host.
func TestIdleConnections(t *testing.T) {
	f := startFleet(t, options{})
	f.require(f.onEntry(5000, func(*client) error { return nil }))
}

// TestConnectionsAboveTheSetting guards against the setting max-connections without an
// effect.
func TestConnectionsAboveTheSetting(t *testing.T) {
	const connections = 300
	f := startFleet(t, options{limits: fmt.Sprintf("max-connections = %d\n", connections)})
	f.meterOf(f.entry).maxDescriptors = connections + filesReserve
	f.require(f.onEntry(900, func(c *client) error { return c.write("GET " + prefix + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n") }))
}

func (f *fleet) meterOf(p *process) *meter {
	for _, m := range f.meters {
		if m.p == p {
			return m
		}
	}
	f.t.Fatalf("%s has no meter", p.name)
	return nil
}

// TestAllAtOnce guards against bounds that hold one by one and not together.
func TestAllAtOnce(t *testing.T) {
	kinds := []func(*client) error{
		stalledBody,
		stalledChunks,
		func(c *client) error { return c.announce(maxBodyBytes) },
		func(*client) error { return nil },
		func(c *client) error {
			body := jobBody(50_000, 0)
			if err := c.announce(len(body)); err != nil {
				return err
			}
			return c.write(body)
		},
		func(c *client) error {
			if err := c.announce(maxBodyBytes); err != nil {
				return err
			}
			return c.write(jobBody(1, maxBodyBytes))
		},
	}
	f := startFleet(t, options{})
	f.require(f.onEntry(3600, func(c *client) error { return kinds[c.number%len(kinds)](c) }))
}

// TestStalledBodiesOfCallers guards against the same at the interface of the product.
func TestStalledBodiesOfCallers(t *testing.T) {
	const size = 4 << 20
	f := startFleet(t, options{})
	c := f.onEntry(200, func(c *client) error {
		head := fmt.Sprintf("POST /v1/services/%s/requests HTTP/1.1\r\nHost: x\r\nFireflytray-Team: a\r\nContent-Length: %d\r\n\r\n", service, size)
		if err := c.write(head); err != nil {
			return err
		}
		return c.write(strings.Repeat("x", size-shortOf))
	})
	c.addr, c.submits = address(addrEntry, portCallers), nil
	f.require(c)
}

// TestStalledDocuments guards against documents that nobody ends at a control host.
func TestStalledDocuments(t *testing.T) {
	const size = 512 << 10
	f := startFleet(t, options{})
	c := f.onEntry(800, func(c *client) error {
		if err := c.write(fmt.Sprintf("PUT /config HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", size)); err != nil {
			return err
		}
		return c.write(strings.Repeat(" ", size-shortOf))
	})
	c.addr, c.submits = address(addrControl, portOperators), nil
	c.run(t, func() {
		require.Eventually(t, func() bool { return f.putManifest(manifest) == http.StatusOK }, waitTimeout, pollInterval, "a manifest is acknowledged beside the crowd")
	})
	f.requireOrdinaryAnswer("after the crowd")
	f.requireBounds()
}

// TestStalledHeartbeats guards against the same at an agent, whose host is smaller.
func TestStalledHeartbeats(t *testing.T) {
	const size = 64 << 10
	f := startFleet(t, options{})
	c := f.onEntry(2500, func(c *client) error {
		if err := c.write(fmt.Sprintf("PUT /instances/x%d HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", c.number, size)); err != nil {
			return err
		}
		return c.write(strings.Repeat(" ", size-shortOf))
	})
	c.addr, c.submits = address(addrAgent, portHeartbeats), nil
	f.require(c)
}

// TestReadinessBesideIdleConnections guards against a check of the load balancer that
// finds no room behind connections without a request.
func TestReadinessBesideIdleConnections(t *testing.T) {
	f := startFleet(t, options{})
	addr := address(addrEntry, portReady)
	c := f.onEntry(5000, func(*client) error { return nil })
	c.addr, c.submits = addr, nil
	c.run(t, func() {
		client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		require.Eventually(t, func() bool {
			resp, err := client.Get("http://" + addr + "/readiness")
			if err != nil {
				return false
			}
			resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		}, waitTimeout, pollInterval, "the entry is ready")
		f.requireOrdinaryAnswer("beside the crowd")
	})
	f.requireBounds()
}

// TestLargestRequestIsServed guards against bounds that refuse a request within the
// limits of the manifest when nothing else is to do.
func TestLargestRequestIsServed(t *testing.T) {
	f := startFleet(t, options{})
	large := job{id: newID(), body: jobBody(1, maxBodyBytes)}
	require.Contains(t, f.request(large), `200 {"state":"completed"}`, "a body of %d bytes", maxBodyBytes)

	id := newID()
	f.ledger.Submitted(id)
	body := jobBody(1, maxBodyBytes)
	head := fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nX-Fireflytray-Deadline-Ms: 1500\r\nConnection: close\r\nContent-Length: %d\r\n", prefix, id, host, len(body))
	name, end := "X-Padding: ", "\r\n\r\n"
	head += name + strings.Repeat("x", maxHeaderBytes-len(head)-len(name)-len(end)) + end
	require.Len(t, head, maxHeaderBytes)
	raw, err := net.DialTimeout("tcp", clientsAddr, dialTimeout)
	require.NoError(t, err)
	defer raw.Close()
	_, err = raw.Write([]byte(head + body))
	require.NoError(t, err)
	answer := make([]byte, 4096)
	_ = raw.SetReadDeadline(time.Now().Add(waitTimeout)) // an open connection takes deadlines
	n, err := raw.Read(answer)
	require.NoError(t, err, "headers of %d bytes", maxHeaderBytes)
	require.Contains(t, string(answer[:n]), " 200 ")
	f.requireBounds()
}

// TestLimitsOfTheManifest guards against limits that operators announce and nobody applies.
func TestLimitsOfTheManifest(t *testing.T) {
	f := startFleet(t, options{})
	large := job{id: newID(), body: jobBody(1, maxBodyBytes+1)}
	require.Contains(t, f.request(large), "413 ")
	long := newJob()
	long.header = map[string]string{"X-Padding": strings.Repeat("x", maxHeaderBytes)}
	require.Contains(t, f.request(long), "431 ")
	for _, refused := range []job{large, long} {
		require.Zero(t, f.ledger.Started(refused.id), "a refused job has started")
	}
	f.requireOrdinaryAnswer("after the refusals")
	f.requireBounds()
}

// TestChunkedRequestIsServed guards the same for a body in chunks.
func TestChunkedRequestIsServed(t *testing.T) {
	f := startFleet(t, options{})
	c := f.onEntry(1, func(c *client) error {
		if err := c.head("Transfer-Encoding: chunked\r\nConnection: close\r\n"); err != nil {
			return err
		}
		body := jobBody(1, maxBodyBytes)
		for at := 0; at < len(body); at += chunkSize {
			if err := c.chunk(body[at:min(at+chunkSize, len(body))]); err != nil {
				return err
			}
		}
		return c.write("0\r\n\r\n")
	})
	raw, err := net.DialTimeout("tcp", clientsAddr, dialTimeout)
	require.NoError(t, err)
	defer raw.Close()
	require.NoError(t, c.send(&client{raw, c, 0}))
	answer := make([]byte, 4096)
	_ = raw.SetReadDeadline(time.Now().Add(waitTimeout)) // an open connection takes deadlines
	n, err := raw.Read(answer)
	require.NoError(t, err)
	require.Contains(t, string(answer[:n]), " 200 ")
	f.requireBounds()
}
