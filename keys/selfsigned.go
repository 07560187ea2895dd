package keys

import (
	"github.com/fireflytray/fireflytray/wire"
)

// SelfSigned returns an identity that is held in memory and trusts every peer
// that names itself. It is for networks that keep strangers out by other means
// and hand no keys to processes: links are encrypted, but a peer's name and
// role are only what it says.
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
