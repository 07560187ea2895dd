package controld

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/fireflytray/fireflytray/adminapi"
	"github.com/fireflytray/fireflytray/control"
	"github.com/fireflytray/fireflytray/internal/httpserve"
)

// adminEvacuate evacuates a failure domain or takes it back.
func (h *Host) adminEvacuate(c *adminCall) (any, error) {
	var req adminapi.EvacuationRequest
	if err := c.decode(&req); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(c.ctx, changeTimeout)
	defer cancel()
	ctx, stop := httpserve.CallerContext(ctx, c.Conn())
	defer stop()
	reply, err := h.Evacuate(ctx, c.operator, req.Domain, req.Evacuated)
	switch {
	case errors.Is(err, errDomainNotKnownYet):
		return nil, &adminapi.Problem{Type: adminapi.TypeNotFresh, Title: "Not known yet", Status: fasthttp.StatusServiceUnavailable, Detail: err.Error()}
	case err != nil:
		return nil, err
	case reply.Refusal == control.RefusalInvalid:
		return nil, badRequest(errors.New(reply.Detail))
	case !reply.Accepted:
		return nil, &refusedError{reply.Detail}
	}
	return &adminapi.EvacuationReply{Domain: req.Domain, Evacuated: req.Evacuated, Index: reply.Index, Detail: reply.Detail}, nil
}

// adminEvacuations lists the evacuated failure domains and how many live processes
// don't know of each evacuation yet.
func (h *Host) adminEvacuations(c *adminCall) (any, error) {
	out := &adminapi.EvacuationsReply{Fresh: h.waitCurrent(c.ctx), Index: h.machine.Stamp().Index}
	processes, err := h.liveProcesses(c.ctx)
	if err != nil {
		return nil, err
	}
	for _, e := range h.machine.Evacuations() {
		one := adminapi.Evacuation{
			Domain: e.Domain, By: e.By.Name, From: e.By.Addr, At: time.UnixMilli(e.At).UTC(), Version: e.Version,
		}
		for _, m := range processes {
			if m.Peer.Domain == e.Domain {
				one.Processes++
			}
			if m.ConfigIndex < e.Version {
				one.Behind++
			}
		}
		out.Evacuations = append(out.Evacuations, one)
	}
	return out, nil
}
