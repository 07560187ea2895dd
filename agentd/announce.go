package agentd

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/fireflytray/fireflytray/agent"
	"github.com/fireflytray/fireflytray/internal/strictjson"
	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/upstream"
)

// pathUsage accepts the platform's measurements of the worker's resource usage.
const pathUsage = "/v1/usage"

// Limits on the values of an announcement or a usage report. maxSlots and
// maxConnections are counts.
const (
	maxNameBytes   = 128
	maxSlots       = 4096
	maxConnections = 1 << 16
	minLease       = 100 * time.Millisecond
	maxLease       = 5 * time.Minute
	maxUsageAge    = time.Hour
)

// usage is the body of POST /v1/usage.
type usage struct {
	InUse upstream.Offered `json:"in_use"`
	// AgeMS is the time since the measurement.
	AgeMS uint32 `json:"age_ms"`
}

func (d *daemon) handle(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		ctx.Error("only POST is served", fasthttp.StatusMethodNotAllowed)
		return
	}
	ev, err := d.decode(string(ctx.Path()), ctx.PostBody())
	switch {
	case errors.Is(err, errUnknownPath):
		ctx.Error(err.Error(), fasthttp.StatusNotFound)
	case err != nil:
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
	case !d.loop.Post(ev):
		ctx.Error("agent ends", fasthttp.StatusServiceUnavailable)
	}
}

var errUnknownPath = errors.New("agent: no such path")

func (d *daemon) decode(path string, body []byte) (agent.Event, error) {
	switch path {
	case upstream.PathAnnounce:
		up, err := decodeAnnouncement(body)
		if err != nil {
			return nil, err
		}
		d.applyDefaults(&up)
		return agent.Announced{Upstream: up}, nil
	case upstream.PathLeave:
		return decodeLeave(body)
	case pathUsage:
		return decodeUsage(body)
	}
	return nil, errUnknownPath
}

// applyDefaults sets fields that the announcement leaves empty from the agent's
// options.
func (d *daemon) applyDefaults(up *agent.Upstream) {
	if up.Offered == (task.Resources{}) {
		up.Offered = d.opts.Offered
	}
	if up.Rack == "" {
		up.Rack = d.opts.Rack
	}
}

func decodeAnnouncement(body []byte) (agent.Upstream, error) {
	var a upstream.Announcement
	if err := strictjson.UnmarshalKnown(body, &a); err != nil {
		return agent.Upstream{}, fmt.Errorf("agent: announcement: %w", err)
	}
	lease := time.Duration(a.LeaseMS) * time.Millisecond
	switch {
	case a.Instance == "" || len(a.Instance) > maxNameBytes:
		return agent.Upstream{}, fmt.Errorf("agent: announcement: instance must have 1 to %d bytes", maxNameBytes)
	case a.Service == "" || len(a.Service) > maxNameBytes:
		return agent.Upstream{}, fmt.Errorf("agent: announcement: service must have 1 to %d bytes", maxNameBytes)
	case len(a.Rack) > maxNameBytes:
		return agent.Upstream{}, fmt.Errorf("agent: announcement: rack must have at most %d bytes", maxNameBytes)
	case a.Slots == 0 || a.Slots > maxSlots:
		return agent.Upstream{}, fmt.Errorf("agent: announcement: slots %d: valid are 1 to %d", a.Slots, maxSlots)
	case a.Connections == 0 || a.Connections > maxConnections:
		return agent.Upstream{}, fmt.Errorf("agent: announcement: connections %d: valid are 1 to %d", a.Connections, maxConnections)
	case lease < minLease || lease > maxLease:
		return agent.Upstream{}, fmt.Errorf("agent: announcement: lease %s: valid are %s to %s", lease, minLease, maxLease)
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return agent.Upstream{}, fmt.Errorf("agent: announcement: address: %w", err)
	}
	return agent.Upstream{
		Instance:    a.Instance,
		Service:     a.Service,
		Addr:        a.Address,
		Slots:       a.Slots,
		Connections: a.Connections,
		Offered:     resources(a.Offered),
		Rack:        a.Rack,
		Lease:       lease,
		Draining:    a.Draining,
		CanStatus:   a.CanStatus,
		CanStop:     a.CanStop,
	}, nil
}

func resources(o upstream.Offered) task.Resources {
	return task.Resources{MilliCPU: o.MilliCPU, MemoryMB: o.MemoryMB, Accelerators: o.Accelerators}
}

func decodeLeave(body []byte) (agent.Event, error) {
	var l upstream.Departure
	if err := strictjson.UnmarshalKnown(body, &l); err != nil {
		return nil, fmt.Errorf("agent: leave: %w", err)
	}
	if l.Instance == "" {
		return nil, errors.New("agent: leave: instance is missing")
	}
	return agent.Left{Instance: l.Instance}, nil
}

func decodeUsage(body []byte) (agent.Event, error) {
	var u usage
	if err := strictjson.UnmarshalKnown(body, &u); err != nil {
		return nil, fmt.Errorf("agent: usage: %w", err)
	}
	age := time.Duration(u.AgeMS) * time.Millisecond
	if age > maxUsageAge {
		return nil, fmt.Errorf("agent: usage: age %s: valid are 0 to %s", age, maxUsageAge)
	}
	return agent.Usage{InUse: resources(u.InUse), Age: age}, nil
}
