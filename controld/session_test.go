package controld

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/transport"
	"github.com/fireflytray/fireflytray/wire"
)

// A control host of a fleet of 200 hosts was ended for its memory: what it sent to
// peers that did not read waited, up to 16 MiB for each of them.
func TestSessionOfPeerThatDoesNotReadIsClosedEarly(t *testing.T) {
	a := newAuthority(t)
	h := startHost(t, a, "control-1", "127.0.0.1:0")
	o := transport.Options{Identity: identity(t, a, wire.RoleEntry, "entry-1")}
	peer, err := transport.Dial(context.Background(), h.Addr(), wire.RoleControl, o)
	require.NoError(t, err)
	t.Cleanup(func() { peer.Close("test over") })
	eventually(t, "the session is open", func() bool { return h.sessions.count() == 1 })
	s := h.sessions.all()[0]

	const members, minMemberBytes = 500, 100
	msg := &wire.Directory{Full: true}
	for i := range members {
		msg.Upserts = append(msg.Upserts, wire.Member{Peer: wire.Peer{
			Role: wire.RoleAgent, ID: fmt.Sprintf("side-with-a-long-name-%060d", i), Addr: "127.0.0.1:7721", Domain: "sv-a",
		}})
	}
	// transitBytes covers what the peer's transport takes in without a reader.
	const transitBytes = 2 << 20
	sent := 0
	for s.conn.Err() == nil {
		s.send(msg)
		sent += members * minMemberBytes
		require.Less(t, sent, sessionSendQueue+transitBytes)
	}
	require.ErrorIs(t, s.conn.Err(), transport.ErrClosed)
}
