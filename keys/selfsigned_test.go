package keys

import (
	"crypto/tls"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/wire"
)

// handshake returns the errors of both ends of one TLS handshake.
func handshake(t *testing.T, server, client *tls.Config) (serverErr, clientErr error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	done := make(chan error, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			done <- err
			return
		}
		defer conn.Close()
		done <- tls.Server(conn, server).Handshake()
	}()
	conn, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	clientErr = tls.Client(conn, client).Handshake()
	return <-done, clientErr
}

func TestSelfSignedPeersTrustOneAnother(t *testing.T) {
	agent, err := SelfSigned(wire.RoleAgent, "agent-1", "zone-a")
	require.NoError(t, err)
	entry, err := SelfSigned(wire.RoleEntry, "entry-1", "zone-b")
	require.NoError(t, err)
	serverErr, clientErr := handshake(t, agent.ServerTLS(wire.RoleEntry), entry.ClientTLS(wire.RoleAgent))
	require.NoError(t, serverErr)
	require.NoError(t, clientErr)
}

func TestSelfSignedPeerMustNameTheRole(t *testing.T) {
	agent, err := SelfSigned(wire.RoleAgent, "agent-1", "zone-a")
	require.NoError(t, err)
	other, err := SelfSigned(wire.RoleAgent, "agent-2", "zone-b")
	require.NoError(t, err)
	serverErr, _ := handshake(t, agent.ServerTLS(wire.RoleEntry), other.ClientTLS(wire.RoleAgent))
	require.ErrorIs(t, serverErr, ErrRole)
}

func TestVerifyingProcessRejectsSelfSigned(t *testing.T) {
	authority, err := NewAuthority()
	require.NoError(t, err)
	agent, err := authority.Identity(wire.RoleAgent, "agent-1", "zone-a")
	require.NoError(t, err)
	entry, err := SelfSigned(wire.RoleEntry, "entry-1", "zone-b")
	require.NoError(t, err)
	serverErr, _ := handshake(t, agent.ServerTLS(wire.RoleEntry), entry.ClientTLS(wire.RoleAgent))
	require.Error(t, serverErr)
}
