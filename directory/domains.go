package directory

import (
	"maps"
	"slices"

	"github.com/fireflytray/fireflytray/wire"
)

// maxDomains bounds the number of failure domains that are remembered.
const maxDomains = 4096

// DomainsQuery asks for the failure domains of all processes seen since the start of
// this host, including those that are gone: an operator may give orders for a domain
// that has failed as a whole. Reply is called on the event loop. complete is false
// while live processes may not have announced themselves yet.
type DomainsQuery struct {
	Reply func(domains []string, complete bool)
}

// domainSet is a bounded set of failure domains.
type domainSet map[string]bool

func (s domainSet) add(domain string) {
	if domain != "" && len(s) < maxDomains {
		s[domain] = true
	}
}

func (s domainSet) addMembers(members []wire.Member) {
	for i := range members {
		s.add(members[i].Peer.Domain)
	}
}

func (s domainSet) sorted() []string { return slices.Sorted(maps.Keys(s)) }
