package route

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/bundle"
)

func newTable(routes ...bundle.Route) *Table {
	b := &bundle.Bundle{Routes: map[string]bundle.Route{}}
	for _, r := range routes {
		b.Routes[r.Name] = r
	}
	return NewTable(b.Indexed())
}

func TestMatchSelectsLongestPrefix(t *testing.T) {
	tab := newTable(
		bundle.Route{Name: "a", Host: "one.example", Prefix: "/x/"},
		bundle.Route{Name: "b", Host: "one.example", Prefix: "/x/y/"},
		bundle.Route{Name: "c", Host: "two.example", Prefix: "/x/"},
		bundle.Route{Name: "own", Path: "/assets/{tag}"},
	)
	for _, c := range []struct{ host, path, want string }{
		{"one.example", "/x/1", "a"},
		{"one.example", "/x/y/1", "b"},
		{"ONE.example:8080", "/x/y/1", "b"},
		{"two.example", "/x/y/1", "c"},
		{"one.example", "/x", ""},
		{"one.example", "/assets/1", ""},
		{"three.example", "/x/1", ""},
	} {
		r, ok := tab.Match(c.host, c.path)
		require.Equal(t, c.want != "", ok, "%s%s", c.host, c.path)
		require.Equal(t, c.want, r.Name, "%s%s", c.host, c.path)
	}
}

func TestPickFollowsTheWeights(t *testing.T) {
	r := bundle.Route{Backends: []bundle.Backend{{Group: "a", Weight: 90}, {Group: "b", Weight: 10}, {Group: "c"}}}
	counts := map[string]int{}
	const points = 1000
	for i := range points {
		counts[PickGroup(r, float64(i)/points)]++
	}
	require.Equal(t, map[string]int{"a": 900, "b": 100}, counts)
	require.Equal(t, "only", PickGroup(bundle.Route{Group: "only"}, 0.5))
	require.Equal(t, "z", PickGroup(bundle.Route{Backends: []bundle.Backend{{Group: "z"}}}, 0.5))
}
