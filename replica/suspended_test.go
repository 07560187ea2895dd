package replica

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/internal/steadyclock/clocktest"
)

// A leader whose machine was suspended took its lease for valid when it woke up, since
// its clock had stood still, and served reads that a new leader's changes had made
// outdated.
func TestSuspendedLeaderDistrustsItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		machines := map[*host]*clocktest.Machine{}
		var hosts []*host
		for i := 1; i <= 3; i++ {
			machine := clocktest.New()
			h := n.start(t, i, func(o *Options) {
				withBootstrap(1, 2, 3)(o)
				o.newClock = machine.NewClock
			})
			hosts, machines[h] = append(hosts, h), machine
		}
		l := waitForLeader(t, hosts...)
		n.setIsolated(l.addr, true)
		machines[l].Suspend(time.Minute)
		require.False(t, l.replica.Status().Fresh)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := l.replica.Barrier(ctx)
		require.Error(t, err)
	})
}
