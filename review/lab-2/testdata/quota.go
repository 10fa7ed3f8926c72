package main

import (
	"fmt"
	"math"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["quota"] = quotaCase }

const (
	quotaRate  = 30_000.0
	quotaBurst = 15_000.0
	// promptTokens and outputTokens are the size of an ordinary request.
	promptTokens, outputTokens = 5900, 100
)

// quotaCase lets one account send many times its allowance. Once, it states the largest 64-bit number as the most output tokens.
func quotaCase(w *world, trouble bool, _ uint64) error {
	f := &fleet{w: w, service: "assist", engine: true}
	f.decide = func(*server, *http.Request, string) (action, string) { return serve, "" }
	for i := range 9 {
		if err := f.start(zones[i%len(zones)]); err != nil {
			return err
		}
	}
	if err := w.configure([]map[string]any{route("query", "streaming", f.service, "/query/", 1, 5*time.Second)}, []map[string]any{engineService(f.service)}, quotaRate, quotaBurst); err != nil {
		return err
	}
	if err := w.startGateways(5); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	var clients sync.WaitGroup
	var mu sync.Mutex
	sent := map[string]time.Time{}
	statuses := map[int]int{}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	send := func(g *gateway, output int64) {
		id := w.nextID()
		mu.Lock()
		sent[id] = time.Now()
		mu.Unlock()
		clients.Go(func() {
			count := fmt.Sprintf("%d,%d", promptTokens, output)
			status := w.send(client, g, request{id: id, method: "POST", path: "/query/2f", body: "question " + id, timeout: 5 * time.Second, header: map[string]string{
				"X-Model": modelName, "X-Token-Count": count, "X-Prompt-Prefix": "5c1e07a2:100," + id[:8] + ":5800",
			}})
			mu.Lock()
			statuses[status]++
			mu.Unlock()
			w.note("request %s of %s tokens to %s: %s", id, count, g.name, outcome(status))
		})
	}
	begun := time.Now()
	odd := !trouble
	for n := 0; time.Since(begun) < 28*time.Second; n++ {
		if !odd && time.Since(begun) > 12*time.Second {
			odd = true
			send(w.gateways[0], math.MaxInt64)
		}
		send(w.gateways[n%len(w.gateways)], outputTokens)
		time.Sleep(50 * time.Millisecond)
	}
	clients.Wait()
	w.note("answers by status: %v", statuses)
	return f.checkQuota(sent)
}

// checkQuota returns errBroken if more tokens than allowed were both sent and run within some window.
func (f *fleet) checkQuota(sent map[string]time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	most, at := 0.0, time.Time{}
	for _, last := range f.arrivals {
		total := 0.0
		for _, a := range f.arrivals {
			if a.ran && !a.at.After(last.at) && sent[a.id].After(last.at.Add(-quotaWindow)) {
				total += a.tokens
			}
		}
		if total > most {
			most, at = total, last.at
		}
	}
	text := fmt.Sprintf("most tokens sent and run within %v: %.0f, up to %.3f s (allowed %.0f)", quotaWindow, most, at.Sub(f.w.begun).Seconds(), allowed)
	if most > allowed {
		return fmt.Errorf("%w: QUOTA: %s", errBroken, text)
	}
	f.w.note("%s", text)
	return nil
}
