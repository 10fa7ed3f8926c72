package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/mallowlink/mallowlink/platform/standin"
)

const (
	// fatalMark is the body of the request that crashes the endpoints that run it.
	fatalMark = "fatal"
	// fatalPause is the time between two sendings of that request, crashRestart the time after which an endpoint
	// that it has crashed is back.
	fatalPause   = 300 * time.Millisecond
	crashRestart = 1200 * time.Millisecond
	// crashesKnown is the number of endpoints that a request must have crashed for it to be known, and
	// maxAfterKnown the arrivals at endpoints that are allowed once all VMs must know.
	crashesKnown  = 3
	maxAfterKnown = 3
)

// crashedByRequest ends an endpoint that a request has crashed, and starts it again: every second time under its
// name and at its address, else as a new one.
func (w *world) crashedByRequest(ended *standin.Endpoint) {
	go func() {
		w.mu.Lock()
		var e *endpoint
		for _, candidate := range w.endpoints {
			if candidate.Endpoint == ended {
				e = candidate
			}
		}
		w.crashes++
		same := w.crashes%2 == 0
		w.mu.Unlock()
		defer w.faults.begin("crashed_by_request", e.ID(), false)()
		w.end(e, false)
		time.Sleep(crashRestart)
		if w.t.Context().Err() != nil {
			return
		}
		if same {
			w.startEndpoint(e.Group(), e)
		} else {
			w.addEndpoint(e.Group())
		}
	}()
}

// sendFatal sends the request that crashes endpoints to the VMs in turn for d, each time with the same path, key and
// body.
func (c *callers) sendFatal(ctx context.Context, k kind, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	var sending sync.WaitGroup
	for i := 0; ctx.Err() == nil; i++ {
		a := &attempt{
			id: fmt.Sprintf("fatal-%s-%d", k.name, i), kind: k, account: "large", prefix: k.prefix, fatal: true,
			vm: c.w.vms[i%len(c.w.vms)],
		}
		if k.events > 0 {
			a.adapter = "a0"
		}
		c.mu.Lock()
		a.key = c.keys[a.account]
		c.mu.Unlock()
		sending.Go(func() { c.send(ctx, client, a, false) })
		sleep(ctx, fatalPause)
	}
	sending.Wait()
}

// codeSuspect is the result code of requests that are refused for the endpoints that they have crashed.
const codeSuspect = "2006"

// checkCrashes: a request that has crashed three endpoints reaches hardly any more once every VM must know of it. No
// other request is taken for one that crashes endpoints.
func (f *findings) checkCrashes(attempts []*attempt) {
	for _, a := range attempts {
		if a.code == codeSuspect && !a.fatal {
			f.add("accused: %s at %s of %s was refused for the endpoints that it had crashed", a.id, f.at(a.sent), a.vm.name)
		}
	}
	var known time.Time
	crashes := f.w.audit.Crashes()
	if len(crashes) >= crashesKnown {
		known = crashes[crashesKnown-1].At.Add(contactTime)
	}
	late := 0
	for _, a := range f.w.audit.Arrivals() {
		if strings.HasPrefix(a.ID, "fatal-") && !known.IsZero() && a.At.After(known) {
			late++
		}
	}
	if late > maxAfterKnown {
		f.add("crash: a request that had crashed %d endpoints by %s reached endpoints %d times later, and crashed %d in all",
			crashesKnown, f.at(crashes[crashesKnown-1].At), late, len(crashes))
	}
}

// A request that crashes every endpoint that runs it is kept from endpoints once it has crashed three, on every
// route, through whichever VM it comes; other requests are not taken for it.
func TestRequestThatCrashesEndpointsIsStopped(t *testing.T) {
	for _, k := range kinds {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			broken, w, c := play(t, plan{seed: 1, vms: 4, callers: 6, calm: 2 * time.Second, fatal: &k, fatalFor: 11 * time.Second})
			t.Logf("%d endpoints crashed", len(w.audit.Crashes()))
			report(t, broken, w, c)
		})
	}
}
