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
	// DefaultValidity is how long a process's certificate holds.
	DefaultValidity = 90 * 24 * time.Hour
	// clockSkew is how far a verifier's clock may lag behind the issuer's.
	clockSkew  = 10 * time.Minute
	serialBits = 127
)

// Authority issues certificates. Only operators hold one; processes hold its
// certificate without its key.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority returns an authority that exists in memory only.
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

// Identity issues an identity that is held in memory only.
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

// extKeyUsages says whether a role may listen as well as dial.
func extKeyUsages(r wire.Role) []x509.ExtKeyUsage {
	if r == wire.RoleOperator {
		return []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	}
	return []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
}

func template(commonName string, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("keys: draw serial number: %w", err)
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
