// Package route selects the route of a request by its host and path.
package route

import (
	"slices"
	"strings"

	"github.com/mallowlink/mallowlink/pkg/bundle"
)

// Table selects among the routes of one bundle that have a host and a prefix. It is immutable.
type Table struct {
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

// Match returns the route of the host whose prefix is the longest that begins the path.
func (t *Table) Match(host, path string) (bundle.Route, bool) {
	for _, r := range t.hosts[canonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return bundle.Route{}, false
}

// canonicalHost strips the port and the case of a host.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Pick returns the group that a request goes to. point in [0,1) selects among weighted backends.
func Pick(r bundle.Route, point float64) string {
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
	at := point * total
	for _, b := range r.Backends {
		if at < b.Weight {
			return b.Group
		}
		at -= b.Weight
	}
	return r.Backends[len(r.Backends)-1].Group
}
