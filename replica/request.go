package replica

import (
	"context"
	"fmt"
)

// requestKind names what a caller asks of the loop.
type requestKind uint8

const (
	reqPropose requestKind = iota
	reqRead
	reqChange
	reqTransfer
	reqStatus
)

// result answers a request.
type result struct {
	data   []byte
	index  uint64
	status Status
	err    error
}

// call hands a request to the loop and waits for the answer.
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

// contextError is the error of a caller whose time ended while the loop had its
// request.
func (r *Replica) contextError(req *request) error {
	if req.kind == reqPropose || req.kind == reqChange {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, req.ctx.Err())
	}
	return req.ctx.Err()
}

// replyOrStopped prefers an answer that was given just before the loop ended.
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
