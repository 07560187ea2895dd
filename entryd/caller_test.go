package entryd

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/entry"
	"github.com/fireflytray/fireflytray/fleet"
	"github.com/fireflytray/fireflytray/loop"
	"github.com/fireflytray/fireflytray/platform"
	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

const (
	testTimeout  = 10 * time.Second
	testAgent    = "agent-1"
	testDocument = `{"version":7,"routes":[{"name":"r-1","host":"a.example","pathPrefix":"/x/","kind":"non_idempotent","timeoutMs":60000,"targetLatencyMs":60000,"priority":1,"service":"s","maxAttempts":3,"latencyFactor":1.6}],"services":[{"name":"s","healthPath":"/health","maxConns":64}],"limits":{"maxBodyBytes":262144}}`
)

// testJob is the body of a job of one task.
const testJob = `{"bestEffort":true,"jobSpec":"p","steps":[{"count":1,"cpu":100,"memMb":10}]}`

// clientFixture is an entry that serves the platform's clients. Its only agent
// runs one task at a time and has no session: the test sees the updates to it.
type clientFixture struct {
	t    *testing.T
	d    *Daemon
	addr string
	logs *lockedBuffer
	// dials has the dials of the entry.
	dials chan entry.Dial

	mu      sync.Mutex
	session uint64
	// started and stopped are the tasks that were sent and cancelled, in order.
	started, stopped []task.ID
	names            map[task.ID]string
	within           map[task.ID]time.Duration // the time that each task had left when it was sent
	reportSeq        uint64
	updateSeq        uint64
}

type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *lockedBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.String()
}

func newClientFixture(t *testing.T) *clientFixture {
	t.Helper()
	f := newUnconfiguredFixture(t, 0)
	f.configure()
	f.serve()
	f.connect()
	return f
}

// newUnconfiguredFixture returns an entry that has neither a configuration nor an
// agent and isn't serving yet.
func newUnconfiguredFixture(t *testing.T, wait time.Duration) *clientFixture {
	f := &clientFixture{t: t, names: map[task.ID]string{}, within: map[task.ID]time.Duration{}, logs: &lockedBuffer{}, dials: make(chan entry.Dial, 1)}
	f.d = New(Options{
		Log: log.New(f.logs), Self: wire.Peer{Role: wire.RoleEntry, ID: "e", Incarnation: 1}, Trace: true,
		HoldUnconfigured: wait,
	})
	f.d.loop = loop.New[entry.Event, entry.Effect](&viewServer{f.d.state}, entry.Tick{}, func(eff entry.Effect) {
		switch eff := eff.(type) {
		case entry.Dial:
			f.dials <- eff
		case entry.Send:
			f.record(eff.Update)
		default:
			f.d.exec(eff)
		}
	})
	return f
}

func (f *clientFixture) configure() {
	f.t.Helper()
	doc, err := platform.DecodeDocument([]byte(testDocument))
	require.NoError(f.t, err)
	checked, err := fleet.FromSections(doc.Sections)
	require.NoError(f.t, err)
	f.d.OnConfig(checked.Effective(""))
}

// connect opens the session with the agent.
func (f *clientFixture) connect() {
	worker := &wire.Worker{Service: "s", Slots: 1, Offered: task.Resources{MilliCPU: 8000, MemoryMB: 8000}}
	f.d.OnDirectory(wire.Directory{Full: true, Complete: true, Upserts: []wire.Member{{
		Peer: wire.Peer{Role: wire.RoleAgent, ID: testAgent, Incarnation: 1, Addr: testAgent}, Worker: worker,
	}}})
	dial := <-f.dials
	f.session = dial.Hello.Session
	f.d.connected(dial, &wire.Welcome{From: dial.Peer, Worker: worker, Report: f.report()})
}

// serve runs the loop and the clients' server until the test ends.
func (f *clientFixture) serve() {
	f.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	f.addr = ln.Addr().String()
	require.NoError(f.t, ln.Close())
	looping, stopLoop := context.WithCancel(context.Background())
	serving, stopServing := context.WithCancel(context.Background())
	looped, served := make(chan struct{}), make(chan error, 1)
	go func() { defer close(looped); f.d.loop.Run(looping) }()
	go func() {
		served <- platform.NewClientServer(f.d).Serve(serving, f.addr, testTimeout, f.d.log)
	}()
	f.t.Cleanup(func() {
		f.d.answerUnfinished()
		stopServing()
		require.NoError(f.t, <-served)
		stopLoop()
		<-looped
	})
	require.Eventually(f.t, func() bool {
		conn, err := net.Dial("tcp", f.addr)
		if err == nil {
			conn.Close()
		}
		return err == nil
	}, testTimeout, time.Millisecond)
}

func (f *clientFixture) record(u *wire.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range u.Tasks {
		f.started = append(f.started, u.Tasks[i].ID)
		f.names[u.Tasks[i].ID] = u.Tasks[i].Spec.Name
		f.within[u.Tasks[i].ID] = u.Tasks[i].RunWithin
	}
	f.stopped = append(f.stopped, u.Cancel...)
	f.updateSeq = u.Seq
}

