package controld

import (
	"context"
	"fmt"

	"github.com/fireflytray/fireflytray/control"
	"github.com/fireflytray/fireflytray/fleet"
	"github.com/fireflytray/fireflytray/internal/httpserve"
	"github.com/fireflytray/fireflytray/wire"
)

// PlatformOperator is the name under which the orders of the platform's operators are
// audited; the platform doesn't name them.
const PlatformOperator = "platform"

// Publish proposes a document that carries its own version number. refused is the
// reason if the document is refused; an error means that the outcome is unknown, but
// for a TooLargeError.
func (h *Host) Publish(ctx context.Context, addr string, version uint64, sections []wire.ConfigSection, source []byte) (refused string, err error) {
	if len(source) > control.MaxSource {
		err := &TooLargeError{len(source), control.MaxSource}
		h.log.Warn("document refused", "version", version, "by", addr, "err", err)
		return "", fmt.Errorf("controld: publish version %d: %w", version, err)
	}
	var unreachable error
	httpserve.Decode(source, func() { unreachable = fleet.CheckRequests(sections) })
	if unreachable != nil {
		h.log.Warn("document refused", "version", version, "by", addr, "err", unreachable)
		return unreachable.Error(), nil
	}
	cmd := &control.Command{Publish: &control.Publish{
		Version: version, By: control.Operator{Name: PlatformOperator, Addr: addr}, Sections: sections, Source: source,
	}}
	reply, err := h.propose(ctx, cmd)
	if err != nil {
		h.log.Warn("document proposal failed", "version", version, "by", addr, "err", err)
		return "", fmt.Errorf("controld: publish version %d: %w", version, err)
	}
	p := reply.Publish
	h.log.Info("document proposal finished", "version", version, "by", addr, "accepted", p.Accepted, "newest", p.Newest, "index", p.Index, "why", p.Detail)
	if !p.Accepted {
		return p.Detail, nil
	}
	return "", nil
}

// Published returns the document in force as of the call or later, or nil if there
// is none.
func (h *Host) Published(ctx context.Context) ([]byte, error) {
	if _, err := h.replica.Barrier(ctx); err != nil {
		return nil, fmt.Errorf("controld: read the document in force: %w", err)
	}
	p := h.machine.Published()
	if p.Version == 0 {
		return nil, nil
	}
	return p.Source, nil
}
