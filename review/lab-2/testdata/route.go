package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["route"] = routeCase }

// routeCase sends requests whose path holds an escaped slash. Half-way, the operator adds a route with a longer prefix, which does not
// begin that path.
func routeCase(w *world, trouble bool, _ uint64) error {
	const prefix, added = "/tags/", "/tags/old/"
	var mu sync.Mutex
	wrong := 0
	decide := func(s *server, r *http.Request, _ string) (action, string) {
		allowed := prefix
		if s.fleet.service == "archive" {
			allowed = added
		}
		if !strings.HasPrefix(r.RequestURI, allowed) {
			mu.Lock()
			wrong++
			mu.Unlock()
			return serve, "path " + r.RequestURI + " at service " + s.fleet.service
		}
		return serve, ""
	}
	services := []map[string]any{}
	for _, name := range []string{"ledger", "archive"} {
		f := &fleet{w: w, service: name, decide: decide}
		services = append(services, plainService(name))
		for i := range 3 {
			if err := f.start(zones[i%len(zones)]); err != nil {
				return err
			}
		}
	}
	routes := []map[string]any{route("record", "non_idempotent", "ledger", prefix, 1, time.Second)}
	if err := w.configure(routes, services, 0, 0); err != nil {
		return err
	}
	if err := w.startGateways(5); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	var clients sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
	begun, changed := time.Now(), false
	for n := 0; time.Since(begun) < 16*time.Second; n++ {
		if trouble && !changed && time.Since(begun) > 6*time.Second {
			changed = true
			if err := w.configure(append(routes, route("record-old", "non_idempotent", "archive", added, 1, time.Second)), services, 0, 0); err != nil {
				return err
			}
			w.note("the operator adds a route: %s to the service archive", added)
		}
		g, id := w.gateways[n%len(w.gateways)], w.nextID()
		path := []string{"/tags/old%2F77", "/tags/new%2F78"}[n%2]
		clients.Go(func() {
			status := w.send(client, g, request{id: id, method: "POST", path: path, body: "record " + id, timeout: time.Second})
			w.note("request %s for %s to %s: %s", id, path, g.name, outcome(status))
		})
		time.Sleep(50 * time.Millisecond)
	}
	clients.Wait()
	text := fmt.Sprintf("requests run by a service whose prefix does not begin their path: %d (none allowed)", wrong)
	if wrong > 0 {
		return fmt.Errorf("%w: ROUTE: %s", errBroken, text)
	}
	w.note("%s", text)
	return nil
}
