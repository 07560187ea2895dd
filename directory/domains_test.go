package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/wire"
)

// A failure domain stays known when all its processes have failed, whichever control
// host they had announced themselves to.
func TestDomainsAreRememberedAfterTheirProcesses(t *testing.T) {
	r := NewReducer(0)
	in := func(id, domain string) wire.Peer {
		return wire.Peer{Role: wire.RoleAgent, ID: id, Incarnation: 1, Domain: domain}
	}
	query := func(now time.Duration) (domains []string, complete bool) {
		r.Step(now, Event{Domains: &DomainsQuery{Reply: func(d []string, c bool) { domains, complete = d, c }}}, nil)
		return domains, complete
	}
	domains, complete := query(0)
	require.Empty(t, domains)
	require.False(t, complete)
	r.Step(0, Event{Announce: &ReceivedAnnouncement{Conn: 1, Msg: &wire.Announce{From: in("a", "sv-a"), Seq: 1, Lease: MinLease}}}, nil)
	r.Step(0, Event{Received: &ReceivedDirectory{Source: "c1", Msg: &wire.Directory{Upserts: []wire.Member{{Peer: in("b", "sv-b")}}}}}, nil)
	r.Step(0, Event{SourceLost: &SourceLost{Source: "c1"}}, nil)
	domains, complete = query(2 * MaxLease)
	require.Equal(t, []string{"sv-a", "sv-b"}, domains)
	require.True(t, complete)
	require.Empty(t, r.table.Members())
	for n := range maxDomains + 10 {
		r.domains.add(fmt.Sprint("d", n))
	}
	domains, _ = query(2 * MaxLease)
	require.Len(t, domains, maxDomains)
}
