package httpserve

import (
	"bytes"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// A panic in the handler of one request ended the whole process, with all other
// requests in progress.
func TestPanicEndsItsRequestOnly(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var out bytes.Buffer
	first := true
	s := New("test", &fasthttp.Server{IdleTimeout: time.Hour, Handler: func(ctx *fasthttp.RequestCtx) {
		if first {
			first = false
			ctx.SetBodyString("half an answer")
			panicOnBadRequest()
		}
		ctx.SetBodyString("ok")
	}}, ln, nil, log.New(&out))
	go s.Serve()
	t.Cleanup(func() { require.NoError(t, s.Shutdown(withTimeout(t))) })

	c := dial(t, s)
	require.NoError(t, c.send(request))
	resp, err := c.receive()
	require.NoError(t, err)
	require.Equal(t, http.StatusInternalServerError, resp.StatusCode)
	require.Contains(t, out.String(), "no such field")
	require.Contains(t, out.String(), "panicOnBadRequest")

	c = dial(t, s)
	require.NoError(t, c.send(request))
	resp, err = c.receive()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

func panicOnBadRequest() { panic("no such field") }
