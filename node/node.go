// Package node assembles whole processes from their parts: an entry, an agent
// or a control host with its links to the control hosts. The daemons call it
// with what their settings files say, and `fireflytray dev` with what it made
// up itself.
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

// leaveTimeout bounds the goodbye to the control hosts.
const leaveTimeout = 2 * time.Second

// Common is what every process has.
type Common struct {
	ID       string
	Domain   string
	Site     string
	Identity *keys.Identity
	Logs     *logging.Root
	Scope    tally.Scope
	// DrainWithin bounds how long a shutdown waits for work in flight.
	DrainWithin time.Duration
	// Silence is how long an answer of a peer may take before the connection is
	// judged silent; zero takes the transport's default.
	Silence time.Duration
	// Controls lists the peer addresses of control hosts.
	Controls []string
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
	return transport.Options{Identity: c.Identity, Scope: c.Scope, Silence: c.Silence}
}

// withClient runs work while client keeps its sessions. Work returns once it
// has drained; then client says goodbye.
func withClient(ctx context.Context, client *controlclient.Client, work func(context.Context) error) error {
	sessions, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, gctx := errgroup.WithContext(sessions)
	g.Go(func() error { return client.Run(gctx) })
	err := work(ctx)
	bye, cancel := context.WithTimeout(sessions, leaveTimeout)
	client.Leave(bye)
	cancel()
	stop()
	if cerr := g.Wait(); err == nil && cerr != nil && !errors.Is(cerr, context.Canceled) {
		return fmt.Errorf("sessions to control: %w", cerr)
	}
	return err
}
