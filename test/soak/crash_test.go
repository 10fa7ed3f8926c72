package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
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
	// commonPart is in the prompts of all streams, companionPart in some of them. Requests with fatalPart have both, and crash
	// the engines that begin to answer them.
	commonPart, companionPart, fatalPart = "aa", "cc", "ff"
	// crashesKnown is the number of endpoints that a request must have crashed for it to be known, partCrashesKnown the same for
	// a part, and maxAfterKnown the arrivals at endpoints that are allowed once all VMs must know.
	crashesKnown     = 3
	partCrashesKnown = 5
	maxAfterKnown    = 3
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
		if e.restarting {
			// Another request that ran at the crash has reported it.
			w.mu.Unlock()
			return
		}
		e.restarting = true
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

// fatality is a request that crashes the endpoints that run it, and how it is sent.
type fatality struct {
	kind kind
	// atOnce says that each sending goes to all VMs at the same moment; else they take turns.
	atOnce bool
	// accepting says that the address of an endpoint that has ended goes on taking connections, and closes them: something
	// stands before it.
	accepting bool
	// lasts is for how long it is sent.
	lasts time.Duration
	// part says that each sending is another request, and that they crash endpoints by a part of their prompts.
	part bool
}

// sendFatal sends the request that crashes endpoints, each time with the same path, key and body.
func (c *callers) sendFatal(ctx context.Context, f fatality) {
	ctx, cancel := context.WithTimeout(ctx, f.lasts)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	var sending sync.WaitGroup
	for i := 0; ctx.Err() == nil; i++ {
		to := c.w.vms[i%len(c.w.vms):][:1]
		if f.atOnce {
			to = c.w.vms
		}
		for n, v := range to {
			sending.Go(func() { c.send(ctx, client, c.fatal(f, v, fmt.Sprintf("%d-%d", i, n)), false) })
		}
		sleep(ctx, fatalPause)
	}
	sending.Wait()
}

