package entryd

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/httpapi"
	"github.com/fireflytray/fireflytray/task"
)

// A submission that arrives while the entry shuts down is answered.
func TestSubmissionAtShutdownIsAnswered(t *testing.T) {
	const (
		submitters  = 64
		loadTime    = 200 * time.Millisecond
		answerLimit = 5 * time.Second
	)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d := New(Options{
		Log: log.New(io.Discard), Listener: ln, DrainTimeout: answerLimit,
		HTTP: httpapi.Config{ShutdownDelay: time.Millisecond},
	})
	var ended atomic.Bool
	var wg sync.WaitGroup
	defer wg.Wait()
	defer ended.Store(true)
	var unanswered atomic.Int64
	for i := range submitters {
		wg.Go(func() {
			for n := 0; !ended.Load(); n++ {
				answered := make(chan task.Answer, 1)
				ref := fmt.Sprintf("%08x%08x", i, n)
				d.SubmitJob(draftOf(task.Submission{Ref: ref, Job: true, Service: "s", Tasks: []task.Spec{{Name: ref}}}), nil,
					func(a task.Answer) { answered <- a })
				select {
				case <-answered:
				case <-time.After(answerLimit):
					unanswered.Add(1)
					return
				}
			}
		})
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	returned := make(chan error, 1)
	go func() { returned <- d.Run(ctx) }()
	time.Sleep(loadTime)
	stop()
	require.NoError(t, <-returned)
	ended.Store(true)
	wg.Wait()
	require.Zero(t, unanswered.Load(), "of %d submitters got no answer to a submission that the entry had taken", submitters)
}

// A request that a server reads while it stops must be handled like any other and
// not be refused because of the drain: its caller may have no second try.
func TestRequestReadWhileServersStopIsNotRefused(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	answered := make(chan task.Answer, 1)
	lateRequest := func(ctx context.Context, d *Daemon) error {
		<-ctx.Done()
		d.Submit(task.Submission{Service: "s", Tasks: []task.Spec{{}}}, func(a task.Answer) { answered <- a })
		return nil
	}
	d := New(Options{
		Log: log.New(io.Discard), Listener: ln, DrainTimeout: 5 * time.Second,
		HTTP:  httpapi.Config{ShutdownDelay: time.Millisecond},
		Serve: []func(context.Context, *Daemon) error{lateRequest},
	})
	ctx, stop := context.WithCancel(context.Background())
	stop()
	require.NoError(t, d.Run(ctx))
	// The entry has no configuration, which is the only reason to refuse.
	require.Equal(t, task.ReasonBusy, (<-answered).Reason)
}

// A request whose outcome is still unknown when the drain is out of time must be
// answered so and not be cut off.
func TestUnfinishedRequestIsAnsweredWhenDrainTimesOut(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	answered := make(chan task.Answer, 1)
	d := New(Options{
		Log: log.New(io.Discard), Listener: ln, DrainTimeout: 50 * time.Millisecond,
		HTTP: httpapi.Config{ShutdownDelay: time.Millisecond},
	})
	d.callbacks[task.NewSubmissionID(1, 1)] = func(a task.Answer) { answered <- a }
	d.opts.Serve = []func(context.Context, *Daemon) error{func(ctx context.Context, d *Daemon) error {
		<-ctx.Done()
		require.Equal(t, task.Unknown, (<-answered).State)
		return nil
	}}
	ctx, stop := context.WithCancel(context.Background())
	stop()
	require.ErrorIs(t, d.Run(ctx), context.DeadlineExceeded)
}

// A copy of the state that is requested after the end is refused at once. The
// goroutine that reports metrics asks for one several times a second, and would
// otherwise keep the process from exiting, with the requests that it has read.
func TestViewAfterTheEndDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Options{Log: log.New(io.Discard)})
		ctx, stop := context.WithCancel(t.Context())
		stop()
		d.loop.Run(ctx)
		before := time.Now()
		_, err := d.View()
		require.Error(t, err)
		require.Zero(t, time.Since(before))
	})
}

// A caller that never completes its request must not turn a drain with nothing in
// flight into a failure.
func TestStalledCallerDoesNotFailDrain(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d := New(Options{
		Log: log.New(io.Discard), Listener: ln, DrainTimeout: 5 * time.Second,
		HTTP: httpapi.Config{ShutdownDelay: time.Millisecond},
	})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	returned := make(chan error, 1)
	go func() { returned <- d.Run(ctx) }()
	conn, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte("POST /v1/serv"))
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond) // the server reads it
	stop()
	require.NoError(t, <-returned)
}
