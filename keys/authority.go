package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"math/big"
	"net/url"
	"time"

	"github.com/fireflytray/fireflytray/wire"
)

const (
	authorityValidity = 10 * 365 * 24 * time.Hour
	// DefaultValidity is the default validity period of a process's certificate.
	DefaultValidity = 90 * 24 * time.Hour
	// clockSkew is the tolerated lag of a verifier's clock behind the issuer's.
	clockSkew  = 10 * time.Minute
	serialBits = 127
)

// Authority is a certificate authority. Only operators have its key; processes
// have its certificate alone.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority returns a new authority that is held in memory only.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("keys: generate authority key: %w", err)
	}
	template, err := template("fireflytray authority", authorityValidity)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, fmt.Errorf("keys: sign authority: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("keys: parse authority: %w", err)
	}
	return &Authority{cert: cert, key: key}, nil
}

// Identity issues a certificate for a process and returns it as an identity that
// is held in memory only.
func (a *Authority) Identity(role wire.Role, id, domain string) (*Identity, error) {
	pair, err := a.issue(Name{Role: role, ID: id, Domain: domain}, DefaultValidity)
	if err != nil {
		return nil, err
	}
	return newIdentity("", pair, a.pool())
}

func (a *Authority) pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return pool
}

func (a *Authority) issue(n Name, validity time.Duration) (*tls.Certificate, error) {
	if err := n.Validate(); err != nil {
		return nil, err
	}
	if validity <= 0 {
		return nil, fmt.Errorf("keys: issue %s: validity %v: want more than 0", n, validity)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("keys: generate key for %s: %w", n, err)
	}
	template, err := template(n.String(), validity)
	if err != nil {
		return nil, err
	}
	template.URIs = []*url.URL{n.uri()}
	template.DNSNames = []string{serverName(n.Role)}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = extKeyUsages(n.Role)
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	if err != nil {
		return nil, fmt.Errorf("keys: sign %s: %w", n, err)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("keys: parse %s: %w", n, err)
	}
	return &tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: leaf}, nil
}

// extKeyUsages returns the permitted uses of a role's certificate: operators may
// only dial, the other roles may also listen.
func extKeyUsages(r wire.Role) []x509.ExtKeyUsage {
	if r == wire.RoleOperator {
		return []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	}
	return []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
}

func template(commonName string, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("keys: generate serial number: %w", err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: commonName, Organization: []string{"fireflytray"}},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(validity),
		BasicConstraintsValid: true,
	}, nil
}
