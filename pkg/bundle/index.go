package bundle

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strings"
)

// index holds lookups derived from a bundle.
type index struct {
	keys      map[uint64][]keyEntry
	adapters  map[string][]string
	endpoints map[string][]Endpoint
	groups    map[string][]string
	routes    []Route
}

type keyEntry struct {
	hash    []byte
	account string
}

func newIndex(b *Bundle) *index {
	x := &index{
		keys:      map[uint64][]keyEntry{},
		adapters:  map[string][]string{},
		endpoints: map[string][]Endpoint{},
		groups:    map[string][]string{},
	}
	for _, name := range sortedKeys(b.Keys) {
		x.addKey(b.Keys[name])
	}
	for _, name := range sortedKeys(b.Adapters) {
		for _, account := range b.Adapters[name].Accounts {
			x.adapters[account] = append(x.adapters[account], name)
		}
	}
	for _, name := range sortedKeys(b.Endpoints) {
		endpoint := b.Endpoints[name]
		x.endpoints[endpoint.Group] = append(x.endpoints[endpoint.Group], endpoint)
	}
	for _, name := range sortedKeys(b.Groups) {
		if model := b.Groups[name].Model; model != "" {
			x.groups[model] = append(x.groups[model], name)
		}
	}
	for _, name := range sortedKeys(b.Routes) {
		x.routes = append(x.routes, b.Routes[name])
	}
	return x
}

func (x *index) addKey(key Key) {
	hash, err := hex.DecodeString(key.SHA256)
	if err != nil || len(hash) != sha256.Size {
		return
	}
	at := binary.BigEndian.Uint64(hash)
	x.keys[at] = append(x.keys[at], keyEntry{hash: hash, account: key.Account})
}

// Indexed returns a copy of a bundle that was built in place, not parsed, with its lookups compiled.
func (b *Bundle) Indexed() *Bundle {
	c := *b
	c.index = newIndex(b)
	return &c
}

// lookups returns the compiled lookups. For a bundle without them it compiles them anew each time.
func (b *Bundle) lookups() *index {
	if b.index != nil {
		return b.index
	}
	return newIndex(b)
}

// AccountOf returns the client account that the caller's key belongs to. Hashes are compared in
// constant time.
func (b *Bundle) AccountOf(key string) (Account, bool) {
	sum := sha256.Sum256([]byte(key))
	for _, entry := range b.lookups().keys[binary.BigEndian.Uint64(sum[:])] {
		if subtle.ConstantTimeCompare(entry.hash, sum[:]) == 1 {
			account, ok := b.Accounts[entry.account]
			return account, ok
		}
	}
	return Account{}, false
}

// HashKey returns the hexadecimal SHA-256 of a caller's key, as a bundle holds it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// AdaptersOf returns the names of the adapters that the client account may use, in order. The
// caller must not change the slice.
func (b *Bundle) AdaptersOf(account string) []string { return b.lookups().adapters[account] }

// MayUse reports whether the client account may use the adapter.
func (b *Bundle) MayUse(account, adapter string) bool {
	return slices.Contains(b.Adapters[adapter].Accounts, account)
}

// MayCall reports whether the client account may use the keyed route.
func (r Route) MayCall(account string) bool {
	return len(r.Accounts) == 0 || slices.Contains(r.Accounts, account)
}

// Resolve finds the adapter and version that "adapter" or "adapter:version" names.
func (b *Bundle) Resolve(name string) (adapter Adapter, version string, ok bool) {
	name, version, versioned := strings.Cut(name, ":")
	adapter, ok = b.Adapters[name]
	if !ok {
		return Adapter{}, "", false
	}
	if !versioned {
		return adapter, adapter.Default, true
	}
	return adapter, version, slices.Contains(adapter.Versions, version)
}

// EndpointsOf returns the group's endpoints by name. The caller must not change the slice.
func (b *Bundle) EndpointsOf(group string) []Endpoint { return b.lookups().endpoints[group] }

// GroupsOf returns the names of the engine groups that serve the model, in order. The caller must
// not change the slice.
func (b *Bundle) GroupsOf(model string) []string { return b.lookups().groups[model] }

// SortedRoutes returns the routes by name. The caller must not change the slice.
func (b *Bundle) SortedRoutes() []Route { return b.lookups().routes }

// Following returns a copy of the bundle as the version after the given one. Version 0 and an empty
// hash stand for none.
func (b *Bundle) Following(version uint64, hash string) *Bundle {
	c := *b
	c.Version = version + 1
	c.Previous = hash
	return &c
}
