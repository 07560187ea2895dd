package scrape

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestParseSumsOverLabels(t *testing.T) {
	p, err := Parse([]byte("# TYPE a counter\na{kind=\"x\",m=\"1\"} 2\na{kind=\"x\",m=\"2\"} 1\na{kind=\"y\"} 3\n# TYPE b gauge\nb 7\n# TYPE h histogram\nh_count 1\nh_sum 1\n"))
	require.NoError(t, err)
	require.Equal(t, Page{Counters: map[string]float64{"a": 6}, Gauges: map[string]float64{"b": 7},
		CountersByKind: map[CounterKind]float64{{"a", "x"}: 3, {"a", "y"}: 3},
	}, p)
	_, err = Parse([]byte("a{ 2"))
	require.Error(t, err)
}
