package transport

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/wire"
)

// A new connection whose messages are short sent as many bytes again to find out how
// large a packet may be, at thousands of connections after each loss of power.
func TestShortMessagesTakeShortPackets(t *testing.T) {
	const (
		rounds    = 20
		interval  = 2 * time.Millisecond
		packetMax = 200 // bytes
	)
	p := newPair(t, Options{})
	entry, agent := p.connect(t, Options{})
	exchange := func() {
		require.NoError(t, entry.Send(benchUpdate(1)))
		_, _, err := agent.Recv(context.Background())
		require.NoError(t, err)
		require.NoError(t, agent.Send(&wire.Report{Seq: 1}))
		_, _, err = entry.Recv(context.Background())
		require.NoError(t, err)
	}
	exchange()
	before := agent.qc.ConnectionStats()
	for range rounds {
		exchange()
		time.Sleep(interval)
	}
	after := agent.qc.ConnectionStats()
	require.Less(t, (after.BytesSent-before.BytesSent)/(after.PacketsSent-before.PacketsSent), uint64(packetMax))
}
