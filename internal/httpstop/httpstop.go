// Package httpstop shuts down HTTP servers, including those that have not begun
// to serve.
package httpstop

import (
	"context"
	"errors"
	"net"

	"github.com/valyala/fasthttp"
)

// Shutdown drains server s, which serves or will serve ln, and closes ln. It
// returns the server's error, or the context's error if the context ends first.
//
// Closing ln covers a server whose Serve has not begun: fasthttp's own shutdown
// does nothing on it, and the later Serve would never return.
func Shutdown(ctx context.Context, s *fasthttp.Server, ln net.Listener) error {
	err := s.ShutdownWithContext(ctx)
	if closeErr := ln.Close(); closeErr != nil && !errors.Is(closeErr, net.ErrClosed) {
		return errors.Join(err, closeErr)
	}
	return err
}
