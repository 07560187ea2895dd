package httpapi

import (
	"bufio"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxDiscardBytes and maxDiscardTime bound how much of an oversized body is
	// read and discarded so that its sender can read the answer.
	maxDiscardBytes = 64 << 20
	maxDiscardTime  = 2 * time.Second
)

// respondWithUnreadBody writes the answer to a request whose body has not been
// read, closes the write side, and discards input within limits. Closing a
// connection with unread input resets it, and the caller would lose the answer.
// The HTTP library's own later write fails because the write side is closed.
func respondWithUnreadBody(ctx *fasthttp.RequestCtx) {
	conn, ok := ctx.Conn().(interface {
		net.Conn
		CloseWrite() error
	})
	if !ok {
		return
	}
	ctx.SetConnectionClose()
	out := bufio.NewWriter(conn)
	if ctx.Response.Write(out) != nil || out.Flush() != nil || conn.CloseWrite() != nil {
		return
	}
	if conn.SetReadDeadline(time.Now().Add(maxDiscardTime)) != nil {
		return
	}
	// The result is ignored: the connection is closed in any case.
	_, _ = io.CopyN(io.Discard, conn, maxDiscardBytes)
}
