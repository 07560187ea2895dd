// Package node assembles complete processes from their parts: an entry, an agent
// or a control host with its connections to the control hosts. The daemons call
// it with the values of their settings files, and `fireflytray dev` with values
// that it generates.
package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/fireflytray/fireflytray/agentd"
	"github.com/fireflytray/fireflytray/controlclient"
	"github.com/fireflytray/fireflytray/keys"
	"github.com/fireflytray/fireflytray/logging"
	"github.com/fireflytray/fireflytray/transport"
	"github.com/fireflytray/fireflytray/wire"
)

// leaveTimeout bounds how long a process takes to tell the control hosts that it
// leaves.
const leaveTimeout = 2 * time.Second

// Common holds the settings that every process has.
type Common struct {
	ID       string
	Domain   string
	Site     string
	Identity *keys.Identity
	Logs     *logging.Root
	Scope    tally.Scope
	// DrainTimeout bounds how long a shutdown waits for work in flight.
	DrainTimeout time.Duration
	// PeerTimeout is how long a peer may take to answer before the connection
	// is considered silent; zero selects the transport's default. Its settings
	// key is "silence".
	PeerTimeout time.Duration
	// Controls lists the peer addresses of control hosts that the settings name.
	// ControlsChanged delivers lists that replace it; nil delivers none.
	Controls        []string
	ControlsChanged <-chan []string
}

func (c Common) peer(r wire.Role, addr string) wire.Peer {
	return wire.Peer{
		Role:        r,
		ID:          c.ID,
		Incarnation: agentd.NewIncarnation(),
		Domain:      c.Domain,
		Site:        c.Site,
		Addr:        addr,
	}
}

func (c Common) transport() transport.Options {
	return transport.Options{Identity: c.Identity, Scope: c.Scope, PeerTimeout: c.PeerTimeout}
}

// withClient runs work while client maintains its sessions. Work returns once it
// has drained; client then tells the control hosts that the process leaves.
func withClient(ctx context.Context, client *controlclient.Client, work func(context.Context) error) error {
	sessions, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, gctx := errgroup.WithContext(sessions)
	g.Go(func() error { return client.Run(gctx) })
	err := work(ctx)
	leaveCtx, cancel := context.WithTimeout(sessions, leaveTimeout)
	client.Leave(leaveCtx)
	cancel()
	stop()
	if clientErr := g.Wait(); err == nil && clientErr != nil && !errors.Is(clientErr, context.Canceled) {
		return fmt.Errorf("sessions to control: %w", clientErr)
	}
	return err
}
