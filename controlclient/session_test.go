package controlclient

import (
	"context"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/keys"
	"github.com/fireflytray/fireflytray/transport"
	"github.com/fireflytray/fireflytray/wire"
)

// logLines passes on each line that is logged.
type logLines chan string

func (l logLines) Write(p []byte) (int, error) {
	l <- string(p)
	return len(p), nil
}

// An operator sees at the usual level that a process of another role answers at
// the address of a control host, and sees it once.
func TestWrongPeerRoleIsLoggedOnceAtWarn(t *testing.T) {
	authority, err := keys.NewAuthority()
	require.NoError(t, err)
	entry, err := authority.Identity(wire.RoleEntry, "entry-1", "sv-a")
	require.NoError(t, err)
	agent, err := authority.Identity(wire.RoleAgent, "agent-1", "sv-a")
	require.NoError(t, err)
	l, err := transport.Listen("127.0.0.1:0", transport.Options{Identity: agent, Accept: []wire.Role{wire.RoleEntry}})
	require.NoError(t, err)
	defer l.Close()

	logged := make(logLines, 16)
	c := New(Options{
		Controls:  []string{l.Addr()},
		Transport: transport.Options{Identity: entry},
		Self:      func() wire.Announce { return wire.Announce{} },
		Log:       log.NewWithOptions(logged, log.Options{Level: log.DebugLevel}),
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.Run(ctx)
	var seen []string
	for len(seen) < 3 {
		if line := <-logged; strings.Contains(line, "no session") {
			require.Contains(t, line, "dial control "+l.Addr())
			require.Contains(t, line, "not control.fireflytray.internal")
			seen = append(seen, line[:4])
		}
	}
	require.Equal(t, []string{"WARN", "DEBU", "DEBU"}, seen)
}
