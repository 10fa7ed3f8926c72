// Package route selects the route of a request by its host and path, and the group of endpoints that the
// route leads to.
package route

import (
	"slices"
	"strings"

	"github.com/mallowlink/mallowlink/pkg/bundle"
)

// Table selects among those routes of one bundle that have a host and a path prefix. It is immutable.
type Table struct {
	// hosts holds the routes by canonical host, those with the longest prefix first.
	hosts map[string][]bundle.Route
}

// NewTable returns the table of the bundle's routes.
func NewTable(b *bundle.Bundle) *Table {
	t := &Table{hosts: map[string][]bundle.Route{}}
	for _, r := range b.SortedRoutes() {
		if r.Prefix != "" {
			host := canonicalHost(r.Host)
			t.hosts[host] = append(t.hosts[host], r)
		}
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b bundle.Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Match returns the route of the host with the longest prefix that the path starts with. It reports false if
// there is none.
func (t *Table) Match(host, path string) (bundle.Route, bool) {
	for _, r := range t.hosts[canonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return bundle.Route{}, false
}

// canonicalHost returns the host without a port and in lower case.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// PickGroup returns the group of endpoints that a request goes to. If the route has weighted backends, point, a
// number in [0,1), selects one of them in proportion to the weights.
func PickGroup(r bundle.Route, point float64) string {
	total := 0.0
	for _, b := range r.Backends {
		total += b.Weight
	}
	if total <= 0 {
		if r.Group == "" && len(r.Backends) > 0 {
			return r.Backends[0].Group
		}
		return r.Group
	}
	rest := point * total
	for _, b := range r.Backends {
		if rest < b.Weight {
			return b.Group
		}
		rest -= b.Weight
	}
	return r.Backends[len(r.Backends)-1].Group
}
