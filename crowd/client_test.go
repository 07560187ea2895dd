package crowd

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fireflytray/fireflytray/platform/standin"
)

const (
	// sendTimeout bounds how long a client keeps sending against a full socket, and
	// dialTimeout how long it tries to connect.
	sendTimeout = 4 * time.Second
	dialTimeout = 4 * time.Second
	// visits is how often a client connects: it comes back when it is cut off.
	visits = 2
)

// job is a request that submits a job.
type job struct {
	id, body string
	header   map[string]string
}

var jobCount atomic.Uint64

func newID() string { return fmt.Sprintf("%016x", jobCount.Add(1)) }

// newJob returns an ordinary job of one short task.
func newJob() job { return job{id: newID(), body: jobBody(1, 0)} }

// jobBody returns the body of a job with a number of tasks, padded to a size in bytes.
func jobBody(tasks, size int) string {
	body := fmt.Sprintf(`{"jobSpec":%q,"bestEffort":true,"steps":[{"count":%d,"cpu":100,"memMb":1,"estimateMs":1}]}`,
		standin.Payload(time.Millisecond, 100), tasks)
	return body + strings.Repeat(" ", max(0, size-len(body)))
}

// client is one connection of a crowd.
type client struct {
	net.Conn
	crowd *crowd
	// number counts the clients of the crowd.
	number int
}

// crowd is a number of clients that behave alike.
type crowd struct {
	addr    string
	clients int
	// send sends what the clients send; an error means that the server has closed the
	// connection or does not read.
	send func(*client) error
	// reads makes the clients read and drop what is answered. Others leave it unread.
	reads bool
	// submits is called with the id of each job that the crowd submits.
	submits func(id string)
}

// run connects all clients, has each send its part, and calls check while those that the
// server has not closed are still connected.
func (c *crowd) run(t *testing.T, check func()) {
	t.Helper()
	var settled, ended sync.WaitGroup
	release := make(chan struct{})
	var connected, finished atomic.Int64
	for i := range c.clients {
		settled.Add(1)
		ended.Go(func() {
			done := sync.OnceFunc(settled.Done)
			defer done()
			for range visits {
				if c.visit(i, release, done, &connected, &finished) {
					return
				}
			}
		})
	}
	settled.Wait()
	t.Logf("%d clients: %d connections, %d sent all", c.clients, connected.Load(), finished.Load())
	check()
	close(release)
	ended.Wait()
}

// visit is one connection of a client. It returns true once the crowd is released, and
// false if the server has closed the connection before.
func (c *crowd) visit(i int, release <-chan struct{}, settled func(), connected, finished *atomic.Int64) bool {
	raw, err := net.DialTimeout("tcp", c.addr, dialTimeout)
	if err != nil {
		return false
	}
	defer raw.Close()
	connected.Add(1)
	dropped := make(chan struct{})
	if c.reads {
		go func() {
			defer close(dropped)
			_, _ = io.Copy(io.Discard, raw) // until the server or the client closes the connection
		}()
	}
	_ = raw.SetWriteDeadline(time.Now().Add(sendTimeout)) // an open connection takes deadlines
	if c.send(&client{raw, c, i}) == nil {
		finished.Add(1)
	} else if !c.reads {
		// A client that does not read can't tell a closed connection from one that
		// the server does not read.
		settled()
		<-release
		return true
	}
	settled()
	select {
	case <-release:
		return true
	case <-dropped:
		return false
	}
}

// write sends a text.
func (c *client) write(text string) error {
	_, err := io.WriteString(c.Conn, text)
	return err
}

// head sends the head of a request for a new job, with further header lines.
func (c *client) head(lines string) error {
	id := newID()
	if c.crowd.submits != nil {
		c.crowd.submits(id)
	}
	return c.write("POST " + prefix + id + " HTTP/1.1\r\nHost: " + host + "\r\nX-Fireflytray-Deadline-Ms: 1500\r\n" + lines + "\r\n")
}

// announce sends the head of a request with a body of a size.
func (c *client) announce(size int) error {
	return c.head(fmt.Sprintf("Content-Length: %d\r\n", size))
}

// chunk sends one chunk of a body.
func (c *client) chunk(text string) error {
	return c.write(fmt.Sprintf("%x\r\n%s\r\n", len(text), text))
}
