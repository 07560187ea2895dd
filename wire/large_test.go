package wire

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Messages of the replicated log are decoded up to the frame size: a configuration
// with hundreds of routes is one log entry, and a snapshot chunk has 256 KiB.
func TestLargeBodiesAreDecoded(t *testing.T) {
	body := make([]byte, 1<<20)
	for name, m := range map[string]interface {
		MarshalMsg([]byte) ([]byte, error)
	}{
		"raft": &Raft{Body: body}, "propose": &Propose{Command: body}, "proposed": &Proposed{Result: body},
	} {
		out, err := m.MarshalMsg(nil)
		require.NoError(t, err)
		switch name {
		case "raft":
			_, err = new(Raft).UnmarshalMsg(out)
		case "propose":
			_, err = new(Propose).UnmarshalMsg(out)
		case "proposed":
			_, err = new(Proposed).UnmarshalMsg(out)
		}
		require.NoError(t, err, name)
	}
}
