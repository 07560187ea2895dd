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
	// callRetryInterval is the wait after all control hosts were tried.
	callRetryInterval = 100 * time.Millisecond
	// releaseTimeout bounds the attempts to free a claim that got no answer, and
	// maxReleases how many are under way.
	releaseTimeout = time.Hour
	maxReleases    = 10_000
)

// pendingCalls pairs replies with the claims and resolutions that wait for them.
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

// Claim reserves an idempotency key. It tries one control host after another
// until one has an answer or ctx ends. After an error the key may be reserved
// for the owner; the client then tries to free it, so the owner must not run.
func (c *Client) Claim(ctx context.Context, m wire.Claim) (wire.ClaimReply, error) {
	request := m.Request
	reply, asked, err := c.call(ctx, func(id uint64) wire.Message { m.Request = id; return &m })
	if err != nil {
		if asked {
			c.release(m)
		}
		return wire.ClaimReply{}, fmt.Errorf("controlclient: claim key of team %s: %w", m.Team, err)
	}
	reply.Request = request
	return *reply, nil
}

// release frees a claim whose owner will not run, in the background. A key
// that stays reserved would keep its caller from ever running the request.
func (c *Client) release(m wire.Claim) {
	select {
	case c.releaseSlots <- struct{}{}:
	default:
		c.log.Warn("claim not freed, too many others are to be freed", "team", m.Team)
		return
	}
	go func() {
		defer func() { <-c.releaseSlots }()
		ctx, cancel := context.WithTimeout(c.lifetime, releaseTimeout)
		defer cancel()
		r := wire.Resolve{Team: m.Team, Service: m.Service, Key: m.Key, Owner: m.Owner, Outcome: task.Outcome{State: task.NotRun, Reason: task.ReasonClaimsUnavailable}}
		if err := c.Resolve(ctx, r); err != nil {
			c.log.Warn("claim not freed", "team", m.Team, "err", err)
		}
	}()
}

// Resolve records the outcome of a granted claim. It tries one control host
// after another until one confirms or ctx ends.
func (c *Client) Resolve(ctx context.Context, m wire.Resolve) error {
	if _, _, err := c.call(ctx, func(id uint64) wire.Message { m.Request = id; return &m }); err != nil {
		return fmt.Errorf("controlclient: resolve key of team %s: %w", m.Team, err)
	}
	return nil
}

// call sends a request to one control host after another until one answers
// other than that it can't say. Asked is false if it was sent to none.
func (c *Client) call(ctx context.Context, build func(id uint64) wire.Message) (reply *wire.ClaimReply, asked bool, err error) {
	for {
		for _, s := range c.allSessions() {
			reply, sent := c.try(ctx, s, build)
			asked = asked || sent
			if reply != nil && !undecided(reply) {
				return reply, asked, nil
			}
			if ctx.Err() != nil {
				return nil, asked, fmt.Errorf("%w: %w", ErrNoControl, ctx.Err())
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(callRetryInterval):
		}
	}
}

// undecided reports whether a control host could not reach the leader. An
// answer of the replicated state names a time to come back.
func undecided(r *wire.ClaimReply) bool {
	return r.State == wire.ClaimUnavailable && r.RetryAfter == 0
}

// try sends a request to one control host and waits for its answer; sent is
// false if there is no session.
func (c *Client) try(ctx context.Context, s *session, build func(id uint64) wire.Message) (reply *wire.ClaimReply, sent bool) {
	id, ch := c.calls.open()
	defer c.calls.close(id)
	if !s.send(build(id)) {
		return nil, false
	}
	timer := time.NewTimer(callTimeout)
	defer timer.Stop()
	select {
	case reply := <-ch:
		return reply, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil, true
}
