// Package keys is the certificate authority of a fleet and the identities that
// it issues. A certificate names exactly one role, one process and its failure
// domain; it can't be used to act in another role.
package keys

import (
	"crypto/x509"
	"errors"
	"fmt"
	"net/url"
	"regexp"
	"strings"

	"github.com/fireflytray/fireflytray/wire"
)

// uriScheme marks the subject alternative name that holds a Name.
const uriScheme = "fireflytray"

// serverNameSuffix completes a role to the DNS name that its certificates
// carry, so that a dialling side can demand a role by server name.
const serverNameSuffix = ".fireflytray.internal"

// ErrRole is wrapped by errors about a peer whose role is not wanted.
var ErrRole = errors.New("role not accepted")

// labelPattern is the form of process ids and failure domains.
var labelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Name is what a certificate says of its holder.
type Name struct {
	Role   wire.Role
	ID     string
	Domain string
}

// String returns the name as role, id and failure domain.
func (n Name) String() string { return fmt.Sprintf("%s %s (%s)", n.Role, n.ID, n.Domain) }

// Validate reports whether every part of the name is well formed.
func (n Name) Validate() error {
	if _, err := ParseRole(string(n.Role)); err != nil {
		return err
	}
	if !labelPattern.MatchString(n.ID) {
		return fmt.Errorf("keys: process id %q: want 1 to 63 letters, digits, '.', '_' or '-'", n.ID)
	}
	if !labelPattern.MatchString(n.Domain) {
		return fmt.Errorf("keys: failure domain %q: want 1 to 63 letters, digits, '.', '_' or '-'", n.Domain)
	}
	return nil
}

// ParseRole reads a role.
func ParseRole(s string) (wire.Role, error) {
	switch r := wire.Role(s); r {
	case wire.RoleEntry, wire.RoleAgent, wire.RoleControl, wire.RoleOperator:
		return r, nil
	}
	return "", fmt.Errorf("keys: role %q: want entry, agent, control or operator", s)
}

func (n Name) uri() *url.URL {
	return &url.URL{
		Scheme: uriScheme,
		Host:   string(n.Role),
		Path:   "/" + n.Domain + "/" + n.ID,
	}
}

func serverName(r wire.Role) string { return string(r) + serverNameSuffix }

// NameOf reads the one name that a certificate carries.
func NameOf(cert *x509.Certificate) (Name, error) {
	if len(cert.URIs) != 1 {
		return Name{}, fmt.Errorf("keys: certificate %s: has %d URIs, want 1", cert.Subject, len(cert.URIs))
	}
	u := cert.URIs[0]
	parts := strings.Split(u.Path, "/")
	if u.Scheme != uriScheme || len(parts) != 3 || parts[0] != "" {
		return Name{}, fmt.Errorf("keys: certificate %s: URI %q: want %s://role/domain/id", cert.Subject, u, uriScheme)
	}
	n := Name{Role: wire.Role(u.Host), Domain: parts[1], ID: parts[2]}
	if err := n.Validate(); err != nil {
		return Name{}, fmt.Errorf("keys: certificate %s: %w", cert.Subject, err)
	}
	return n, nil
}