func (f *clientFixture) report(results ...wire.Result) *wire.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reportSeq++
	return &wire.Report{Seq: f.reportSeq, Credit: 1, Slots: 1, Ack: f.updateSeq, Outcomes: results}
}

// end reports the outcome of a task, which frees the agent's slot.
func (f *clientFixture) end(id task.ID, o task.Outcome) {
	f.d.loop.Post(entry.Received{Agent: testAgent, Session: f.session, Report: f.report(wire.Result{ID: id, Outcome: o})})
}

func (f *clientFixture) startedCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.started)
}

func (f *clientFixture) isStopped(id task.ID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.stopped {
		if s == id {
			return true
		}
	}
	return false
}

// awaitStart waits for the start number n, counted from 1, and returns its task.
func (f *clientFixture) awaitStart(n int) task.ID {
	f.t.Helper()
	f.eventually(func() bool { return f.startedCount() >= n }, "start %d", n)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.started[n-1]
}

// name returns the name of a task that was sent.
func (f *clientFixture) name(id task.ID) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.names[id]
}

func (f *clientFixture) eventually(ok func() bool, format string, args ...any) {
	f.t.Helper()
	require.Eventually(f.t, ok, testTimeout, time.Millisecond, append([]any{format}, args...)...)
}

// send submits a job of one task on a new connection.
func (f *clientFixture) send(ref string, headers ...string) *net.TCPConn {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.addr)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { conn.Close() })
	f.sendOn(conn, http.MethodPost, ref, testJob, headers...)
	return conn.(*net.TCPConn)
}

func (f *clientFixture) sendOn(conn net.Conn, method, ref, body string, headers ...string) {
	f.t.Helper()
	_, err := io.WriteString(conn, requestText(method, ref, body, headers...))
	require.NoError(f.t, err)
}

func requestText(method, ref, body string, headers ...string) string {
	headers = append(headers, "Host: a.example", fmt.Sprintf("Content-Length: %d", len(body)))
	return fmt.Sprintf("%s /x/%s HTTP/1.1\r\n%s\r\n\r\n%s", method, ref, strings.Join(headers, "\r\n"), body)
}

// answer reads the only answer on a connection.
func (f *clientFixture) answer(conn net.Conn) (status int, body string) {
	f.t.Helper()
	return f.answerFrom(conn, bufio.NewReader(conn))
}

// answerFrom reads the next answer on a connection.
func (f *clientFixture) answerFrom(conn net.Conn, in *bufio.Reader) (status int, body string) {
	f.t.Helper()
	require.NoError(f.t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
	resp, err := http.ReadResponse(in, nil)
	require.NoError(f.t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(f.t, err)
	return resp.StatusCode, string(text)
}

func (f *clientFixture) cancel(ref string) {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.addr)
	require.NoError(f.t, err)
	defer conn.Close()
	f.sendOn(conn, http.MethodDelete, ref, "")
	status, _ := f.answer(conn)
	require.Equal(f.t, http.StatusOK, status)
}

// waitingRef is the job that waits behind another one.
const waitingRef = "00000000000000aa"

var leaves = map[string]func(*net.TCPConn) error{
	"close": (*net.TCPConn).Close,
	"reset": func(c *net.TCPConn) error {
		if err := c.SetLinger(0); err != nil {
			return err
		}
		return c.Close()
	},
}

// A caller that leaves sends its job again to another entry. Its run here must be
// stopped, and a job that waits must not start: a task would run twice at once.
func TestJobOfCallerThatLeftIsStopped(t *testing.T) {
	for name, leave := range leaves {
		t.Run(name, func(t *testing.T) {
			f := newClientFixture(t)
			running := f.send(testRef)
			first := f.awaitStart(1)
			waiting := f.send(waitingRef)
			f.eventually(func() bool { return f.d.InFlight(waitingRef) }, "second job in flight")
			require.NoError(t, leave(waiting))
			f.eventually(func() bool { return !f.d.InFlight(waitingRef) }, "waiting job cancelled")
			require.True(t, f.d.InFlight(testRef), "its caller has not left")
			require.NoError(t, leave(running))
			f.eventually(func() bool { return f.isStopped(first) }, "run stopped")
			require.False(t, f.d.InFlight(testRef))
			f.end(first, task.Outcome{State: task.Failed, Reason: task.ReasonCancelled})
			last := f.send("00000000000000bb")
			require.Equal(t, "00000000000000bb.0.0.0", f.name(f.awaitStart(2)), "the job that waited doesn't start")
			require.NoError(t, last.Close())
		})
	}
}

// A job that is sent again after its caller left must be a new submission: joined to
// the cancelled one, it would be answered as cancelled though nobody cancelled it.
func TestResentJobIsNotAnsweredByCancellation(t *testing.T) {
	for name, leave := range leaves {
		t.Run(name, func(t *testing.T) {
			f := newClientFixture(t)
			conn := f.send(testRef)
			first := f.awaitStart(1)
			require.NoError(t, leave(conn))
			f.eventually(func() bool { return f.isStopped(first) }, "run stopped")
			again := f.send(testRef)
			f.eventually(func() bool { return f.d.InFlight(testRef) }, "job in flight again")
			f.end(first, task.Outcome{State: task.Failed, Reason: task.ReasonCancelled})
			second := f.awaitStart(2)
			require.NotEqual(t, first.Submission, second.Submission)
			f.end(second, task.Outcome{State: task.Complete})
			status, body := f.answer(again)
			require.Equal(t, http.StatusOK, status)
			require.JSONEq(t, `{"state":"completed"}`, body)
		})
	}
}

// A caller that leaves must not end a job for which another caller waits.
func TestJobOfRemainingCallerContinues(t *testing.T) {
	f := newClientFixture(t)
	left := f.send(testRef)
	first := f.awaitStart(1)
	stays := f.send(testRef)
	f.eventually(func() bool { return f.callers(testRef) == 2 }, "both wait for the job")
	require.NoError(t, left.Close())
	line := regexp.MustCompile(`caller left job=` + testRef + ` at=\S+ submission=\S+ age=\S+ callers_left=1`)
	f.eventually(func() bool { return line.MatchString(f.logs.text()) }, "one has left")
	f.end(first, task.Outcome{State: task.Complete})
	status, body := f.answer(stays)
	require.Equal(t, http.StatusOK, status)
	require.JSONEq(t, `{"state":"completed"}`, body)
	require.False(t, f.isStopped(first))
	require.Equal(t, 1, f.startedCount())
}

func (f *clientFixture) callers(ref string) int {
	r := f.d.jobs.inFlight(ref)
	if r == nil {
		return 0
	}
	f.d.jobs.mu.Lock()
	defer f.d.jobs.mu.Unlock()
	return len(r.callers)
}

// A cancellation by DELETE answers the callers that wait.
func TestDeletedJobIsAnsweredAsCancelled(t *testing.T) {
	f := newClientFixture(t)
	conn := f.send(testRef)
	first := f.awaitStart(1)
	f.cancel(testRef)
	status, body := f.answer(conn)
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, body, `"state":"cancelled"`)
	f.eventually(func() bool { return f.isStopped(first) }, "run stopped")
}

