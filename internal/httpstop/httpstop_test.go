package httpstop

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// Serve returns if the server was shut down before Serve began.
func TestServeEndsAfterAnEarlierShutdown(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}}
	require.NoError(t, Shutdown(context.Background(), s, ln))
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = s.Serve(ln)
	}()
	select {
	case <-served:
	case <-time.After(5 * time.Second):
		t.Fatal("still serving")
	}
}
