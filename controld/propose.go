package controld

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fireflytray/fireflytray/control"
	"github.com/fireflytray/fireflytray/wire"
)

const (
	// maxRequests bounds the claims, resolutions and proposals in hand.
	maxRequests = 1024
	// proposeTimeout bounds one proposal, with its way to the leader.
	proposeTimeout = 3 * time.Second
)

// errNotFresh refuses a change at a control host that is cut off.
var errNotFresh = errors.New("this control host has no fresh quorum")

// request runs a request beside the session, or refuses it if too many are in
// hand.
func (h *Host) request(run, refuse func()) {
	select {
	case h.requests <- struct{}{}:
	default:
		refuse()
		return
	}
	h.group.Go(func() error {
		defer func() { <-h.requests }()
		run()
		return nil
	})
}

// propose puts a command into the log, here or through the leader, and returns
// the machine's reply.
func (h *Host) propose(ctx context.Context, c *control.Command) (*control.Reply, error) {
	if !h.fresh.Load() {
		return nil, errNotFresh
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	c.At = h.clock().UnixMilli()
	body, err := c.Encode()
	if err != nil {
		return nil, err
	}
	result, _, err := h.replica.Propose(ctx, body)
	if other := new(NotLeaderError); errors.As(err, &other) && other.Addr != "" {
		result, err = h.links.propose(ctx, other.Addr, body)
	}
	if err != nil {
		return nil, fmt.Errorf("controld: propose: %w", err)
	}
	return control.DecodeReply(result)
}

// proposeHere carries out another control host's proposal. It is not passed
// on, so that no proposal runs in a circle.
func (h *Host) proposeHere(ctx context.Context, m *wire.Propose) *wire.Proposed {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, index, err := h.replica.Propose(ctx, m.Command)
	switch {
	case err == nil:
		return &wire.Proposed{Request: m.Request, Status: wire.ProposeAccepted, Index: index, Result: result}
	case errors.As(err, new(*NotLeaderError)):
		return notTaken(m.Request, err.Error())
	}
	return &wire.Proposed{Request: m.Request, Status: wire.ProposeUnknown, Detail: err.Error()}
}

func notTaken(request uint64, detail string) *wire.Proposed {
	return &wire.Proposed{Request: request, Status: wire.ProposeNotLeader, Detail: detail}
}

// unavailable answers a claim about which this host can't say anything.
func unavailable(request uint64) *wire.ClaimReply {
	return &wire.ClaimReply{Request: request, State: wire.ClaimUnavailable}
}

func (h *Host) claim(ctx context.Context, m *wire.Claim) *wire.ClaimReply {
	reply, err := h.propose(ctx, &control.Command{Claim: m})
	if err != nil || reply.Claim == nil {
		h.log.Warn("claim not decided", "team", m.Team, "err", err)
		return unavailable(m.Request)
	}
	return reply.Claim
}

// resolve records an outcome; ClaimDone confirms it.
func (h *Host) resolve(ctx context.Context, m *wire.Resolve) *wire.ClaimReply {
	if _, err := h.propose(ctx, &control.Command{Resolve: m}); err != nil {
		h.log.Warn("claim not resolved", "team", m.Team, "err", err)
		return unavailable(m.Request)
	}
	return &wire.ClaimReply{Request: m.Request, State: wire.ClaimDone, Owner: m.Owner}
}
