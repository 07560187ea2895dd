package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// waitTimeout bounds each wait.
const waitTimeout = 10 * time.Second

// An upstream whose context is cancelled before it starts to serve must still
// return.
func TestRunEndsWhenStoppedBeforeServing(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	stop()
	for range 200 {
		ended := make(chan error, 1)
		go func() { ended <- Run(ctx, Options{Tasks: "127.0.0.1:0"}) }()
		select {
		case err := <-ended:
			require.NoError(t, err)
		case <-time.After(5 * time.Second):
			t.Fatal("still serving")
		}
	}
}

// A task whose request was being read when the upstream shut down is answered, and
// its start is in the journal file.
func TestTaskReadDuringShutdownIsJournaled(t *testing.T) {
	journal := filepath.Join(t.TempDir(), "journal")
	s, err := New(Options{Tasks: "127.0.0.1:0", Journal: journal})
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	conn, err := net.Dial("tcp", s.Addr())
	require.NoError(t, err)
	defer conn.Close()
	const id, body = "task-1", `{"run_ms":1}`
	request := fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: upstream\r\nContent-Length: %d\r\n\r\n", PathTasks, id, len(body))
	_, err = conn.Write([]byte(request))
	require.NoError(t, err)
	// A later connection is answered, so that this one has been accepted.
	require.Eventually(t, func() bool {
		resp, err := http.Get("http://" + s.Addr() + PathHealth)
		if err != nil {
			return false
		}
		return resp.Body.Close() == nil
	}, waitTimeout, time.Millisecond)
	stop()
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", s.Addr())
		if err == nil {
			c.Close()
		}
		return err != nil
	}, waitTimeout, time.Millisecond)
	_, err = conn.Write([]byte(body))
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(waitTimeout)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	conn.Close()
	require.NoError(t, <-ended)
	text, err := os.ReadFile(journal)
	require.NoError(t, err)
	require.Contains(t, string(text), id)
}
