package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/mallowlink/mallowlink/pkg/dialect"
	"github.com/mallowlink/mallowlink/platform/standin"
)

const (
	// requestInterval is the usual time between two requests.
	requestInterval = 100 * time.Millisecond
	// timeBudget is how long a client waits for a request in all, with its retry.
	timeBudget = 5 * time.Second
	// connectTime is how long a client allows for a new connection.
	connectTime = time.Second
	// safeShare is the share of requests to the plain service.
	safeShare = 0.1
	// popularity is the exponent of the distribution of requests over adapters. As on every standard day, the demand moves on:
	// every shiftInterval by shiftPlaces, so that the busiest adapters fall silent and others rise.
	popularity    = 1.2
	shiftInterval = 10 * time.Second
	shiftPlaces   = 200
)

// outcome counts what became of requests.
type outcome struct {
	mu           sync.Mutex
	sent, served int
}

func (o *outcome) share() float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.sent == 0 {
		return 0
	}
	return float64(o.served) / float64(o.sent)
}

// send sends requests for a time, and returns what became of those sent in that time once all have ended.
func (w *world) send(phase string, length time.Duration, accounts int) *outcome {
	o := &outcome{}
	var pending sync.WaitGroup
	ticker := time.NewTicker(w.interval)
	defer ticker.Stop()
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		pending.Go(func() {
			served := w.request(phase, accounts)
			o.mu.Lock()
			defer o.mu.Unlock()
			o.sent++
			if served {
				o.served++
			}
		})
		<-ticker.C
	}
	pending.Wait()
	w.logf("%s: %d of %d requests served", phase, o.served, o.sent)
	return o
}

// request sends one request, and once more after a refusal or where no connection could be made, as the clients of the
// platform do. It reports whether it was served.
func (w *world) request(phase string, accounts int) bool {
	key := keyOf(w.intN(accounts))
	prefix, adapter := streamPrefix, w.adapter()
	if float64(w.intN(1000)) < 1000*safeShare {
		prefix, adapter = safePrefix, ""
	}
	deadline := time.Now().Add(timeBudget)
	for attempt := range 2 {
		v := w.pick()
		status, retryAfter, served := w.attempt(phase, v, key, prefix, adapter, time.Until(deadline))
		if served {
			return true
		}
		if attempt > 0 || status != 0 && status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
			return false
		}
		time.Sleep(min(retryAfter, time.Until(deadline)/3))
	}
	return false
}

// pick returns a VM in rotation. If there is none, the platform uses all VMs.
func (w *world) pick() *vm {
	var list []*vm
	all := w.list()
	for _, v := range all {
		if v.inRotation() {
			list = append(list, v)
		}
	}
	if len(list) == 0 {
		list = all
	}
	return list[w.intN(len(list))]
}

// attempt sends one attempt on a new connection. The status is 0 if no connection could be made or it ended without an answer.
func (w *world) attempt(phase string, v *vm, key, prefix, adapter string, left time.Duration) (status int, retryAfter time.Duration, served bool) {
	id := uuid.NewString()
	req, err := http.NewRequest(http.MethodPost, "http://"+v.callers+prefix+"q", strings.NewReader("question "+id))
	must(err)
	req.Host = hostName
	r := standin.Request{ID: id, Key: key, Timeout: left}
	events := 0
	if adapter != "" {
		events = streamEvents
		r.Model, r.Adapter, r.Output = modelName, adapter, 60
		r.Prompt = []dialect.PromptPart{{ID: "5c1e07a2", Tokens: 155}, {ID: fmt.Sprintf("%08x", w.intN(1<<30)), Tokens: 491}}
	}
	r.SetHeaders(req.Header)
	dialer := &net.Dialer{Timeout: connectTime}
	client := &http.Client{Timeout: left, Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext}}
	began := time.Now()
	res, err := client.Do(req)
	if err != nil {
		w.logf("%s: request %s adapter %q to %s: no answer after %s", phase, id, adapter, v.name, time.Since(began).Round(time.Millisecond))
		return 0, 0, false
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	served = err == nil && res.StatusCode == http.StatusOK && bytes.Equal(body, standin.Body(id, events)) && standin.SignatureOf(res.Header) != ""
	var ran []string
	for _, run := range w.audit.Runs(id) {
		ran = append(ran, run.Endpoint)
	}
	w.logf("%s: request %s adapter %q to %s: %d after %s, served %t, run by [%s], code %s, retry-after %q", phase, id, adapter, v.name, res.StatusCode,
		time.Since(began).Round(time.Millisecond), served, strings.Join(ran, " "), res.Header.Get("X-Mallowlink-Code"), res.Header.Get("Retry-After"))
	seconds, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	return res.StatusCode, time.Duration(seconds * float64(time.Second)), served
}
