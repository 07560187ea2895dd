package controld

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/wire"
)

// routesDocument returns a document with many routes, as wide as an operator publishes
// at the users' size.
func routesDocument(n int) []wire.ConfigSection {
	list := []wire.ConfigSection{{Name: "service s"}}
	for i := range n {
		list = append(list, wire.ConfigSection{Name: fmt.Sprintf("route r%d", i), Keys: []wire.ConfigPair{
			{Key: "host", Value: fmt.Sprintf("h%d.example", i%7)}, {Key: "prefix", Value: fmt.Sprintf("/p%d/", i)},
			{Key: "service", Value: "s"}, {Key: "timeout", Value: "1s"},
		}})
	}
	return list
}

// A document with hundreds of routes is one entry of the log, far above 64 KiB.
func TestLargeDocumentIsAccepted(t *testing.T) {
	c := startCluster(t, 3)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for version, n := range []int{10, 430, 1000} {
		refused, err := c.hosts[c.leader()].Publish(ctx, "op", uint64(version+1), routesDocument(n), bytes.Repeat([]byte("x"), 180*n))
		require.NoError(t, err, "%d routes", n)
		require.Empty(t, refused)
	}
}
