package controld

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A stopped leader must hand over before it leaves its peers, and end at once.
func TestStoppedLeaderHandsOver(t *testing.T) {
	c := startCluster(t, 3)
	leader := c.leader()
	h := c.hosts[leader]
	time.Sleep(time.Second)
	start := time.Now()
	h.shutDown()
	t.Logf("the leader ended after %v", time.Since(start))
	c.hosts = append(c.hosts[:leader], c.hosts[leader+1:]...)
	c.leader()
	t.Logf("there is another leader after %v", time.Since(start))
	require.Less(t, time.Since(start), 500*time.Millisecond)
}
