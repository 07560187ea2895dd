package transport

import (
	"context"
	"crypto/tls"
	"testing"

	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/keys"
	"github.com/fireflytray/fireflytray/wire"
)

// A listener refuses roles that it does not accept, a dialling side refuses a
// peer of another role, and neither takes a foreign authority's certificate.
func TestWrongCertificates(t *testing.T) {
	p := newPair(t, Options{})
	foreign, err := keys.NewAuthority()
	require.NoError(t, err)
	for name, c := range map[string]struct {
		identity *keys.Identity
		want     wire.Role
		message  string
	}{
		"agent acts as an entry":   {identity(t, p.authority, wire.RoleAgent, "agent-2"), wire.RoleAgent, "bad certificate"},
		"operator dials an agent":  {identity(t, p.authority, wire.RoleOperator, "anna"), wire.RoleAgent, "bad certificate"},
		"foreign authority":        {identity(t, foreign, wire.RoleEntry, "entry-1"), wire.RoleAgent, "unknown authority"},
		"agent answers as control": {identity(t, p.authority, wire.RoleEntry, "entry-1"), wire.RoleControl, "control.fireflytray.internal"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Dial(context.Background(), p.listener.Addr(), c.want, Options{Identity: c.identity})
			require.ErrorContains(t, err, "transport: dial "+string(c.want)+" "+p.listener.Addr())
			require.ErrorContains(t, err, c.message)
			require.NotErrorIs(t, err, ErrSilent)
		})
	}
}

// The listener itself refuses a dialling side that checks nothing and has a
// foreign certificate, or none.
func TestListenerVerifiesCertificates(t *testing.T) {
	p := newPair(t, Options{})
	foreign, err := keys.NewAuthority()
	require.NoError(t, err)
	stranger := identity(t, foreign, wire.RoleEntry, "entry-1").ClientTLS(wire.RoleAgent)
	for name, certificates := range map[string][]tls.Certificate{
		"foreign": stranger.Certificates,
		"none":    nil,
	} {
		t.Run(name, func(t *testing.T) {
			conf := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{protocol}, Certificates: certificates}
			qc, err := quic.DialAddr(context.Background(), p.listener.Addr(), conf, nil)
			if err == nil {
				defer qc.CloseWithError(closeCode, "test over")
				_, err = qc.AcceptStream(context.Background())
			}
			require.ErrorContains(t, err, "CRYPTO_ERROR")
		})
	}
}

// A renewed authority and certificate hold for the next handshake, without a
// restart, and connections that are open go on.
func TestReloadedCertificate(t *testing.T) {
	root := t.TempDir()
	agentName := keys.Name{Role: wire.RoleAgent, ID: "agent-1", Domain: "sv-a"}
	entryName := keys.Name{Role: wire.RoleEntry, ID: "entry-1", Domain: "sv-b"}
	issue := func(authority string) {
		require.NoError(t, keys.Init(root+"/"+authority))
		require.NoError(t, keys.Issue(root+"/"+authority, agentName, keys.DefaultValidity, root+"/agent"))
		require.NoError(t, keys.Issue(root+"/"+authority, entryName, keys.DefaultValidity, root+"/entry"))
	}
	issue("first")
	agent, err := keys.Load(root + "/agent")
	require.NoError(t, err)
	entry, err := keys.Load(root + "/entry")
	require.NoError(t, err)
	l, err := Listen("127.0.0.1:0", Options{Identity: agent, Accept: []wire.Role{wire.RoleEntry}})
	require.NoError(t, err)
	defer l.Close()
	dial := func() (*Conn, error) {
		return Dial(context.Background(), l.Addr(), wire.RoleAgent, Options{Identity: entry})
	}
	before, err := dial()
	require.NoError(t, err)
	defer before.Close("test over")

	issue("second")
	require.NoError(t, entry.Reload())
	_, err = dial()
	require.ErrorContains(t, err, "unknown authority")
	require.NoError(t, agent.Reload())
	after, err := dial()
	require.NoError(t, err)
	defer after.Close("test over")
	require.NoError(t, before.Send(&wire.Update{Seq: 1}))
	old, err := l.Accept(context.Background())
	require.NoError(t, err)
	m, _, err := old.Recv(context.Background())
	require.NoError(t, err)
	require.Equal(t, uint64(1), m.(*wire.Update).Seq)
}

// An identity does not become another by a reload, and a broken file leaves it
// as it was.
func TestReloadRefusesAnotherName(t *testing.T) {
	root := t.TempDir()
	require.NoError(t, keys.Init(root+"/ca"))
	require.ErrorContains(t, keys.Init(root+"/ca"), "already exists")
	name := keys.Name{Role: wire.RoleAgent, ID: "agent-1", Domain: "sv-a"}
	require.NoError(t, keys.Issue(root+"/ca", name, keys.DefaultValidity, root+"/agent"))
	id, err := keys.Load(root + "/agent")
	require.NoError(t, err)
	other := keys.Name{Role: wire.RoleEntry, ID: "agent-1", Domain: "sv-a"}
	require.NoError(t, keys.Issue(root+"/ca", other, keys.DefaultValidity, root+"/agent"))
	require.ErrorContains(t, id.Reload(), "certificate names entry agent-1 (sv-a), want agent agent-1 (sv-a)")
	require.Equal(t, name, id.Name())
}
