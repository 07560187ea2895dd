package replica

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/fireflytray/fireflytray/internal/steadyclock"
)

// A leader whose machine was suspended took its lease for valid when it woke up, since
// its clock had stood still, and served reads that a new leader's changes had made
// outdated.
func TestSuspendedLeaderDistrustsItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		var suspended [4]atomic.Int64
		var hosts []*host
		for i := 1; i <= 3; i++ {
			machine := &steadyclock.Machine{Read: func(clock int32) (time.Duration, error) {
				if clock == unix.CLOCK_BOOTTIME {
					return time.Duration(suspended[i].Load()), nil
				}
				return 0, nil
			}}
			hosts = append(hosts, n.start(t, i, func(o *Options) {
				withBootstrap(1, 2, 3)(o)
				o.newClock = machine.NewClock
			}))
		}
		l := waitForLeader(t, hosts...)
		n.setIsolated(l.addr, true)
		for i, h := range hosts {
			if h == l {
				suspended[i+1].Store(int64(time.Minute))
			}
		}
		require.False(t, l.replica.Status().Fresh)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := l.replica.Barrier(ctx)
		require.Error(t, err)
	})
}
