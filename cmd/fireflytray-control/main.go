// Command fireflytray-control is the control daemon.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"sync/atomic"

	"github.com/fireflytray/fireflytray/control"
	"github.com/fireflytray/fireflytray/controld"
	"github.com/fireflytray/fireflytray/daemon"
	"github.com/fireflytray/fireflytray/internal/httpserve"
	"github.com/fireflytray/fireflytray/logging"
	"github.com/fireflytray/fireflytray/membership"
	"github.com/fireflytray/fireflytray/node"
	"github.com/fireflytray/fireflytray/platform"
	"github.com/fireflytray/fireflytray/settings"
	"github.com/fireflytray/fireflytray/wire"
)

func main() {
	os.Exit(daemon.Main(daemon.Program[settings.Control]{
		Name:     "fireflytray-control",
		Role:     wire.RoleControl,
		Load:     settings.LoadControl,
		Process:  func(s *settings.Control) *settings.Process { return &s.Process },
		Controls: controls,
		Run:      run,
	}, os.Args[1:], os.Stdout, os.Stderr))
}

func run(ctx context.Context, rt daemon.Runtime, s *settings.Control) error {
	if s.Data == "" {
		return redirect(ctx, rt, s)
	}
	rt.SetMemoryTarget(logging.PartControl, s.MemoryTarget)
	initial := controls(s)
	return node.RunControl(ctx, node.ControlOptions{
		Common:     common(rt, s),
		Peers:      s.Peers,
		Admin:      s.Admin,
		Data:       s.Data,
		Initial:    initial,
		Join:       s.Join || s.JoinUnlisted && !slices.Contains(initial, s.Peers),
		Membership: membershipConfig(s),
		LimitsOf:   platform.DocumentLimits,
		Serve:      platformInterfaces(rt, s),

		ElectionTimeout: s.ElectionTimeout,
	})
}

// redirect serves operators for a process without a replica, by redirecting them to the
// control hosts of the settings, also of those that are read again.
func redirect(ctx context.Context, rt daemon.Runtime, s *settings.Control) error {
	operators, err := netip.ParseAddrPort(s.Operators)
	if err != nil {
		return fmt.Errorf("a process without a data folder only redirects operators: their address: %w", err)
	}
	var hosts atomic.Pointer[[]string]
	hosts.Store(&s.Initial)
	logger := rt.Logs.For(logging.PartControl)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case addrs := <-rt.ControlsChanged:
				list := settings.ReplacePort(addrs, uint32(operators.Port()))
				hosts.Store(&list)
				logger.Info("operators are redirected to other control hosts", "controls", list)
			}
		}
	}()
	return platform.ServeRedirect(ctx, s.Operators, func() []string { return *hosts.Load() }, logger, operatorsGate(rt))
}

// operatorsGate bounds what the interface for the platform's operators holds.
func operatorsGate(rt daemon.Runtime) httpserve.Option {
	return httpserve.WithGate(rt.Gate(logging.PartControl, "operators", httpserve.Limits{}))
}

func membershipConfig(s *settings.Control) *membership.Config {
	if !s.Managed {
		return nil
	}
	return &membership.Config{Tolerance: int(s.Tolerance)}
}

// platformInterfaces returns the servers of the platform interfaces that the
// settings enable.
func platformInterfaces(rt daemon.Runtime, s *settings.Control) []func(context.Context, *controld.Host) error {
	if s.Operators == "" {
		return nil
	}
	return []func(context.Context, *controld.Host) error{
		func(ctx context.Context, h *controld.Host) error {
			return platform.ServeOperators(ctx, s.Operators, operators{h}, rt.Logs.For(logging.PartControl), operatorsGate(rt))
		},
	}
}

// operators carries out the orders of the platform's operators on a control host.
type operators struct{ *controld.Host }

// Publish implements platform.OperatorBackend.
func (o operators) Publish(ctx context.Context, by string, doc *platform.Document) (string, error) {
	refused, err := o.Host.Publish(ctx, by, doc.Version, doc.Sections, doc.Source)
	if errors.As(err, new(*controld.TooLargeError)) {
		err = fmt.Errorf("%w: %w", platform.ErrDocumentTooLarge, err)
	}
	return refused, err
}

// Evacuate implements platform.OperatorBackend.
func (o operators) Evacuate(ctx context.Context, by, domain string, evacuated bool) (string, error) {
	reply, err := o.Host.Evacuate(ctx, control.Operator{Name: controld.PlatformOperator, Addr: by}, domain, evacuated)
	if err != nil || reply.Accepted {
		return "", err
	}
	return reply.Detail, nil
}

// controls returns the peer addresses of the control hosts that the settings name.
func controls(s *settings.Control) []string { return settings.ReplacePort(s.Initial, s.PeerPort) }

func common(rt daemon.Runtime, s *settings.Control) node.Common {
	return node.Common{
		ID:           s.ID,
		Domain:       s.Domain,
		Site:         s.Site,
		DrainTimeout: s.DrainTimeout,
		PeerTimeout:  s.PeerTimeout,
		Identity:     rt.Identity,
		Logs:         rt.Logs,
		Scope:        rt.Metrics.Scope(),
		Controls:     controls(s),

		ControlsChanged: rt.ControlsChanged,
	}
}
