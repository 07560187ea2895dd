package fleet

import (
	"fmt"
	"slices"

	"github.com/fireflytray/fireflytray/wire"
)

// CheckRequests returns a *CheckError if requests can't tell the routes in sections apart, or
// can't name their hosts and prefixes. FromSections checks neither: what replicas accept has
// to stay the same in every build, and control hosts hold such sections of earlier builds.
func CheckRequests(sections []wire.ConfigSection) error {
	var c checker
	routes := make([]Route, 0, len(sections))
	for _, s := range sections {
		if kind, name, _ := splitSection(s.Name); s.Site == "" && kind == kindRoute {
			routes = append(routes, routeAddress(name, s.Keys))
		}
	}
	c.checkRequests("", routes)
	if len(c.problems) > 0 {
		return &CheckError{c.problems}
	}
	return nil
}

// checkReachable is checkRequests for the base and for each site that changes routes.
func (c *checker) checkReachable(doc *Document) {
	for _, site := range append([]string{""}, doc.Sites()...) {
		changed := slices.ContainsFunc(doc.sectionNames(site), func(name string) bool {
			kind, _, _ := splitSection(name)
			return kind == kindRoute
		})
		if changed {
			c.checkRequests(site, doc.Effective(site).Routes.list())
		}
	}
}

// routeAddress returns a route with its name, host and prefix only.
func routeAddress(name string, keys []wire.ConfigPair) Route {
	r := Route{Name: name}
	for _, pair := range keys {
		switch pair.Key {
		case "host":
			r.Host = pair.Value
		case "prefix":
			r.Prefix = pair.Value
		}
	}
	return r
}

// checkRequests adds a problem for each of a site's routes that no request can reach, or that
// another one shares its requests with.
func (c *checker) checkRequests(site string, routes []Route) {
	type address struct{ host, prefix string }
	taken := make(map[address]*Route, len(routes))
	for i := range routes {
		r := &routes[i]
		section := kindRoute + " " + r.Name
		if err := checkHost(r.Host); err != nil {
			c.addProblem(configPath{site, section, "host"}, err.Error(), "a host that a request can name")
		}
		if err := checkPrefix(r.Prefix); err != nil {
			c.addProblem(configPath{site, section, "prefix"}, err.Error(), "a prefix of a request's path")
		}
		at := address{comparableHost(r.Host), r.Prefix}
		// FromSections refuses hosts that are written alike.
		if other := taken[at]; other != nil && other.Host != r.Host {
			c.addProblem(configPath{site, section, "host"},
				fmt.Sprintf("route %s has the same host and prefix, as hosts have no case", other.Name), "each host and prefix once")
		}
		taken[at] = r
	}
}
