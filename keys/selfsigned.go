package keys

import (
	"github.com/fireflytray/fireflytray/wire"
)

// SelfSigned returns an identity that is held in memory and trusts every peer
// without verifying its certificate. It is for networks that restrict access by
// other means and distribute no keys to processes: connections are encrypted, but
// a peer's name and role are unverified claims.
func SelfSigned(role wire.Role, id, domain string) (*Identity, error) {
	authority, err := NewAuthority()
	if err != nil {
		return nil, err
	}
	pair, err := authority.issue(Name{Role: role, ID: id, Domain: domain}, DefaultValidity)
	if err != nil {
		return nil, err
	}
	identity := &Identity{}
	identity.creds.Store(&credentials{
		name:         Name{Role: role, ID: id, Domain: domain},
		pair:         pair,
		pool:         authority.pool(),
		trustAnyPeer: true,
	})
	return identity, nil
}
