package httpserve

import (
	"time"

	"github.com/valyala/fasthttp"
)

// DefaultHeaderBytes bounds the headers of a request, with the request line.
const DefaultHeaderBytes = 16 << 10

// RequestLimits bound one request. Zero fields leave the bounds as the server was made.
type RequestLimits struct {
	// HeaderBytes bounds the headers with the request line, in bytes. More than
	// DefaultHeaderBytes has no effect.
	HeaderBytes int
	// BodyBytes bounds the body, in bytes. It can only lower the bound.
	BodyBytes int
	// HeaderTimeout bounds the time from the first byte to the end of the headers.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may wait for the first byte of a request.
	IdleTimeout time.Duration
}

// bodyLimit returns the largest size of a body.
func (s *Server) bodyLimit() int {
	if n := s.limits().BodyBytes; n > 0 {
		return min(n, s.maxBody)
	}
	return s.maxBody
}

// headersFit reports whether the headers of a request are within the limit.
func (s *Server) headersFit(h *fasthttp.RequestHeader) bool {
	limit := s.limits().HeaderBytes
	if limit <= 0 {
		return true
	}
	const separators = len("  HTTP/1.1\r\n")
	return len(h.Method())+len(h.RequestURI())+separators+len(h.RawHeaders()) <= limit
}
