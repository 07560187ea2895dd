package wire

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Every kind has a message type, and the message returns that kind.
func TestNewCoversEveryKind(t *testing.T) {
	for k := KindHello; k < KindLimit; k++ {
		m, err := New(k)
		require.NoError(t, err)
		require.Equal(t, k, m.Kind())
	}
	_, err := New(KindLimit)
	require.Error(t, err)
}
