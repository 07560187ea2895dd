package keys

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fireflytray/fireflytray/wire"
)

// Identity is a process's certificate and key, and the authority that it trusts.
// It is safe for concurrent use.
type Identity struct {
	dir   string
	creds atomic.Pointer[credentials]
}

// credentials is the certificate, key and authority from one load of an
// identity.
type credentials struct {
	name Name
	pair *tls.Certificate
	pool *x509.CertPool
	// trustAnyPeer accepts peer certificates without verification; see
	// SelfSigned.
	trustAnyPeer bool
}

// Load reads the identity in a process's key directory.
func Load(dir string) (*Identity, error) {
	creds, err := loadCredentials(dir)
	if err != nil {
		return nil, err
	}
	id := &Identity{dir: dir}
	id.creds.Store(creds)
	return id, nil
}

func newIdentity(dir string, pair *tls.Certificate, pool *x509.CertPool) (*Identity, error) {
	creds, err := newCredentials(pair, pool)
	if err != nil {
		return nil, err
	}
	id := &Identity{dir: dir}
	id.creds.Store(creds)
	return id, nil
}

func loadCredentials(dir string) (*credentials, error) {
	pair, err := loadProcess(dir)
	if err != nil {
		return nil, err
	}
	pool, err := loadPool(dir)
	if err != nil {
		return nil, err
	}
	return newCredentials(pair, pool)
}

func newCredentials(pair *tls.Certificate, pool *x509.CertPool) (*credentials, error) {
	n, err := NameOf(pair.Leaf)
	if err != nil {
		return nil, err
	}
	opts := x509.VerifyOptions{Roots: pool, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}}
	if _, err := pair.Leaf.Verify(opts); err != nil {
		return nil, fmt.Errorf("keys: verify own certificate %s: %w", n, err)
	}
	return &credentials{name: n, pair: pair, pool: pool}, nil
}

// Name returns the name in the identity's certificate.
func (id *Identity) Name() Name { return id.creds.Load().name }

// Expires returns when the certificate in use expires.
func (id *Identity) Expires() time.Time { return id.creds.Load().pair.Leaf.NotAfter }

// Reload reads the key directory again. New handshakes use the loaded
// credentials; on an error the identity is unchanged. Reload does nothing for an
// identity that is held in memory only.
func (id *Identity) Reload() error {
	if id.dir == "" {
		return nil
	}
	creds, err := loadCredentials(id.dir)
	if err != nil {
		return err
	}
	if old := id.Name(); creds.name != old {
		return fmt.Errorf("keys: reload %s: certificate names %s, want %s", id.dir, creds.name, old)
	}
	id.creds.Store(creds)
	return nil
}

// ServerTLS returns a configuration for listening. It requires a client
// certificate of the authority that names one of the accepted roles.
func (id *Identity) ServerTLS(accept ...wire.Role) *tls.Config {
	conf := id.serverConfig(accept)
	conf.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		current := id.serverConfig(accept)
		current.NextProtos = conf.NextProtos
		return current, nil
	}
	return conf
}

func (id *Identity) serverConfig(accept []wire.Role) *tls.Config {
	creds := id.creds.Load()
	auth := tls.RequireAndVerifyClientCert
	if creds.trustAnyPeer {
		auth = tls.RequireAnyClientCert
	}
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{*creds.pair},
		ClientAuth:             auth,
		ClientCAs:              creds.pool,
		SessionTicketsDisabled: true,
		VerifyConnection:       id.verifyRole(accept),
	}
}

// ClientTLS returns a configuration for a single dial to a peer of role want.
func (id *Identity) ClientTLS(want wire.Role) *tls.Config {
	creds := id.creds.Load()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{*creds.pair},
		RootCAs:                creds.pool,
		ServerName:             serverName(want),
		InsecureSkipVerify:     creds.trustAnyPeer,
		SessionTicketsDisabled: true,
		VerifyConnection:       id.verifyRole([]wire.Role{want}),
	}
}

func (id *Identity) verifyRole(roles []wire.Role) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		n, err := id.PeerName(state)
		if err != nil {
			return err
		}
		if !slices.Contains(roles, n.Role) {
			return fmt.Errorf("keys: peer %s: %w, want one of %v", n, ErrRole, roles)
		}
		return nil
	}
}

// PeerName returns the name in the peer's certificate. The certificate must be
// verified unless this identity trusts every peer.
func (id *Identity) PeerName(state tls.ConnectionState) (Name, error) {
	verified := len(state.VerifiedChains) > 0 || id.creds.Load().trustAnyPeer
	if !verified || len(state.PeerCertificates) == 0 {
		return Name{}, fmt.Errorf("keys: peer has no verified certificate")
	}
	return NameOf(state.PeerCertificates[0])
}
