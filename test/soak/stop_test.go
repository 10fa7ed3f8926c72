package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/platform/standin"
)

// clientOn returns a client that sends its first request on a connection to the VM that is open already.
func (v *vm) clientOn(t *testing.T) *http.Client {
	t.Helper()
	conn, err := net.Dial("tcp", v.callers)
	require.NoError(t, err)
	dial := func(context.Context, string, string) (net.Conn, error) { return conn, nil }
	return &http.Client{Transport: &http.Transport{DialContext: dial, DisableCompression: true}}
}

// Guards against requests that a planned stop leaves without an answer, in calm: those that an endpoint still works on at the end of
// the grace get an error, and those that come late in it, on connections that were opened in time, are not passed on.
func TestPlannedStopAnswersEveryRequest(t *testing.T) {
	w := newWorld(t, binary, 1, 2)
	w.operate(func(c *configuration) {
		long := route("long", "non_idempotent", serviceGroup, "/long/", 1)
		long["timeout_ms"] = 30_000
		c.Routes = append(c.Routes, long)
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for _, v := range w.vms {
		w.start(v)
		go w.balance(ctx, v)
	}
	w.awaitReady()
	for _, e := range w.endpoints {
		e.SetFaults(standin.EndpointFaults{NoResponse: 1})
	}
	c, v := newCallers(w), w.vms[0]
	begun := time.Now()
	ended := v.signal(syscall.SIGTERM)
	var calls sync.WaitGroup
	for _, plan := range []struct{ opened, sent time.Duration }{
		{0, 0},
		{500 * time.Millisecond, time.Second},
		{2 * time.Second, 2 * time.Second},
		{2 * time.Second, 3 * time.Second},
		{2200 * time.Millisecond, 4 * time.Second},
		{2300 * time.Millisecond, 5 * time.Second},
		{2300 * time.Millisecond, 6 * time.Second},
	} {
		calls.Go(func() {
			time.Sleep(time.Until(begun.Add(plan.opened)))
			client := v.clientOn(t)
			time.Sleep(time.Until(begun.Add(plan.sent)))
			c.send(ctx, client, &attempt{
				id: fmt.Sprint("stop-", plan.sent), kind: kind{name: "once", once: true, budget: 30 * time.Second}, account: "large",
				key: "key-large-0", vm: v, prefix: "/long/",
			}, false)
		})
	}
	calls.Wait()
	<-ended
	require.Less(t, time.Since(begun), grace)
	for _, a := range c.all() {
		runs := w.audit.Runs(a.id)
		sent := a.sent.Sub(begun).Round(100 * time.Millisecond)
		require.LessOrEqual(t, len(runs), 1, a.id)
		if len(runs) > 0 {
			require.Less(t, sent, 3*time.Second, "a request that comes late in the grace is not passed on")
			require.Equal(t, http.StatusGatewayTimeout, a.status, "answer of the request sent after %s that an endpoint works on: %v", sent, a.err)
		}
		if a.status != 0 {
			require.True(t, a.whole, a.id)
		}
		if a.promised() {
			require.Empty(t, runs, a.id)
			require.Positive(t, a.retryAfter, a.id)
		}
	}
	require.NotEmpty(t, w.audit.Runs("stop-0s"), "requests before the end of the balancer's delay are served")
	require.NotEmpty(t, w.audit.Runs("stop-2s"))
}
