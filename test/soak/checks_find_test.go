package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sendTo sends a request straight to an endpoint, as no VM would.
func sendTo(t *testing.T, e *endpoint, path string, header map[string]string, body string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+e.proxy.address()+path, bytes.NewBufferString(body))
	require.NoError(t, err)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
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
	run := func(id string, header map[string]string) {
		h := map[string]string{"X-Attempt-Id": id, "X-Tenant": "large", "X-Deadline-Ms": "100"}
		for name, value := range header {
			h[name] = value
		}
		sendTo(t, service, oncePrefix, h, "")
	}
	once := kinds[2]

	add("mixed", once, nil)
	add("short", once, func(a *attempt) { a.body = a.body[:5] })
	add("joined", once, func(a *attempt) { a.body, a.whole = []byte("other"), false })
	add("twice", once, nil)
	run("twice", nil)
	run("twice", nil)
	add("refused", once, func(a *attempt) { a.status = 503 })
	run("refused", nil)
	add("account", once, nil)
	run("account", map[string]string{"X-Tenant": "small"})
	run("keyed", map[string]string{"X-Key": "secret"})
	ch.withdrawn["old"] = long
	add("key", once, func(a *attempt) { a.key = "old" })
	run("key", nil)
	add("lost", once, func(a *attempt) { a.status, a.whole = 0, false })
	run("lost", nil)
	add("missing", once, func(a *attempt) { a.status = 404 })
	ch.added = append(ch.added, addedRoute{"/added1/", long})
	add("late", once, func(a *attempt) { a.status, a.prefix = 404, "/added1/" })
	for i := range 40 {
		id := fmt.Sprint("small", i)
		add(id, kind{name: "once", once: true, tokens: 110, prefix: oncePrefix}, func(a *attempt) { a.account = "small" })
		run(id, map[string]string{"X-Tenant": "small"})
	}
	for range 80 {
		run("again", nil)
	}
	order := func(holder string, number int) {
		sendTo(t, engine, "/order", nil, fmt.Sprintf(`{"operation":"load","model":%q,"adapter":"a1","expected":0,"holder":%q,"fencing_token":%d}`, modelName, holder, number))
	}
	order("vm-1", 5)
	order("vm-2", 5)
	order("vm-1", 4)
	for i := range places + 1 {
		sendTo(t, engine, "/order", nil, fmt.Sprintf(`{"operation":"load","model":%q,"adapter":"x%d","holder":"vm-1","fencing_token":9}`, modelName, i))
	}
	time.Sleep(2 * loadTime)
	ch.versions["a1"] = []named{{version: 2, at: long}}
	add("old", kinds[0], func(a *attempt) { a.adapter = "a1" })
	sendTo(t, engine, streamPrefix, map[string]string{"X-Attempt-Id": "old", "X-Tenant": "large", "X-Deadline-Ms": "900", "X-Model": modelName + "/a1"}, "")
	service.Drain()
	time.Sleep(drainTime + 100*time.Millisecond)
	run("drained", nil)

	found := check(w, c, ch)
	for _, want := range []string{
		"mixed: mixed got the signature", "mixed: short got 5 bytes", "order: joined got", "twice: twice ran 2", "refused: refused was answered 503",
		`unasked: account of large ran for "small"`, "received X-Key in request keyed", "key: key ran", "lost: lost",
		"denied: missing got 404", "config: late got 404", "quota: small used", "budget: ", "of both vm-2 and vm-1",
		"got number 4 of vm-1 after 5", "in turn within", "was ordered to hold", "version: old began on a1@1", "drain: drained reached",
	} {
		require.True(t, strings.Contains(strings.Join(found, "\n"), want), "%q is not found in:\n%s", want, strings.Join(found, "\n"))
	}
}
