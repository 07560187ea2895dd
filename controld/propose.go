package controld

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fireflytray/fireflytray/control"
	"github.com/fireflytray/fireflytray/raft"
	"github.com/fireflytray/fireflytray/wire"
)

const (
	// maxRequests bounds the concurrent claims, resolutions and proposals.
	maxRequests = 1024
	// claimTimeout bounds a claim or resolution. It is below the client's call
	// timeout.
	claimTimeout = 1200 * time.Millisecond
	// changeTimeout bounds an operator's change.
	changeTimeout = 5 * time.Second
	// retryInterval is the delay before a proposal is retried.
	retryInterval = 50 * time.Millisecond
)

// errNotFresh is returned for changes on a control host without a fresh quorum.
var errNotFresh = errors.New("this control host has no fresh quorum")

// refusedError means that a membership change or a restore was refused.
type refusedError struct{ detail string }

// Error implements error.
func (e *refusedError) Error() string { return e.detail }

// TooLargeError means that a change exceeds what the replicated log takes. It was not
// proposed, and would be refused at any time.
type TooLargeError struct{ Bytes, Limit int }

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the change has %d bytes, at most %d are allowed", e.Bytes, e.Limit)
}

// startRequest runs a request in its own goroutine so that it does not block the
// session. If maxRequests are already running, it calls reject instead.
func (h *Host) startRequest(run, reject func()) {
	select {
	case h.requestSlots <- struct{}{}:
	default:
		reject()
		return
	}
	h.group.Go(func() error {
		defer func() { <-h.requestSlots }()
		run()
		return nil
	})
}

// propose appends a command to the log, on this host or through the leader, and
// returns the reply of the state machine. It retries commands that were not
// accepted. Except for notes it also retries commands whose outcome is unknown,
// because their operation ids, owners, versions and positions make them idempotent.
func (h *Host) propose(ctx context.Context, c *control.Command) (*control.Reply, error) {
	c.At = h.clock().UnixMilli()
	body, err := c.Encode()
	if err != nil {
		return nil, err
	}
	if len(body) > raft.DefaultMaxCommand {
		return nil, &TooLargeError{len(body), raft.DefaultMaxCommand}
	}
	end, err := h.changes.begin(len(body))
	if err != nil {
		return nil, err
	}
	defer end()
	reply, err := h.proposeWithRetry(ctx, c.Note == nil, &wire.Propose{Command: body})
	if err != nil {
		return nil, err
	}
	return control.DecodeReply(reply.Result)
}

// changeMembers makes one membership change on the leader.
func (h *Host) changeMembers(ctx context.Context, c wire.MemberChange) error {
	_, err := h.proposeWithRetry(ctx, false, &wire.Propose{Change: &c})
	return err
}

// proposeWithRetry sends a proposal to the leader until it is accepted or refused,
// or ctx ends. If the proposal is not idempotent, an unknown outcome also ends it.
func (h *Host) proposeWithRetry(ctx context.Context, idempotent bool, m *wire.Propose) (*wire.Proposed, error) {
	maybeAppended := false
	for {
		reply, err := h.proposeOnce(ctx, m)
		unknown := errors.Is(err, ErrUnknownOutcome)
		maybeAppended = maybeAppended || unknown
		if err == nil || errors.As(err, new(*refusedError)) || unknown && !idempotent {
			return reply, err
		}
		select {
		case <-time.After(retryInterval):
			continue
		case <-ctx.Done():
		}
		if maybeAppended && !unknown {
			return nil, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
		}
		return nil, err
	}
}

// proposeOnce sends a proposal to the leader, on this host or another one.
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

// proposedError returns the error that an answer carries, or nil.
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

// proposeLocally submits a proposal to the log of this host. If this host is not
// the leader, leader is the leader's address, or empty if unknown.
func (h *Host) proposeLocally(ctx context.Context, m *wire.Propose) (reply *wire.Proposed, leader string) {
	reply = &wire.Proposed{Request: m.Request, Status: wire.ProposeAccepted}
	var err error
	if m.Change != nil {
		err = h.replica.Change(ctx, *m.Change)
	} else {
		reply.Result, reply.Index, err = h.replica.Propose(ctx, m.Command)
	}
	var notLeader *NotLeaderError
	switch {
	case err == nil:
		return reply, ""
	case errors.As(err, &notLeader):
		reply.Status, leader = wire.ProposeNotLeader, notLeader.Addr
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

// proposeForPeer submits the proposal of another control host to the log of this
// host. It does not forward the proposal, which prevents forwarding loops.
func (h *Host) proposeForPeer(ctx context.Context, m *wire.Propose) *wire.Proposed {
	end, err := h.changes.begin(len(m.Command))
	if err != nil {
		return proposalRejected(m.Request, err.Error())
	}
	defer end()
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	reply, _ := h.proposeLocally(ctx, m)
	return reply
}

func proposalRejected(request uint64, detail string) *wire.Proposed {
	return &wire.Proposed{Request: request, Status: wire.ProposeNotLeader, Detail: detail}
}

// unavailable returns the answer to a claim or resolution that this host could not
// get decided.
func unavailable(request uint64) *wire.ClaimReply {
	return &wire.ClaimReply{Request: request, State: wire.ClaimUnavailable}
}

func (h *Host) claim(ctx context.Context, m *wire.Claim) *wire.ClaimReply {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	reply, err := h.propose(ctx, &control.Command{Claim: m})
	if err != nil || reply.Claim == nil {
		h.log.Warn("claim proposal failed", "team", m.Team, "err", err)
		h.metrics.countClaim(wire.ClaimUnavailable)
		return unavailable(m.Request)
	}
	h.metrics.countClaim(reply.Claim.State)
	return reply.Claim
}

// resolve records the outcome of a claim. The state ClaimDone in the reply
// confirms it.
func (h *Host) resolve(ctx context.Context, m *wire.Resolve) *wire.ClaimReply {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if _, err := h.propose(ctx, &control.Command{Resolve: m}); err != nil {
		h.log.Warn("claim resolution failed", "team", m.Team, "err", err)
		return unavailable(m.Request)
	}
	return &wire.ClaimReply{Request: m.Request, State: wire.ClaimDone, Owner: m.Owner}
}
