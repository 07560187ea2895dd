package agentd

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/keys"
	"github.com/fireflytray/fireflytray/wire"
)

// An agent with a failed server must drain, so that its running tasks are not cut off.
func TestFailedServerStartsDrain(t *testing.T) {
	ca, err := keys.NewAuthority()
	require.NoError(t, err)
	id, err := ca.Identity(wire.RoleAgent, "agent-1", "sv-a")
	require.NoError(t, err)
	fail := make(chan struct{})
	failure := errors.New("no longer a socket")
	serve := func(context.Context, *LeasedRunner) error { <-fail; return failure }
	d, err := newDaemon(Options{
		Self: wire.Peer{ID: "agent-1", Domain: "sv-a"}, Identity: id, Peers: "127.0.0.1:0",
		Leased: &LeasedOptions{Serve: serve},
	}.withDefaults())
	require.NoError(t, err)
	defer d.close()
	ended := make(chan error, 1)
	go func() { ended <- d.run(context.Background()) }()
	time.Sleep(50 * time.Millisecond)
	close(fail)
	require.ErrorIs(t, await(t, ended), failure)
	select {
	case <-d.drained:
	default:
		t.Fatal("the agent ended without a drain")
	}
}
