// Package entry is the HTTP front end for callers. It authenticates and validates their requests, removes
// the caller's key from what is forwarded, and passes the requests to package request.
package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"net/http"
	"slices"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/endpoint"
)

// Source provides the current bundle, the fleet's configuration.
type Source interface {
	// Current returns the current bundle, or nil if none has been received yet.
	Current() *bundle.Bundle
}

// index holds the lookup tables built from one bundle. It is immutable.
type index struct {
	bundle *bundle.Bundle
	// keys maps the first eight bytes of a key's hash to the hashes that begin with them. Whole hashes are
	// compared in constant time.
	keys map[uint64][]keyHash
	// groups lists the engine groups of each model, in lexical order.
	groups map[string][]string
	routes *mux.Router
}

type keyHash struct {
	sum     [sha256.Size]byte
	account string
}

func newIndex(b *bundle.Bundle) *index {
	x := &index{
		bundle: b,
		keys:   make(map[uint64][]keyHash, len(b.Keys)),
		groups: map[string][]string{},
		routes: mux.NewRouter().SkipClean(true),
	}
	for _, key := range b.Keys {
		x.addKey(key)
	}
	for name, group := range b.Groups {
		if group.Kind == bundle.KindEngine {
			x.groups[group.Model] = append(x.groups[group.Model], name)
		}
	}
	for _, groups := range x.groups {
		slices.Sort(groups)
	}
	x.addRoutes()
	return x
}

func (x *index) addKey(key bundle.Key) {
	sum, err := hex.DecodeString(key.SHA256)
	if err != nil || len(sum) != sha256.Size {
		return
	}
	entry := keyHash{sum: [sha256.Size]byte(sum), account: key.Account}
	prefix := binary.BigEndian.Uint64(sum)
	x.keys[prefix] = append(x.keys[prefix], entry)
}

func (x *index) addRoutes() {
	names := make([]string, 0, len(x.bundle.Routes))
	for name := range x.bundle.Routes {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		route := x.bundle.Routes[name]
		x.routes.NewRoute().Name(name).Path(route.Path).Methods(route.Method).Handler(http.NotFoundHandler())
	}
}

// account returns the client account whose key has the given hash.
func (x *index) account(sum [sha256.Size]byte) (string, bool) {
	account, found := "", 0
	for _, key := range x.keys[binary.BigEndian.Uint64(sum[:])] {
		if subtle.ConstantTimeCompare(key.sum[:], sum[:]) == 1 {
			account, found = key.account, 1
		}
	}
	return account, found == 1
}

// isKey reports whether the value is a valid key of any client account.
func (x *index) isKey(value string) bool {
	_, ok := x.account(sha256.Sum256([]byte(value)))
	return ok
}

// match returns the route of the request. wrongMethod reports that a route has the path but not the method.
func (x *index) match(r *http.Request) (route bundle.Route, ok, wrongMethod bool) {
	var m mux.RouteMatch
	if x.routes.Match(r, &m) && m.MatchErr == nil && m.Route != nil {
		route, ok = x.bundle.Routes[m.Route.GetName()]
		return route, ok, false
	}
	return bundle.Route{}, false, m.MatchErr == mux.ErrMethodMismatch
}

var routeMethods = []string{
	http.MethodDelete, http.MethodGet, http.MethodHead, http.MethodPatch, http.MethodPost, http.MethodPut,
}

// methods returns the methods that the bundle's routes accept for the request's path, for the Allow header.
func (x *index) methods(r *http.Request) []string {
	var allowed []string
	for _, method := range routeMethods {
		probe := *r
		probe.Method = method
		if _, ok, _ := x.match(&probe); ok {
			allowed = append(allowed, method)
		}
	}
	return allowed
}

// resolve returns the adapter and version that a model name denotes: "adapter" for its default version, or
// "adapter:version".
func (x *index) resolve(model string) (bundle.Adapter, endpoint.AdapterVersion, bool) {
	if a, ok := x.bundle.Adapters[model]; ok {
		return a, endpoint.AdapterVersion{Adapter: model, Version: a.Default}, true
	}
	cut := strings.LastIndexByte(model, ':')
	if cut < 0 {
		return bundle.Adapter{}, endpoint.AdapterVersion{}, false
	}
	name, version := model[:cut], model[cut+1:]
	a, ok := x.bundle.Adapters[name]
	if !ok || !slices.Contains(a.Versions, version) {
		return bundle.Adapter{}, endpoint.AdapterVersion{}, false
	}
	return a, endpoint.AdapterVersion{Adapter: name, Version: version}, true
}

// groupsFor returns the engine groups that can serve the adapter, ordered by rendezvous hashing so that
// every VM prefers the same group for an adapter.
func (x *index) groupsFor(a bundle.Adapter) []string {
	groups := slices.Clone(x.groups[a.Model])
	score := func(group string) uint64 { return xxhash.Sum64String(a.Name + "\x00" + group) }
	sort.SliceStable(groups, func(i, j int) bool { return score(groups[i]) > score(groups[j]) })
	return groups
}
