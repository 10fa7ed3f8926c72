package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/platform/standin"
)

// sendTo sends a request straight to an endpoint, as no VM would.
func sendTo(t *testing.T, e *endpoint, path string, asked standin.Request, body string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+e.proxy.address()+path, bytes.NewBufferString(body))
	require.NoError(t, err)
	asked.SetHeaders(req.Header)
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
}

// sendFatalTo sends a request that crashes an endpoint straight to it.
func sendFatalTo(t *testing.T, e *endpoint, id string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+e.proxy.address()+oncePrefix, bytes.NewBufferString(fatalMark))
	require.NoError(t, err)
	standin.Request{ID: id, Account: "large", Timeout: 100 * time.Millisecond}.SetHeaders(req.Header)
	res, err := http.DefaultClient.Do(req)
	if err == nil {
		_ = res.Body.Close()
	}
	require.Error(t, err)
}

// Each check finds the promise that it is for when it is broken.
func TestChecksFindBrokenPromises(t *testing.T) {
	w := newWorld(t, binary, 1, 1)
	c, ch := newCallers(w), newChanges()
	service, engine := w.alive(serviceGroup)[0], w.alive(engineGroup)[0]
	long := time.Now().Add(-time.Minute)
	add := func(id string, k kind, change func(*attempt)) *attempt {
		a := &attempt{id: id, kind: k, account: "large", key: "key-large-0", vm: w.vms[0], prefix: k.prefix, sent: time.Now(), ended: time.Now(), status: 200, whole: true}
		a.body, a.signature = a.expected(), ""
		if change != nil {
			change(a)
		}
		c.attempts = append(c.attempts, a)
		return a
	}
	runFor := func(id, account, key string) {
		sendTo(t, service, oncePrefix, standin.Request{ID: id, Account: account, Key: key, Timeout: 100 * time.Millisecond}, "")
	}
	run := func(id string) { runFor(id, "large", "") }
	once := kinds[2]

	add("mixed", once, nil)
	add("short", once, func(a *attempt) { a.body = a.body[:5] })
	add("joined", once, func(a *attempt) { a.body, a.whole = []byte("other"), false })
	add("twice", once, nil)
	run("twice")
	run("twice")
	add("refused", once, func(a *attempt) { a.status = 503 })
	run("refused")
	add("account", once, nil)
	runFor("account", "small", "")
	runFor("keyed", "large", "secret")
	ch.withdrawn["old"] = long
	add("key", once, func(a *attempt) { a.key = "old" })
	run("key")
	add("lost", once, func(a *attempt) { a.status, a.whole = 0, false })
	run("lost")
	add("missing", once, func(a *attempt) { a.status = 404 })
	ch.added = append(ch.added, addedRoute{"/added1/", long})
	add("late", once, func(a *attempt) { a.status, a.prefix = 404, "/added1/" })
	for i := range 40 {
		id := fmt.Sprint("small", i)
		add(id, kind{name: "once", once: true, tokens: 110, prefix: oncePrefix}, func(a *attempt) { a.account = "small" })
		runFor(id, "small", "")
	}
	for range 80 {
		run("again")
	}
	order := func(adapter, holder string, number uint64, expected *int64) {
		body, err := standin.LoadBody(modelName, adapter, holder, number, expected)
		require.NoError(t, err)
		sendTo(t, engine, "/order", standin.Request{}, body)
	}
	none := int64(0)
	order("a1", "vm-1", 5, &none)
	order("a1", "vm-2", 5, &none)
	order("a1", "vm-1", 4, &none)
	for i := range places + 1 {
		order(fmt.Sprint("x", i), "vm-1", 9, nil)
	}
	time.Sleep(2 * loadTime)
	ch.versions["a1"] = []named{{version: 2, at: long}}
	add("old", kinds[0], func(a *attempt) { a.adapter = "a1" })
	sendTo(t, engine, streamPrefix, standin.Request{
		ID: "old", Account: "large", Timeout: 900 * time.Millisecond, Model: modelName, Adapter: "a1",
	}, "")
	service.Drain()
	time.Sleep(drainTime + 100*time.Millisecond)
	run("drained")

	add("accused", once, func(a *attempt) { a.status, a.code = 503, codeSuspect })
	for i := range crashesKnown + maxAfterKnown + 1 {
		victim := w.addEndpoint(serviceGroup)
		if i == crashesKnown {
			time.Sleep(contactTime + 100*time.Millisecond)
		}
		sendFatalTo(t, victim, fmt.Sprint("fatal-", i))
	}

	quiet := w.addEndpoint(serviceGroup)
	quiet.SignalLeaving()
	for i, sent := range []time.Time{long, time.Now()} {
		id := fmt.Sprint("after", i)
		a := add(id, once, func(a *attempt) { a.sent, a.ended = sent, sent })
		a.signature = standin.Signature(a.expected())
		sendTo(t, quiet, oncePrefix, standin.Request{ID: id, Account: "large", Timeout: 100 * time.Millisecond}, "")
	}
	shedding := w.addEndpoint(serviceGroup)
	shedding.SetFaults(standin.EndpointFaults{Rejected: 1, RetryAfter: time.Minute})
	for i := range maxInPause + 2 {
		id := fmt.Sprint("paused", i)
		add(id, once, func(a *attempt) { a.status, a.whole, a.body = 503, false, nil })
		sendTo(t, shedding, oncePrefix, standin.Request{ID: id, Account: "large", Timeout: 100 * time.Millisecond}, "")
		time.Sleep(pauseSlack + 10*time.Millisecond)
	}
	add("junk", once, func(a *attempt) { a.status, a.body = 502, []byte(standin.Junk) })

	found := check(w, c, ch)
	for _, want := range []string{
		"mixed: mixed got the signature", "mixed: short got 5 bytes", "order: joined got", "twice: twice ran 2", "refused: refused was answered 503",
		`unasked: account of large ran for "small"`, "received X-Key in request keyed", "key: key ran", "lost: lost",
		"denied: missing got 404", "config: late got 404", "quota: small used", "budget: ", "of both vm-2 and vm-1",
		"got number 4 of vm-1 after 5", "in turn within", "was ordered to hold", "version: old began on a1@1", "drain: drained reached",
		"leaving: after1 reached", "pause: 3 requests reached", "junk: junk got",
		"accused: accused at", "crash: a request that had crashed 3",
	} {
		require.True(t, strings.Contains(strings.Join(found, "\n"), want), "%q is not found in:\n%s", want, strings.Join(found, "\n"))
	}
}
