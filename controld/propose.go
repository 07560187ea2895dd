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
	// claimTimeout bounds a claim or resolution, below the client's own wait.
	claimTimeout = 1200 * time.Millisecond
	// changeTimeout bounds an operator's change.
	changeTimeout = 5 * time.Second
	// retryInterval is the wait before a command that was not taken is proposed
	// again.
	retryInterval = 50 * time.Millisecond
)

// errNotFresh refuses a change at a control host that is cut off.
var errNotFresh = errors.New("this control host has no fresh quorum")

// refusedError is a change of the control hosts that the leader refused.
type refusedError struct{ detail string }

// Error implements error.
func (e *refusedError) Error() string { return e.detail }

// startRequest runs a request beside the session, or refuses it if too many are in
// hand.
func (h *Host) startRequest(run, refuse func()) {
	select {
	case h.requestSlots <- struct{}{}:
	default:
		refuse()
		return
	}
	h.group.Go(func() error {
		defer func() { <-h.requestSlots }()
		run()
		return nil
	})
}

// propose puts a command into the log, here or through the leader, and returns
// the machine's reply. It proposes again what was not taken and, as operation
// ids and owners make them idempotent, changes and claims whose outcome is
// unknown.
func (h *Host) propose(ctx context.Context, c *control.Command) (*control.Reply, error) {
	c.At = h.clock().UnixMilli()
	body, err := c.Encode()
	if err != nil {
		return nil, err
	}
	reply, err := h.proposeWithRetry(ctx, c.Note == nil, &wire.Propose{Command: body})
	if err != nil {
		return nil, err
	}
	return control.DecodeReply(reply.Result)
}

// changeMembers changes the control hosts.
func (h *Host) changeMembers(ctx context.Context, c wire.MemberChange) error {
	_, err := h.proposeWithRetry(ctx, false, &wire.Propose{Change: &c})
	return err
}

// proposeWithRetry hands a proposal to the leader until it is answered or ctx ends.
func (h *Host) proposeWithRetry(ctx context.Context, idempotent bool, m *wire.Propose) (*wire.Proposed, error) {
	sent := false
	for {
		reply, err := h.proposeOnce(ctx, m)
		unknown := errors.Is(err, ErrUnknownOutcome)
		sent = sent || unknown
		if err == nil || errors.As(err, new(*refusedError)) || unknown && !idempotent {
			return reply, err
		}
		select {
		case <-time.After(retryInterval):
			continue
		case <-ctx.Done():
		}
		if sent && !unknown {
			return nil, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
		}
		return nil, err
	}
}

// proposeOnce hands a proposal to the leader, here or on another host.
func (h *Host) proposeOnce(ctx context.Context, m *wire.Propose) (*wire.Proposed, error) {
	if !h.fresh.Load() {
		return nil, errNotFresh
	}
	reply, leader := h.proposeLocally(ctx, m)
	if reply.Status == wire.ProposeNotLeader && leader != "" {
		return h.links.propose(ctx, leader, m)
	}
	return reply, proposedError(reply)
}

// proposedError returns the error in an answer.
func proposedError(m *wire.Proposed) error {
	switch m.Status {
	case wire.ProposeAccepted:
		return nil
	case wire.ProposeNotLeader:
		return fmt.Errorf("controld: propose: %s", m.Detail)
	case wire.ProposeRefused:
		return &refusedError{m.Detail}
	}
	return fmt.Errorf("controld: propose: %w: %s", ErrUnknownOutcome, m.Detail)
}

// proposeLocally hands a proposal to the log of this host. Leader is where to go
// if this host does not lead.
func (h *Host) proposeLocally(ctx context.Context, m *wire.Propose) (reply *wire.Proposed, leader string) {
	reply = &wire.Proposed{Request: m.Request, Status: wire.ProposeAccepted}
	var err error
	if m.Change != nil {
		err = h.replica.Change(ctx, *m.Change)
	} else {
		reply.Result, reply.Index, err = h.replica.Propose(ctx, m.Command)
	}
	var other *NotLeaderError
	switch {
	case err == nil:
		return reply, ""
	case errors.As(err, &other):
		reply.Status, leader = wire.ProposeNotLeader, other.Addr
	case errors.Is(err, ErrUnknownOutcome):
		reply.Status = wire.ProposeUnknown
	case m.Change != nil:
		reply.Status = wire.ProposeRefused
	default:
		reply.Status = wire.ProposeNotLeader
	}
	reply.Detail = err.Error()
	return reply, leader
}

// proposeForPeer carries out another control host's proposal. It is not passed
// on, so that no proposal runs in a circle.
func (h *Host) proposeForPeer(ctx context.Context, m *wire.Propose) *wire.Proposed {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	reply, _ := h.proposeLocally(ctx, m)
	return reply
}

func proposalRejected(request uint64, detail string) *wire.Proposed {
	return &wire.Proposed{Request: request, Status: wire.ProposeNotLeader, Detail: detail}
}

// unavailable answers a claim about which this host can't say anything.
func unavailable(request uint64) *wire.ClaimReply {
	return &wire.ClaimReply{Request: request, State: wire.ClaimUnavailable}
}

func (h *Host) claim(ctx context.Context, m *wire.Claim) *wire.ClaimReply {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	reply, err := h.propose(ctx, &control.Command{Claim: m})
	if err != nil || reply.Claim == nil {
		h.log.Warn("claim not decided", "team", m.Team, "err", err)
		h.metrics.countClaim(wire.ClaimUnavailable)
		return unavailable(m.Request)
	}
	h.metrics.countClaim(reply.Claim.State)
	return reply.Claim
}

// resolve records an outcome; ClaimDone confirms it.
func (h *Host) resolve(ctx context.Context, m *wire.Resolve) *wire.ClaimReply {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if _, err := h.propose(ctx, &control.Command{Resolve: m}); err != nil {
		h.log.Warn("claim not resolved", "team", m.Team, "err", err)
		return unavailable(m.Request)
	}
	return &wire.ClaimReply{Request: m.Request, State: wire.ClaimDone, Owner: m.Owner}
}
