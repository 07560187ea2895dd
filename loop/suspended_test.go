package loop

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/internal/steadyclock"
	"github.com/fireflytray/fireflytray/internal/steadyclock/clocktest"
)

// alarm is a reducer that wants one tick at a time and records when it gets it.
type alarm struct {
	at    time.Duration
	ticks *[]time.Duration
}

// Step implements Reducer.
func (a *alarm) Step(now time.Duration, _ int, out []int) []int {
	*a.ticks = append(*a.ticks, now)
	a.at = now + time.Hour
	return out
}

// Next implements Reducer.
func (a *alarm) Next() (time.Duration, bool) { return a.at, true }

// Timers stand still while the machine is suspended: deadlines that passed meanwhile
// were handled late by the time that had been left.
func TestDeadlineThatPassedDuringSuspensionIsHandledSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machine := clocktest.New()
		var ticks []time.Duration
		l := New[int, int](&alarm{at: 10 * time.Second, ticks: &ticks}, 0, func(int) {})
		l.clock = machine.NewClock()
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { defer close(ended); l.Run(ctx) }()
		time.Sleep(time.Second)
		machine.Suspend(30 * time.Second)
		time.Sleep(steadyclock.MaxSleep)
		synctest.Wait()
		stop()
		<-ended
		require.Len(t, ticks, 1)
		require.GreaterOrEqual(t, ticks[0], 31*time.Second)
		require.LessOrEqual(t, ticks[0], 31*time.Second+steadyclock.MaxSleep)
	})
}

// Looks at the clock are no ticks.
func TestNoTickBeforeItIsDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ticks []time.Duration
		l := New[int, int](&alarm{at: 10 * time.Second, ticks: &ticks}, 0, func(int) {})
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { defer close(ended); l.Run(ctx) }()
		time.Sleep(20 * time.Second)
		stop()
		<-ended
		require.Equal(t, []time.Duration{10 * time.Second}, ticks)
	})
}
