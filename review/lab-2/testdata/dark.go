package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["dark"] = darkCase }

// darkCase sends one request again and again that makes each server that begins to run it go dark: the server answers nothing more on
// any channel, and takes no new ones, until another one starts in its place.
func darkCase(w *world, trouble bool, _ uint64) error {
	const fatalBody = "record: laptop 77, crash"
	f := &fleet{w: w, service: "ledger"}
	f.decide = func(_ *server, _ *http.Request, body string) (action, string) {
		if body != fatalBody {
			return serve, ""
		}
		if !trouble {
			return crash, "fatal"
		}
		return goDark, "fatal"
	}
	for i := range 3 {
		if err := f.start(zones[i%len(zones)]); err != nil {
			return err
		}
	}
	if err := w.configure([]map[string]any{route("issue", "non_idempotent", f.service, "/issue/", 1, time.Second)}, []map[string]any{plainService(f.service)}, 0, 0); err != nil {
		return err
	}
	if err := w.startGateways(5); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	var clients sync.WaitGroup
	end := time.Now().Add(35 * time.Second)
	send := func(kind string, every time.Duration, body string) {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
		for n := 0; time.Now().Before(end); n++ {
			g, id := w.gateways[n%len(w.gateways)], w.nextID()
			text := body
			if text == "" {
				text = "record: laptop " + id
			}
			clients.Go(func() {
				status := w.send(client, g, request{id: id, method: "POST", path: "/issue/2f", body: text, timeout: time.Second})
				w.note("%s request %s to %s: %s", kind, id, g.name, outcome(status))
			})
			time.Sleep(every)
		}
	}
	clients.Go(func() { send("sound", 50*time.Millisecond, "") })
	clients.Go(func() { send("fatal", 2*time.Second, fatalBody) })
	clients.Wait()
	return f.checkFatal("fatal", 3)
}