// A paused or starved entry reads requests whose callers have left long ago, and have
// sent their jobs to another entry. Such a job must not start, not even for the time
// until the end of its caller is noticed.
func TestRequestReadAfterItsCallerLeftIsDropped(t *testing.T) {
	f := newClientFixture(t)
	conn, err := net.Dial("tcp", f.addr)
	require.NoError(t, err)
	// The second request is handled after the first is answered.
	_, err = io.WriteString(conn, requestText(http.MethodPost, testRef, testJob)+requestText(http.MethodPost, waitingRef, testJob))
	require.NoError(t, err)
	first := f.awaitStart(1)
	require.NoError(t, conn.Close())
	f.eventually(func() bool { return f.isStopped(first) }, "run stopped")
	f.end(first, task.Outcome{State: task.Failed, Reason: task.ReasonCancelled})
	f.eventually(func() bool {
		return strings.Contains(f.logs.text(), "dropped a request whose caller had left job="+waitingRef)
	}, "request dropped")
	last := f.send("00000000000000bb")
	require.Equal(t, "00000000000000bb.0.0.0", f.name(f.awaitStart(2)))
	require.NoError(t, last.Close())
}

// The time that a request has waited to be read counts against its deadline: after it
// the caller has given up, although a silent link may hide that, and sends its job
// again. A request that is read late, but before its deadline, is served.
func TestRequestReadAfterItsDeadlineIsRefused(t *testing.T) {
	const deadline = 100 * time.Millisecond
	f := newClientFixture(t)
	conn := f.send(testRef)
	first := f.awaitStart(1)
	f.sendOn(conn, http.MethodPost, waitingRef, testJob, fmt.Sprintf("X-Fireflytray-Deadline-Ms: %d", deadline.Milliseconds()))
	time.Sleep(2 * deadline)
	f.end(first, task.Outcome{State: task.Complete})
	in := bufio.NewReader(conn)
	status, _ := f.answerFrom(conn, in)
	require.Equal(t, http.StatusOK, status)
	status, body := f.answerFrom(conn, in)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Contains(t, body, "deadline")
	require.Equal(t, 1, f.startedCount())

	f.sendOn(conn, http.MethodPost, "00000000000000bb", testJob)
	second := f.awaitStart(2)
	f.sendOn(conn, http.MethodPost, "00000000000000cc", testJob, "X-Fireflytray-Deadline-Ms: 60000")
	time.Sleep(2 * deadline)
	f.end(second, task.Outcome{State: task.Complete})
	f.end(f.awaitStart(3), task.Outcome{State: task.Complete})
	for range 2 {
		status, _ = f.answerFrom(conn, in)
		require.Equal(t, http.StatusOK, status)
	}
}
