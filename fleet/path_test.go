package fleet

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/wire"
)

func TestComparablePath(t *testing.T) {
	for path, want := range map[string]string{
		"/": "/", "/a/b": "/a/b", "/a//b": "/a/b", "//a/": "/a/", "/a/./b/": "/a/b/", "/a/../b/": "/b/", "/../b/": "/b/", "/a/..": "/a/..",
		"/a%20b/": "/a b/", "/a%2Fb/": "/a/b/", "/%2e%2E/b": "/b", "/%zz/%4": "/%zz/%4", "/%2541/": "/%41/", "/.a/..b/": "/.a/..b/",
	} {
		require.Equal(t, want, ComparablePath(path), path)
	}
}

func FuzzComparablePath(f *testing.F) {
	for _, prefix := range []string{"/", "/a//b/", "/a%20b/", "/a/../b/", "/%", "/..", "/%2e%2e/"} {
		f.Add(prefix, "0123456789abcdef")
	}
	f.Fuzz(func(t *testing.T, prefix, id string) {
		if !strings.HasPrefix(prefix, "/") || strings.ContainsAny(id, "/%") {
			return
		}
		routes := newRoutes(map[string]Route{"r": {Name: "r", Host: "a", Prefix: prefix}})
		route, rest := routes.Find("a", prefix+id)
		require.NotNil(t, route, "%q", prefix)
		if !strings.Contains(prefix[max(0, len(prefix)-2):], "%") {
			require.Equal(t, id, rest, "%q", prefix)
		}
	})
}

func TestLongestPrefixIsFound(t *testing.T) {
	table := map[string]Route{}
	for _, prefix := range []string{"/a/", "/a//", "/a//b/", "/a%2Fb/c/", "/a/b/c/", "/a/b/c"} {
		table[prefix] = Route{Name: prefix, Host: "h", Prefix: prefix}
	}
	routes := newRoutes(table)
	for path, want := range map[string][2]string{
		"/a/1": {"/a/", "1"}, "/a//1": {"/a//", "1"}, "/a///1": {"/a//", "1"}, "/a//b/1": {"/a//b/", "1"}, "/a/b/1": {"/a//b/", "1"},
		"/a/b/c/1": {"/a/b/c/", "1"}, "/a%2Fb/c/1": {"/a%2Fb/c/", "1"}, "/a//b/c/1": {"/a%2Fb/c/", "1"}, "/a/b/c1": {"/a/b/c", "1"}, "/./a/1": {"/a//", "1"},
		"/a//b/../1": {"/a//", "1"}, "/a/../a/b/1": {"/a//b/", "1"}, "/a/b/c/../1": {"/a//b/", "1"}, "/a%2F1": {"/a//", "1"},
	} {
		route, rest := routes.Find("h", path)
		require.NotNil(t, route, path)
		require.Equal(t, want, [2]string{route.Name, rest}, path)
	}
}

// A path that leaves a prefix by dots is not a request for its queue.
func TestDotsLeaveAPrefix(t *testing.T) {
	routes := newRoutes(map[string]Route{"a": {Name: "a", Host: "h", Prefix: "/a/"}, "b": {Name: "b", Host: "h", Prefix: "/b/"}})
	for path, want := range map[string]string{"/a/../b/1": "b", "/b/../a/1": "a", "/a/%2e%2e/b/1": "b", "/a/x/../1": "a"} {
		route, rest := routes.Find("h", path)
		require.NotNil(t, route, path)
		require.Equal(t, [2]string{want, "1"}, [2]string{route.Name, rest}, path)
	}
	for _, path := range []string{"/a/../c/1", "/a/../1", "/c/1"} {
		route, _ := routes.Find("h", path)
		require.Nil(t, route, path)
	}
}

func TestPrefixesThatNoPathBeginsWithAreRefused(t *testing.T) {
	for _, prefix := range []string{"/a?b/", "/a#b/", "/a\nb/", "/\x00", "/\x7f/"} {
		err := CheckRequests([]wire.ConfigSection{routeSection("r", "a.example", prefix)})
		require.ErrorContains(t, err, "is not part of a path", "%q", prefix)
	}
	require.NoError(t, CheckRequests([]wire.ConfigSection{routeSection("r", "a.example", "/a b/")}))
}
