package controld

import (
	"context"
	"fmt"

	"github.com/fireflytray/fireflytray/control"
	"github.com/fireflytray/fireflytray/wire"
)

// Publish puts a document with a version of its own into the log. Refused says
// why the document is invalid; an error means that the outcome is not known.
func (h *Host) Publish(ctx context.Context, by string, version uint64, sections []wire.ConfigSection, source []byte) (refused string, err error) {
	cmd := &control.Command{Publish: &control.Publish{
		Version: version, By: control.Operator{Name: "platform", Addr: by}, Sections: sections, Source: source,
	}}
	reply, err := h.propose(ctx, cmd)
	if err != nil {
		h.log.Warn("document not decided", "version", version, "by", by, "err", err)
		return "", fmt.Errorf("controld: publish version %d: %w", version, err)
	}
	p := reply.Publish
	h.log.Info("document decided", "version", version, "by", by, "accepted", p.Accepted, "newest", p.Newest, "index", p.Index, "why", p.Detail)
	if !p.Accepted {
		return p.Detail, nil
	}
	return "", nil
}

// Published returns the document in force as of the call or later; nil if there
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
