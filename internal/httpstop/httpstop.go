// Package httpstop stops HTTP servers, also ones that have not begun to serve.
package httpstop

import (
	"context"
	"errors"
	"net"

	"github.com/valyala/fasthttp"
)

// Shutdown drains the server, which serves or will serve ln, and closes ln. It
// returns the server's error, or the context's if that ends first.
//
// fasthttp's own shutdown does nothing on a server whose Serve has not begun;
// that Serve would then never end.
func Shutdown(ctx context.Context, s *fasthttp.Server, ln net.Listener) error {
	err := s.ShutdownWithContext(ctx)
	if closed := ln.Close(); closed != nil && !errors.Is(closed, net.ErrClosed) {
		return errors.Join(err, closed)
	}
	return err
}
