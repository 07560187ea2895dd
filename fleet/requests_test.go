package fleet

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/wire"
)

func routeSection(name, host, prefix string) wire.ConfigSection {
	return wire.ConfigSection{Name: "route " + name, Keys: []wire.ConfigPair{
		{Key: "host", Value: host}, {Key: "prefix", Value: prefix}, {Key: "service", Value: "s"}, {Key: "timeout", Value: "1s"},
	}}
}

func service(name string) wire.ConfigSection { return wire.ConfigSection{Name: "service " + name} }

func TestRoutesThatRequestsCannotTellApartAreRefused(t *testing.T) {
	a := routeSection("a", "queue.example", "/x/")
	require.NoError(t, CheckRequests([]wire.ConfigSection{service("s"), a, routeSection("b", "Queue.example", "/y/"), routeSection("c", "queue.example:80", "/x/")}))
	err := CheckRequests([]wire.ConfigSection{service("s"), a, routeSection("b", "Queue.example", "/x/")})
	require.ErrorContains(t, err, "route a has the same host and prefix, as hosts have no case")
	require.Len(t, Problems(err), 1)
}

func TestHostsThatNoRequestNamesAreRefused(t *testing.T) {
	for _, host := range []string{"", " ", "a b", "a/b", "a?b", "a#b", "a@b", `a\b`, "]", "[::1", "[[::1]]", "a%41.example", "%zz", "a:b"} {
		err := CheckRequests([]wire.ConfigSection{routeSection("r", host, "/x/")})
		require.ErrorContains(t, err, "is not a host", "%q", host)
	}
}

// Replicas of earlier builds hold such documents; a table is built from them all the same.
func TestStoredRoutesOfOneHostAreServedAsBefore(t *testing.T) {
	doc, err := FromSections([]wire.ConfigSection{
		service("s"), routeSection("a", "Queue.example", "/x/"), routeSection("b", "queue.example", "/x/"),
		routeSection("c", "", "/x/"), routeSection("d", "QUEUE.example", "/x/longer/"),
	})
	require.NoError(t, err)
	routes := doc.Effective("").Routes
	find := func(host, path string) string {
		route, _ := routes.Find(host, path)
		if route == nil {
			return ""
		}
		return route.Name
	}
	require.Equal(t, 4, routes.Len())
	require.Equal(t, "b", find("queue.example", "/x/"), "as earlier builds served it")
	require.Equal(t, "b", find("QUEUE.EXAMPLE", "/x/"))
	require.Equal(t, "d", find("queue.example", "/x/longer/"))
	require.Empty(t, find("other.example", "/x/"))
}

// Files are checked with their overlays.
func TestFilesWithUnreachableRoutesAreRefused(t *testing.T) {
	const base = "[service s]\n[route a]\nhost = queue.example\nprefix = /x/\nservice = s\ntimeout = 1s\n" +
		"[route b]\nhost = other.example\nprefix = /x/\nservice = s\ntimeout = 1s\n"
	_, err := Parse([]Source{{File: "base.ini", Text: []byte(base)}})
	require.NoError(t, err)
	_, err = Parse([]Source{{File: "base.ini", Text: []byte(strings.Replace(base, "other.example", "QUEUE.example", 1))}})
	require.ErrorContains(t, err, "base.ini:8")
	require.ErrorContains(t, err, "hosts have no case")
	_, err = Parse([]Source{{File: "base.ini", Text: []byte(base)}, {Site: "sv-a", File: "sv-a.ini", Text: []byte("[route b]\nhost = Queue.example\n")}})
	require.ErrorContains(t, err, "sv-a.ini:2")
	_, err = Parse([]Source{{File: "base.ini", Text: []byte(base)}, {Site: "sv-a", File: "sv-a.ini", Text: []byte("[route b]\nhost = a@b\n")}})
	require.ErrorContains(t, err, "is not a host")
}
