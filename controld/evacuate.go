package controld

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/fireflytray/fireflytray/control"
	"github.com/fireflytray/fireflytray/directory"
	"github.com/fireflytray/fireflytray/fleet"
)

// errDomainNotKnownYet is returned for an order for a failure domain that this host
// has not heard of while live processes may not have announced themselves to it yet.
var errDomainNotKnownYet = errors.New("the failure domain is not known yet: this control host has started recently")

// Evacuate proposes that a failure domain be evacuated, or taken back if evacuated is
// false. The order is durable when it is reported as accepted. An error means that it
// is not known to be accepted.
func (h *Host) Evacuate(ctx context.Context, by control.Operator, domain string, evacuated bool) (*control.EvacuateReply, error) {
	reply, err := h.evacuate(ctx, by, domain, evacuated)
	if err != nil {
		h.log.Warn("evacuation order not known to be accepted", "domain", domain, "evacuated", evacuated, "by", by.Name, "from", by.Addr, "err", err)
		return nil, fmt.Errorf("controld: evacuated=%t for failure domain %s: %w", evacuated, domain, err)
	}
	h.metrics.countEvacuation(reply.Accepted)
	h.log.Info("evacuation order decided", "domain", domain, "evacuated", evacuated, "by", by.Name, "from", by.Addr,
		"accepted", reply.Accepted, "refusal", reply.Refusal, "detail", reply.Detail, "version", reply.Index)
	return reply, nil
}

func (h *Host) evacuate(ctx context.Context, by control.Operator, domain string, evacuated bool) (*control.EvacuateReply, error) {
	if !fleet.ValidDomain(domain) {
		return &control.EvacuateReply{Refusal: control.RefusalInvalid, Detail: fmt.Sprintf("%q can't name a failure domain", domain)}, nil
	}
	domains, complete, err := h.knownDomains(ctx)
	if err != nil {
		return nil, err
	}
	// A host that lags behind would name the position of an earlier order.
	if !h.waitCurrent(ctx) {
		return nil, errNotFresh
	}
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("the operator no longer waits: %w", err)
	}
	order := &control.Evacuate{
		Domain: domain, Evacuated: evacuated, By: by,
		After: h.machine.DomainOrder(domain).Last, Unlisted: !slices.Contains(domains, domain),
	}
	reply, err := h.propose(ctx, &control.Command{Evacuate: order})
	switch {
	case err != nil:
		return nil, err
	case reply.Evacuate == nil:
		return nil, errors.New("the log gave no answer")
	case reply.Evacuate.Refusal == control.RefusalUnknownDomain && !complete:
		return nil, errDomainNotKnownYet
	case reply.Evacuate.Refusal == control.RefusalSuperseded:
		// Either an earlier proposal of this very order was applied and another order
		// has followed it, or another order was accepted meanwhile. Proposing it again
		// could undo that one for an operator who no longer waits.
		return nil, fmt.Errorf("%w: %s", ErrUnknownOutcome, reply.Evacuate.Detail)
	}
	return reply.Evacuate, nil
}

// knownDomains returns the failure domains that this host has seen since its start.
// complete is false while live processes may not have announced themselves yet.
func (h *Host) knownDomains(ctx context.Context) (domains []string, complete bool, err error) {
	type answer struct {
		domains  []string
		complete bool
	}
	ch := make(chan answer, 1)
	h.loop.Post(directory.Event{Domains: &directory.DomainsQuery{
		Reply: func(domains []string, complete bool) { ch <- answer{domains, complete} },
	}})
	select {
	case a := <-ch:
		return append(a.domains, h.opts.Self.Domain), a.complete, nil
	case <-ctx.Done():
		return nil, false, fmt.Errorf("list failure domains: %w", ctx.Err())
	}
}
