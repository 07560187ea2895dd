package httpstop

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// Serve ends when the server was shut down before it began.
func TestServeEndsAfterAnEarlierShutdown(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}}
	require.NoError(t, Shutdown(context.Background(), s, ln))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Serve(ln)
	}()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("still serving")
	}
}
