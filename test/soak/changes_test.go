package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// changes keeps what the operator has changed, and when the store has taken it.
type changes struct {
	mu sync.Mutex
	// The fields below are guarded by mu.

	withdrawn map[string]time.Time // keys
	versions  map[string][]named   // by adapter
	added     []addedRoute
	next      int
}

// named is a version of an adapter that was declared at that time.
type named struct {
	version int
	at      time.Time
}

// addedRoute is a route that was added at that time.
type addedRoute struct {
	prefix string
	at     time.Time
}

func newChanges() *changes {
	return &changes{withdrawn: map[string]time.Time{}, versions: map[string][]named{}}
}

func (c *changes) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return c.next
}

// addRoute adds a route, and asks every VM for it once it must be in force.
func (c *changes) addRoute(w *world, callers *callers) {
	n := c.count()
	prefix := fmt.Sprintf("/added%d/", n)
	w.operate(func(config *configuration) {
		config.Routes = append(config.Routes, route(fmt.Sprintf("added%d", n), "safe", serviceGroup, prefix, 2))
	})
	at := time.Now()
	c.mu.Lock()
	c.added = append(c.added, addedRoute{prefix, at})
	c.mu.Unlock()
	time.Sleep(configTime + 100*time.Millisecond)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	for i, v := range w.vms {
		a := &attempt{
			id: fmt.Sprintf("probe%d-%d", n, i), kind: kinds[3], account: w.accounts[0].name, vm: v, prefix: prefix,
		}
		callers.mu.Lock()
		a.key = callers.keys[a.account]
		callers.mu.Unlock()
		callers.send(context.Background(), client, a, false)
	}
}

// changeKey gives an account another key, and withdraws the one that it had.
func (c *changes) changeKey(w *world, callers *callers) {
	n := c.count()
	account := w.accounts[n%len(w.accounts)].name
	key := fmt.Sprintf("key-%s-%d", account, n)
	callers.mu.Lock()
	old := callers.keys[account]
	callers.mu.Unlock()
	set := func(keys ...string) {
		w.operate(func(config *configuration) {
			for _, tenant := range config.Tenants {
				if tenant["name"] == account {
					tenant["api_keys"] = keys
				}
			}
		})
	}
	set(old, key)
	time.Sleep(configTime + 500*time.Millisecond)
	callers.setKey(account, key)
	set(key)
	c.mu.Lock()
	c.withdrawn[old] = time.Now()
	c.mu.Unlock()
	// The old key goes on being tried.
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	for i := range 20 {
		v := w.vms[i%len(w.vms)]
		a := &attempt{id: fmt.Sprintf("old%d-%d", n, i), kind: kinds[3], account: account, key: old, vm: v, prefix: safePrefix}
		callers.send(context.Background(), client, a, false)
		time.Sleep(350 * time.Millisecond)
	}
}

// newVersion declares a new version of an adapter.
func (c *changes) newVersion(w *world, adapter int) {
	name := fmt.Sprintf("a%d", adapter)
	c.mu.Lock()
	defer c.mu.Unlock()
	version := 2 + len(c.versions[name])
	w.mu.Lock()
	for _, e := range w.endpoints {
		e.SetNewestVersion(name, version)
	}
	w.mu.Unlock()
	row := map[string]any{"model": modelName, "adapter": name, "version": version}
	if err := w.store.Put("op", "version/"+modelName+"."+name, row); err != nil {
		w.t.Error(err)
	}
	c.versions[name] = append(c.versions[name], named{version, time.Now()})
}
