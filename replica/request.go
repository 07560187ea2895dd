package replica

import (
	"context"
	"fmt"
)

// requestKind is the operation that a request asks the loop to perform.
type requestKind uint8

const (
	reqPropose requestKind = iota
	reqRead
	reqChange
	reqTransfer
	reqStatus
)

// result is the reply to a request.
type result struct {
	data   []byte
	index  uint64
	status Status
	err    error
}

// call sends a request to the loop and waits for the reply.
func (r *Replica) call(ctx context.Context, req *request) result {
	req.ctx = ctx
	req.reply = make(chan result, 1)
	select {
	case r.events <- event{req: req}:
	case <-ctx.Done():
		return result{err: ctx.Err()}
	case <-r.done:
		return result{err: r.stopped()}
	}
	select {
	case res := <-req.reply:
		return res
	case <-ctx.Done():
		return result{err: r.contextError(req)}
	case <-r.done:
		return r.replyOrStopped(req)
	}
}

// contextError returns the error for a request whose context ended while the
// loop had it. A proposal may still take effect, so its outcome is unknown.
func (r *Replica) contextError(req *request) error {
	if req.kind == reqPropose || req.kind == reqChange {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, req.ctx.Err())
	}
	return req.ctx.Err()
}

// replyOrStopped returns the reply if the loop sent one just before it ended,
// and the stop error otherwise.
func (r *Replica) replyOrStopped(req *request) result {
	select {
	case res := <-req.reply:
		return res
	default:
		return result{err: r.stopped()}
	}
}

func (r *Replica) stopped() error {
	if r.err != nil {
		return fmt.Errorf("%w: %w", ErrStopped, r.err)
	}
	return ErrStopped
}