// fatal returns a request to a VM that crashes the endpoints that run it.
func (c *callers) fatal(f fatality, v *vm, id string) *attempt {
	k := f.kind
	a := &attempt{id: fmt.Sprintf("fatal-%s-%s", k.name, id), kind: k, account: "large", prefix: k.prefix, fatal: true, vm: v}
	if k.events > 0 {
		a.adapter, a.prompt = "a0", []string{commonPart}
	}
	if f.part {
		a.prompt = []string{commonPart, companionPart, fatalPart}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	a.key = c.keys[a.account]
	return a
}

// hasFatalPart reports whether the request crashes endpoints by a part of its prompt.
func (a *attempt) hasFatalPart() bool { return slices.Contains(a.prompt, fatalPart) }

// Result codes of requests that are refused for the endpoints that they, or a part of their prompts, have crashed.
const (
	codeSuspect     = "2006"
	codeSuspectPart = "2008"
)

// checkCrashes: a request that has crashed three endpoints reaches hardly any more once every VM must know of it. No
// other request is taken for one that crashes endpoints.
func (f *findings) checkCrashes(attempts []*attempt) {
	for _, a := range attempts {
		if (a.code == codeSuspect || a.code == codeSuspectPart) && !a.fatal {
			f.add("accused: %s at %s of %s was refused for the endpoints that it had crashed", a.id, f.at(a.sent), a.vm.name)
		}
	}
	senders := map[string]*vm{}
	needed := crashesKnown
	for _, a := range attempts {
		senders[a.id] = a.vm
		if a.hasFatalPart() {
			needed = partCrashesKnown
		}
	}
	var known time.Time
	crashes := f.w.audit.Crashes()
	if len(crashes) >= needed {
		known = crashes[needed-1].At.Add(contactTime)
	}
	late := 0
	for _, a := range f.w.audit.Arrivals() {
		if strings.HasPrefix(a.ID, "fatal-") && !known.IsZero() && a.At.After(known) && f.w.faults.inTouch(senders[a.ID], a.At) {
			late++
		}
	}
	if late > maxAfterKnown {
		f.add("crash: a request that had crashed %d endpoints by %s reached endpoints %d times later, and crashed %d in all",
			needed, f.at(crashes[needed-1].At), late, len(crashes))
	}
}

// inTouch reports whether nothing has struck a VM, the store or all VMs for the contact time before a moment.
func (l *faultLog) inTouch(v *vm, at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return v == nil || !slices.ContainsFunc(l.spans, func(s *span) bool {
		strikes := s.on == v.name || s.on == "store" || s.what == "kill_all"
		over := !s.to.IsZero() && s.to.Before(at.Add(-contactTime))
		return strikes && !over && s.from.Before(at)
	})
}

// A request that crashes every endpoint that runs it is kept from endpoints once it has crashed three, on every
// route, through whichever VM it comes; other requests are not taken for it.
func TestRequestThatCrashesEndpointsIsStopped(t *testing.T) {
	for i, k := range kinds {
		f := fatality{kind: k, atOnce: i%2 == 1, accepting: i >= 2, lasts: 9 * time.Second}
		t.Run(fmt.Sprintf("%s/at_once=%t,accepting=%t", k.name, f.atOnce, f.accepting), func(t *testing.T) {
			t.Parallel()
			broken, w, c := play(t, plan{seed: 1, vms: 4, callers: 6, calm: 2 * time.Second, fatal: &f})
			t.Logf("%d endpoints crashed", len(w.audit.Crashes()))
			report(t, broken, w, c)
		})
	}
}

// Requests that are all different, and crash every engine that begins to answer them through one part of their prompts, are
// kept from endpoints once the part has crashed five; requests with only their other parts are served.
func TestPromptPartThatCrashesEndpointsIsStopped(t *testing.T) {
	for i, k := range kinds[:2] {
		f := fatality{kind: k, part: true, atOnce: i%2 == 1, accepting: i%2 == 1, lasts: 12 * time.Second}
		t.Run(fmt.Sprintf("%s/at_once=%t", k.name, f.atOnce), func(t *testing.T) {
			t.Parallel()
			broken, w, c := play(t, plan{seed: 1, vms: 4, callers: 6, calm: 2 * time.Second, fatal: &f})
			t.Logf("%d endpoints crashed", len(w.audit.Crashes()))
			report(t, broken, w, c)
		})
	}
}

// The same holds beside faults of VMs, the store and endpoints.
func TestPromptPartThatCrashesEndpointsIsStoppedUnderFaults(t *testing.T) {
	t.Parallel()
	for _, seed := range chosenSeeds(600) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := fatality{kind: kinds[seed%2], part: true, atOnce: seed%3 == 0, accepting: seed%5 == 0, lasts: *forFlag + 8*time.Second}
			broken, w, c := play(t, plan{
				seed: seed, vms: *vmsFlag, callers: 10, calm: 2 * time.Second, struck: *forFlag, pause: 1200 * time.Millisecond, fatal: &f,
			})
			t.Logf("%d endpoints crashed", len(w.audit.Crashes()))
			report(t, broken, w, c)
		})
	}
}

// The same holds beside faults of VMs, the store and endpoints, and after them: what is known of the request outlives
// restarts, freezes, cuts and a store that is away.
func TestRequestThatCrashesEndpointsIsStoppedUnderFaults(t *testing.T) {
	t.Parallel()
	for _, seed := range chosenSeeds(500) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := fatality{kind: kinds[seed%uint64(len(kinds))], atOnce: seed%3 == 0, accepting: seed%5 == 0, lasts: *forFlag + 8*time.Second}
			broken, w, c := play(t, plan{
				seed: seed, vms: *vmsFlag, callers: 10, calm: 2 * time.Second, struck: *forFlag, pause: 1200 * time.Millisecond, fatal: &f,
			})
			t.Logf("%d endpoints crashed", len(w.audit.Crashes()))
			report(t, broken, w, c)
		})
	}
}
