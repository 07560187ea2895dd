package metrics

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// waitTimeout bounds each wait.
const waitTimeout = 10 * time.Second

// A scrape under way when the process ends is answered before Serve returns.
func TestServeCompletesScrapeUnderWay(t *testing.T) {
	root := New("entry", "entry-1", "regina", func(err error) { t.Errorf("register: %v", err) })
	started, release := make(chan struct{}), make(chan struct{})
	var answered atomic.Bool
	root.handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-release
		answered.Store(true)
		_, _ = io.WriteString(w, "page")
	})
	addr := freeAddr(t)
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- root.Serve(ctx, addr) }()
	type scrape struct {
		body string
		err  error
	}
	scraped := make(chan scrape, 1)
	go func() {
		body, err := get(addr)
		scraped <- scrape{body, err}
	}()
	<-started
	stop()
	// The listener is closed early in the shutdown.
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			c.Close()
		}
		return err != nil
	}, waitTimeout, time.Millisecond)
	select {
	case err := <-served:
		require.Fail(t, "Serve returned during a scrape", "error: %v, answered: %v", err, answered.Load())
	case <-time.After(shutdownTimeout / 4):
	}
	close(release)
	require.Equal(t, scrape{body: "page"}, <-scraped)
	require.NoError(t, <-served)
}

// Serve returns although clients hold connections without a request.
func TestServeEndsWithQuietConnections(t *testing.T) {
	for name, open := range map[string]func(t *testing.T, addr string){
		"after a request": func(*testing.T, string) {},
		"before a request": func(t *testing.T, addr string) {
			conn, err := net.Dial("tcp", addr)
			require.NoError(t, err)
			t.Cleanup(func() { conn.Close() })
		},
	} {
		t.Run(name, func(t *testing.T) {
			root := New("entry", "entry-1", "regina", func(err error) { t.Errorf("register: %v", err) })
			addr := freeAddr(t)
			ctx, stop := context.WithCancel(context.Background())
			served := make(chan error, 1)
			go func() { served <- root.Serve(ctx, addr) }()
			_, err := get(addr)
			require.NoError(t, err)
			open(t, addr)
			stop()
			select {
			case <-served:
			case <-time.After(waitTimeout):
				t.Fatal("still serving")
			}
		})
	}
}

func freeAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	return ln.Addr().String()
}

// get requests the page once the server listens. The connection stays open.
func get(addr string) (string, error) {
	var conn net.Conn
	var err error
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if conn, err = net.Dial("tcp", addr); err == nil {
			break
		}
	}
	if err != nil {
		return "", err
	}
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) { return conn, nil },
	}}
	resp, err := client.Get("http://" + addr + Path)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}
