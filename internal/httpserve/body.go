package httpserve

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// ErrNoRoom is the error for a request whose body is not read for want of room. The
// request has not run.
var ErrNoRoom = errors.New("httpserve: no room for the body of the request")

// ErrHeadersTooLarge is the error for a request whose headers exceed RequestLimits.
var ErrHeadersTooLarge = errors.New("httpserve: the headers are too large")

// maxUnreadBytes and maxUnreadTime bound how much of an oversized body is read and discarded
// so that its sender can read the answer.
const (
	maxUnreadBytes = 64 << 20
	maxUnreadTime  = 2 * time.Second
)

// bodyGrowth is the factor by which the buffer of a body of unknown size grows.
const bodyGrowth = 4

// readBody reads the body of a request into memory that the gate has admitted, and
// returns the number of bytes to release. The HTTP server has read a small body into a
// buffer of the connection before.
func (s *Server) readBody(ctx *fasthttp.RequestCtx) (reserved int, err error) {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return 0, nil
	}
	limit, size := s.bodyLimit(), ctx.Request.Header.ContentLength()
	if size > limit {
		return 0, fasthttp.ErrBodyTooLarge
	}
	if size < 0 {
		return s.readChunks(ctx, stream, limit)
	}
	if !s.reserve(ctx, size) {
		return 0, ErrNoRoom
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(stream, body); err != nil {
		return size, fmt.Errorf("read a body of %d bytes: %w", size, err)
	}
	ctx.Request.SetBodyRaw(body)
	return size, nil
}

// readChunks is readBody for a body of unknown size.
func (s *Server) readChunks(ctx *fasthttp.RequestCtx, stream io.Reader, limit int) (reserved int, err error) {
	var body []byte
	filled := 0
	for size := min(smallBodyBytes, limit+1); ; size = min(size*bodyGrowth, limit+1) {
		if !s.reserve(ctx, size) {
			return reserved, ErrNoRoom
		}
		grown := make([]byte, size)
		copy(grown, body[:filled])
		s.gate.release(reserved)
		body, reserved = grown, size
		n, ended, err := fill(stream, body[filled:])
		filled += n
		switch {
		case err != nil:
			return reserved, fmt.Errorf("read a body in chunks after %d bytes: %w", filled, err)
		case ended && filled <= limit:
			ctx.Request.SetBodyRaw(body[:filled])
			return reserved, nil
		case filled > limit:
			return reserved, fasthttp.ErrBodyTooLarge
		}
	}
}

// fill reads until p is full or the stream has ended.
func fill(stream io.Reader, p []byte) (n int, ended bool, err error) {
	for n < len(p) {
		m, err := stream.Read(p[n:])
		n += m
		switch {
		case errors.Is(err, io.ErrUnexpectedEOF):
			return n, false, err
		case errors.Is(err, io.EOF):
			return n, true, nil
		case err != nil:
			return n, false, err
		}
	}
	return n, false, nil
}

// reserve reserves room for the body of the request on a connection.
func (s *Server) reserve(ctx *fasthttp.RequestCtx, n int) bool {
	if n <= smallBodyBytes {
		return true
	}
	if !s.gate.reserve(n) {
		return false
	}
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	if c := s.conns[ctx.Conn()]; c != nil {
		c.body = n
	}
	return true
}

// rejectRequest answers a request that was not read.
func (s *Server) rejectRequest(ctx *fasthttp.RequestCtx, err error) {
	if s.onError != nil {
		s.onError(ctx, err)
		return
	}
	switch {
	case errors.Is(err, ErrNoRoom):
		ctx.Error("no room for the body of the request", fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		ctx.Error("the body is too large", fasthttp.StatusRequestEntityTooLarge)
		AnswerUnreadBody(ctx)
	case errors.Is(err, ErrHeadersTooLarge):
		ctx.Error("the headers are too large", fasthttp.StatusRequestHeaderFieldsTooLarge)
	case errors.Is(err, net.ErrClosed), errors.Is(err, io.ErrUnexpectedEOF):
		// The rest of the request has not arrived. An answer could be taken for that
		// to the next one.
		mute(ctx.Conn())
		ctx.SetConnectionClose()
	default:
		ctx.Error("the body can't be read", fasthttp.StatusBadRequest)
		ctx.SetConnectionClose()
	}
}

// AnswerUnreadBody writes the answer to a request whose body has not been read, closes the
// write side, and discards input within limits. Closing a connection with unread input
// resets it, and the caller would lose the answer. The HTTP library's own later write fails
// because the write side is closed.
func AnswerUnreadBody(ctx *fasthttp.RequestCtx) {
	conn, ok := ctx.Conn().(interface {
		net.Conn
		CloseWrite() error
	})
	if !ok {
		return
	}
	ctx.SetConnectionClose()
	if conn.SetDeadline(time.Now().Add(maxUnreadTime)) != nil {
		return
	}
	out := bufio.NewWriter(conn)
	if ctx.Response.Write(out) != nil || out.Flush() != nil || conn.CloseWrite() != nil {
		return
	}
	// The result is ignored: the connection is closed in any case.
	_, _ = io.CopyN(io.Discard, conn, maxUnreadBytes)
}

// releaseBody releases what readBody reserved.
func (s *Server) releaseBody(ctx *fasthttp.RequestCtx, reserved int) {
	if reserved <= smallBodyBytes {
		return
	}
	s.gate.release(reserved)
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	if c := s.conns[ctx.Conn()]; c != nil {
		c.body = 0
	}
}
