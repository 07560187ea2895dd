package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/wire"
)

// One limit that can't be read must not take the others out of force.
func TestLimitsAreParsedOneByOne(t *testing.T) {
	pairs := []wire.ConfigPair{
		{Key: LimitHeaderBytes, Value: "16384"}, {Key: LimitBodyBytes, Value: "many"}, {Key: "later", Value: "1"},
		{Key: LimitHeaderTimeout, Value: "3000ms"}, {Key: LimitIdleTimeout, Value: "-1s"},
	}
	l, err := ParseLimits(pairs)
	require.ErrorContains(t, err, LimitIdleTimeout)
	require.Equal(t, RequestLimits{HeaderBytes: 16384, HeaderTimeout: 3 * time.Second}, l)
	l, err = ParseLimits(nil)
	require.NoError(t, err)
	require.Zero(t, l)
}
