package upstream

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

func startServer(t *testing.T, o Options) *Server {
	o.Tasks = "127.0.0.1:0"
	s, err := New(o)
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		require.NoError(t, <-done)
	})
	return s
}

func call(t *testing.T, s *Server, method, path, body string) (status int, state string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + s.Addr() + path)
	req.SetBodyString(body)
	require.NoError(t, fasthttp.DoTimeout(req, resp, 10*time.Second))
	return resp.StatusCode(), string(resp.Header.Peek(HeaderTaskState))
}

func TestTaskStartsAtMostOnceAndNotAfterStop(t *testing.T) {
	file := filepath.Join(t.TempDir(), "journal")
	s := startServer(t, Options{Journal: file})
	status, state := call(t, s, "POST", PathTasks+"a", `{"run_ms":1}`)
	require.Equal(t, 200, status)
	require.Equal(t, TaskEnded, state)
	_, state = call(t, s, "POST", PathTasks+"a", `{}`)
	require.Equal(t, TaskDuplicate, state)

	status, _ = call(t, s, "DELETE", PathTasks+"b", "")
	require.Equal(t, 404, status)
	_, state = call(t, s, "POST", PathTasks+"b", `{}`)
	require.Equal(t, TaskRefused, state)

	require.Len(t, s.Journal(), 1)
	lines, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, 1, strings.Count(string(lines), "\n"))
}

func TestFaultIsSetOverHTTP(t *testing.T) {
	s := startServer(t, Options{})
	status, _ := call(t, s, "POST", PathFault, `{"mode":"fail"}`)
	require.Equal(t, 200, status)
	status, _ = call(t, s, "POST", PathTasks+"a", `{"run_ms":60000}`)
	require.Equal(t, 500, status)
	status, _ = call(t, s, "POST", PathFault, `{"mode":"tired"}`)
	require.Equal(t, 400, status)
	status, _ = call(t, s, "POST", PathFault, `{"mode":"none"}`)
	require.Equal(t, 200, status)
	status, _ = call(t, s, "POST", PathTasks+"b", `{}`)
	require.Equal(t, 200, status)
}
