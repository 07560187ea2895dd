package entryd

import (
	"github.com/fireflytray/fireflytray/fleet"
	"github.com/fireflytray/fireflytray/internal/httpserve"
)

// RequestLimits returns the limits of the requests of clients that use routes.
func (d *Daemon) RequestLimits() httpserve.RequestLimits {
	cfg := d.config.Load()
	if cfg == nil {
		return httpserve.RequestLimits{}
	}
	return httpserve.RequestLimits{
		HeaderBytes: int(cfg.Limits.HeaderBytes), BodyBytes: int(cfg.Limits.BodyBytes),
		HeaderTimeout: cfg.Limits.HeaderTimeout, IdleTimeout: cfg.Limits.IdleTimeout,
	}
}

// logLimits logs the limits of a configuration if they differ from those of the one before,
// which may be nil.
func (d *Daemon) logLimits(before, cfg *fleet.Config) {
	l := cfg.Limits
	if before != nil && before.Limits == l {
		return
	}
	d.log.Info("limits of requests in force", "index", cfg.Index, "header_bytes", l.HeaderBytes, "body_bytes", l.BodyBytes,
		"header_timeout", l.HeaderTimeout, "idle_timeout", l.IdleTimeout)
	if l.HeaderBytes > httpserve.DefaultHeaderBytes {
		d.log.Warn("headers are refused from a lower size on than the limits allow", "header_bytes", l.HeaderBytes, "refused_above", httpserve.DefaultHeaderBytes)
	}
}
