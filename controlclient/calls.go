package controlclient

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

const (
	// callTimeout bounds the wait for one control host's answer.
	callTimeout = 1500 * time.Millisecond
	// callRetryInterval is the delay before a call tries all control hosts again.
	callRetryInterval = 100 * time.Millisecond
	// releaseTimeout bounds how long the client retries to release one claim that
	// got no answer; maxReleases bounds the concurrent releases.
	releaseTimeout = time.Hour
	maxReleases    = 10_000
)

// pendingCalls matches replies to the claims and resolutions that wait for them.
type pendingCalls struct {
	mu          sync.Mutex
	lastRequest uint64
	byRequest   map[uint64]chan *wire.ClaimReply
}

func newPendingCalls() *pendingCalls {
	return &pendingCalls{byRequest: map[uint64]chan *wire.ClaimReply{}}
}

func (c *pendingCalls) open() (uint64, chan *wire.ClaimReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastRequest++
	ch := make(chan *wire.ClaimReply, 1)
	c.byRequest[c.lastRequest] = ch
	return c.lastRequest, ch
}

func (c *pendingCalls) close(request uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.byRequest, request)
}

func (c *pendingCalls) deliver(m *wire.ClaimReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ch, ok := c.byRequest[m.Request]; ok {
		delete(c.byRequest, m.Request)
		ch <- m
	}
}

// Claim reserves an idempotency key. It tries the control hosts in turn until
// one answers or ctx ends. After an error the key may still be reserved for the
// owner. The client then releases it in the background, so the owner must not
// run its request.
func (c *Client) Claim(ctx context.Context, m wire.Claim) (wire.ClaimReply, error) {
	request := m.Request
	reply, sent, err := c.call(ctx, func(id uint64) wire.Message { m.Request = id; return &m })
	if err != nil {
		if sent {
			c.release(m)
		}
		return wire.ClaimReply{}, fmt.Errorf("controlclient: claim key of team %s: %w", m.Team, err)
	}
	reply.Request = request
	return *reply, nil
}

// release releases, in the background, a claim whose owner will not run its
// request. If the key stayed reserved, the caller could never run the request.
func (c *Client) release(m wire.Claim) {
	select {
	case c.releaseSlots <- struct{}{}:
	default:
		c.log.Warn("claim not released, too many releases in progress", "team", m.Team)
		return
	}
	go func() {
		defer func() { <-c.releaseSlots }()
		ctx, cancel := context.WithTimeout(c.lifetime, releaseTimeout)
		defer cancel()
		r := wire.Resolve{Team: m.Team, Service: m.Service, Key: m.Key, Owner: m.Owner, Outcome: task.Outcome{State: task.NotRun, Reason: task.ReasonClaimsUnavailable}}
		if err := c.Resolve(ctx, r); err != nil {
			c.log.Warn("claim not released", "team", m.Team, "err", err)
		}
	}()
}

// Resolve records the outcome of a granted claim. It tries the control hosts in
// turn until one confirms or ctx ends.
func (c *Client) Resolve(ctx context.Context, m wire.Resolve) error {
	if _, _, err := c.call(ctx, func(id uint64) wire.Message { m.Request = id; return &m }); err != nil {
		return fmt.Errorf("controlclient: resolve key of team %s: %w", m.Team, err)
	}
	return nil
}

// call sends a request to the control hosts in turn until one gives a decided
// answer (see undecided). anySent is false if it was sent to no host.
func (c *Client) call(ctx context.Context, newMessage func(id uint64) wire.Message) (reply *wire.ClaimReply, anySent bool, err error) {
	for {
		for _, s := range c.allSessions() {
			reply, sent := c.try(ctx, s, newMessage)
			anySent = anySent || sent
			if reply != nil && !undecided(reply) {
				return reply, anySent, nil
			}
			if ctx.Err() != nil {
				return nil, anySent, fmt.Errorf("%w: %w", ErrNoControl, ctx.Err())
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(callRetryInterval):
		}
	}
}

// undecided reports whether a reply comes from a control host that got no decision
// from the replicated state. If the replicated state itself replies
// ClaimUnavailable, RetryAfter is set.
func undecided(r *wire.ClaimReply) bool {
	return r.State == wire.ClaimUnavailable && r.RetryAfter == 0
}

// try sends a request to one control host and waits for its answer or the end of
// the connection. sent is false if there is no connection.
func (c *Client) try(ctx context.Context, s *session, newMessage func(id uint64) wire.Message) (reply *wire.ClaimReply, sent bool) {
	id, ch := c.calls.open()
	defer c.calls.close(id)
	ended, sent := s.sendCall(newMessage(id))
	if !sent {
		return nil, false
	}
	timer := time.NewTimer(callTimeout)
	defer timer.Stop()
	select {
	case reply := <-ch:
		return reply, true
	case <-ended:
		// An answer that arrived before the end is in the channel by now.
		select {
		case reply := <-ch:
			return reply, true
		default:
		}
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil, true
}
