package entryd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The medians are those of a small entry in a burst, four a
// second. The median falls below the threshold several times while the clients are
// the same; the entry must not switch back and forth.
func TestBusyEntryClosesSomeConnections(t *testing.T) {
	s := &shedding{above: 20 * time.Millisecond}
	turnarounds := []time.Duration{6, 7, 50, 46, 10, 7, 40, 5, 22, 6, 6, 5, 0, 6, 5, 6, 7, 6, 5}
	changes, closed := 0, 0
	for i, ms := range turnarounds {
		if s.update(time.Duration(i)*isolationCheckInterval, ms*time.Millisecond) {
			changes++
		}
		for range shedOneIn {
			if s.next() {
				closed++
			}
		}
	}
	require.Equal(t, 2, changes, "short once, and rested once")
	require.Equal(t, 14, closed, "from the third measurement until two seconds after the last above")
	require.False(t, s.next())
}

// Without a setting, no entry is ever short.
func TestSheddingIsOffByDefault(t *testing.T) {
	s := &shedding{}
	require.False(t, s.update(time.Second, time.Hour))
	require.False(t, s.next())
}
