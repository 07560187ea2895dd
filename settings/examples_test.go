package settings

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The example files are valid, match the sizes of the two sites, and use each
// address once.
func TestExamples(t *testing.T) {
	used := make(map[string]string)
	requireUnused := func(path string, addrs ...string) {
		for _, a := range addrs {
			require.Empty(t, used[a], "%s: duplicate address %s", path, a)
			used[a] = path
		}
	}
	for site, cores := range map[string]uint32{"svealand": 32, "prairie": 64} {
		files := func(kind string) []string {
			list, err := filepath.Glob(fmt.Sprintf("../examples/%s/%s-*.ini", site, kind))
			require.NoError(t, err)
			return list
		}
		for _, path := range files("control") {
			c, err := LoadControl(path)
			require.NoError(t, err)
			requireUnused(path, c.Peers, c.Admin, c.Metrics)
		}
		for _, path := range files("entry") {
			e, err := LoadEntry(path)
			require.NoError(t, err)
			requireUnused(path, e.Callers, e.Metrics)
		}
		racks := make(map[string]int)
		announceAddrs := make(map[string]bool)
		for _, path := range files("agent") {
			a, err := LoadAgent(path)
			require.NoError(t, err)
			require.Equal(t, site, a.Site)
			require.Equal(t, cores, a.Processors)
			require.True(t, strings.HasPrefix(a.Rack, a.Domain), a.Rack)
			requireUnused(path, a.Peers, a.Upstream, a.Metrics)
			racks[a.Rack]++
			announceAddrs[a.Upstream] = true
		}
		for _, path := range files("upstream") {
			u, err := LoadUpstream(path)
			require.NoError(t, err)
			require.Equal(t, [2]uint32{8, 64}, [2]uint32{u.Slots, u.Connections})
			require.True(t, announceAddrs[u.Agent], path)
			delete(announceAddrs, u.Agent)
			requireUnused(path, u.Tasks)
		}
		require.Empty(t, announceAddrs, "agents without an upstream")
		require.Len(t, racks, 4)
		for rack, workers := range racks {
			require.LessOrEqual(t, workers, 3, rack)
		}
	}
	require.Len(t, used, 2*(3*3+2*2+11*3+11))
}
