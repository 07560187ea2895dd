package httpserve

import (
	"crypto/tls"
	"io"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// A request that doesn't arrive in time must not be answered: the client of a
// connection that was silent would take the 408 for the answer to its next request.
func TestLateRequestIsClosedWithoutAnswer(t *testing.T) {
	// readTimeout begins with the connection. The handshake and what the client sends
	// have to arrive within it, also on a loaded machine.
	const readTimeout = 2 * time.Second
	for name, sent := range map[string]string{
		"nothing":           "",
		"part of a line":    "POST /x",
		"headers":           "POST / HTTP/1.1\r\nHost: a\r\n",
		"part of a body":    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhi",
		"part of a chunk":   "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhi",
		"after one request": request + "POST /x",
	} {
		for _, secure := range []bool{false, true} {
			scheme := "tcp"
			if secure {
				scheme = "tls"
			}
			t.Run(name+"/"+scheme, func(t *testing.T) {
				t.Parallel()
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				var conf *tls.Config
				if secure {
					conf = testTLS(t)
				}
				s := New("test", &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}, ReadTimeout: readTimeout, IdleTimeout: time.Hour}, ln, conf, log.New(io.Discard))
				stop, ended := run(s, testTimeout)
				var conn net.Conn
				conn, err = net.Dial("tcp", s.addr.String())
				require.NoError(t, err)
				if secure {
					conn = tls.Client(conn, &tls.Config{InsecureSkipVerify: true})
				}
				defer conn.Close()
				if sent != "" {
					_, err = conn.Write([]byte(sent))
					require.NoError(t, err)
				}
				require.NoError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
				text, err := io.ReadAll(conn)
				require.NoError(t, err)
				require.NotContains(t, string(text), "408")
				if name == "after one request" {
					require.Contains(t, string(text), "200 OK")
				} else {
					require.Empty(t, string(text))
				}
				stop()
				require.NoError(t, <-ended)
			})
		}
	}
}

func testTLS(t *testing.T) *tls.Config {
	t.Helper()
	s := httptest.NewUnstartedServer(nil)
	s.StartTLS()
	t.Cleanup(s.Close)
	return s.TLS
}

// A server that answers late requests itself must not do so on a connection on which
// no request has begun.
func TestSilentConnectionOfAnsweringServerIsClosedWithoutAnswer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	answerError := func(c *fasthttp.RequestCtx, _ error) { c.SetStatusCode(fasthttp.StatusRequestTimeout) }
	s := New("test", &fasthttp.Server{
		Handler: func(*fasthttp.RequestCtx) {}, ErrorHandler: answerError, ReadTimeout: 50 * time.Millisecond, IdleTimeout: time.Hour,
	}, ln, nil, log.New(io.Discard))
	stop, ended := run(s, testTimeout)
	for sent, want := range map[string]string{"": "", "POST /x": "HTTP/1.1 408"} {
		c := dial(t, s)
		_, err = io.WriteString(c, sent)
		require.NoError(t, err)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(testTimeout)))
		text, err := io.ReadAll(c)
		require.NoError(t, err)
		require.Equal(t, want, string(text[:min(len(text), len(want))]))
		require.Equal(t, want == "", len(text) == 0)
	}
	stop()
	require.NoError(t, <-ended)
}
