package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	scenarios["part-event"] = func(w *world, trouble bool, _ uint64) error { return partCase(w, trouble, crashAfterEvent, 2, 3) }
	scenarios["part-head"] = func(w *world, trouble bool, _ uint64) error { return partCase(w, trouble, crash, 2, 3) }
	scenarios["part-long"] = func(w *world, trouble bool, _ uint64) error { return partCase(w, trouble, crash, 70, 66) }
	scenarios["grey"] = greyCase
}

// fatalPart is the part of prompts that crashes servers.
const fatalPart = "bad5eed0"

// partCase sends sound requests whose prompts share shared parts, and others with one part more, at the place of that number, that
// crashes each server that begins to write an answer on it. No two requests are alike.
func partCase(w *world, trouble bool, how action, shared, place int) error {
	f := &fleet{w: w, service: "assist", engine: true}
	f.decide = func(_ *server, r *http.Request, _ string) (action, string) {
		if !strings.Contains(r.Header.Get("X-Prompt-Prefix"), fatalPart+":") {
			return serve, ""
		}
		if !trouble {
			return serve, "with the part, which is sound"
		}
		return how, "with the part"
	}
	for i := range 9 {
		if err := f.start(zones[i%len(zones)]); err != nil {
			return err
		}
	}
	if err := w.configure([]map[string]any{route("query", "streaming", f.service, "/query/", 1, 5*time.Second)}, []map[string]any{engineService(f.service)}, 0, 0); err != nil {
		return err
	}
	if err := w.startGateways(5); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	parts := make([]string, shared)
	for i := range parts {
		parts[i] = fmt.Sprintf("%08x:20", 0x5c1e0000+i)
	}
	var clients sync.WaitGroup
	end := time.Now().Add(35 * time.Second)
	send := func(kind string, every time.Duration, prefix []string) {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
		for n := 0; time.Now().Before(end); n++ {
			g, id := w.gateways[n%len(w.gateways)], w.nextID()
			clients.Go(func() {
				all := append(append([]string{}, prefix...), id[:8]+":30")
				status := w.send(client, g, request{id: id, method: "POST", path: "/query/2f", body: "question " + id, timeout: 5 * time.Second, header: map[string]string{
					"X-Model": modelName, "X-Token-Count": fmt.Sprintf("%d,30", 20*len(prefix)+30), "X-Prompt-Prefix": strings.Join(all, ","),
				}})
				w.note("%s request %s to %s: %s", kind, id, g.name, outcome(status))
			})
			time.Sleep(every)
		}
	}
	clients.Go(func() { send("sound", 12*time.Millisecond, parts) })
	fatal := append(append(append([]string{}, parts[:place-1]...), fatalPart+":20"), parts[place-1:]...)
	clients.Go(func() { send("fatal", 700*time.Millisecond, fatal) })
	clients.Wait()
	return f.checkFatal("with the part", 5)
}

func outcome(status int) string {
	if status == 0 {
		return "no whole answer"
	}
	return fmt.Sprint(status)
}

// checkFatal returns errBroken if more than three requests with the mark have reached servers later than the contact time after
// the crash of that number.
func (f *fleet) checkFatal(mark string, crashes int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.w.note("%d crashes, %d arrivals", len(f.crashes), len(f.arrivals))
	if len(f.crashes) < crashes {
		return nil
	}
	from := f.crashes[crashes-1].Add(contact)
	f.w.note("%s", f.lostBySound(from))
	late := 0
	for _, a := range f.arrivals {
		if a.mark == mark && a.at.After(from) {
			late++
		}
	}
	text := fmt.Sprintf("%d crashes; crash %d at %.3f s; requests %q that reached servers later than %v after it: %d (3 allowed)",
		len(f.crashes), crashes, f.crashes[crashes-1].Sub(f.w.begun).Seconds(), mark, contact, late)
	if late > 3 {
		return fmt.Errorf("%w: BUDGET: %s", errBroken, text)
	}
	f.w.note("%s", text)
	return nil
}

// lostBySound says how many sound requests were running, from a time on, at servers that crashed under them.
func (f *fleet) lostBySound(from time.Time) string {
	lost := 0
	for _, a := range f.arrivals {
		if a.mark == "" && a.action == serve && a.cut && a.at.After(from) {
			lost++
		}
	}
	return fmt.Sprintf("sound requests that were running from then on at servers as these crashed: %d", lost)
}

// Times of the case of a request that crashes servers.
const (
	greyTime = 4 * time.Second
	// greyShare is the share of their requests that the servers fail.
	greyShare = 0.45
)

// greyCase sends one request again and again that crashes each server that begins to run it. For the first seconds the servers fail a
// part of all their requests.
func greyCase(w *world, trouble bool, seed uint64) error {
	const fatalBody = "record: laptop 77, crash"
	random := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	var greyUntil time.Time
	f := &fleet{w: w, service: "ledger"}
	f.decide = func(_ *server, _ *http.Request, body string) (action, string) {
		mu.Lock()
		failing := time.Now().Before(greyUntil) && random.Float64() < greyShare
		mu.Unlock()
		mark := ""
		if body == fatalBody {
			mark = "fatal"
		}
		switch {
		case failing:
			return fail, mark
		case mark != "":
			return crash, mark
		}
		return serve, ""
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
	if trouble {
		mu.Lock()
		greyUntil = time.Now().Add(greyTime)
		mu.Unlock()
		w.note("for %v the servers fail %.2f of their requests", greyTime, greyShare)
	}
	var clients sync.WaitGroup
	end := time.Now().Add(30 * time.Second)
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
	clients.Go(func() { send("sound", 21*time.Millisecond, "") })
	clients.Go(func() { send("fatal", time.Second, fatalBody) })
	clients.Wait()
	return f.checkFatal("fatal", 3)
}
