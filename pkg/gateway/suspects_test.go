package gateway

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/retry"
	"github.com/mallowlink/mallowlink/pkg/roster"
	"github.com/mallowlink/mallowlink/pkg/suspect"
)

// The log must show which requests met ended connections: equal requests of one account have the same
// fingerprint, others do not.
func TestEndedConnectionsAreLoggedWithFingerprint(t *testing.T) {
	b := newTestbed(t, drop)
	b.do("/unsafe/x", nil, "same")
	b.do("/unsafe/x", map[string]string{"Id": "r2"}, "same")
	b.do("/unsafe/x", nil, "other")
	var fingerprints []any
	for _, line := range b.logHook.AllEntries() {
		if line.Data["event"] == "attempt_ended" {
			fingerprints = append(fingerprints, line.Data["fingerprint"])
		}
	}
	require.Len(t, fingerprints, 3)
	require.NotEmpty(t, fingerprints[0])
	require.Equal(t, fingerprints[0], fingerprints[1])
	require.NotEqual(t, fingerprints[0], fingerprints[2])
}

// The log must show the parts that a request with an ended connection may share with others, and whether the endpoint had
// begun to respond.
func TestEndedConnectionsAreLoggedWithSharedParts(t *testing.T) {
	begin := func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		drop(w, r)
	}
	b := newTestbed(t, begin)
	b.do("/stream/x", map[string]string{"Parts": "first,second,own"}, "body")
	b.do("/stream/x", map[string]string{"Parts": "own"}, "body")
	var parts, begun []any
	for _, line := range b.logHook.AllEntries() {
		if line.Data["event"] == "attempt_ended" {
			parts, begun = append(parts, line.Data["parts"]), append(begun, line.Data["begun"])
		}
	}
	require.Equal(t, []any{"first,second", ""}, parts)
	require.Equal(t, []any{true, true}, begun)
}

// unknownProber is a prober whose endpoints never respond.
type unknownProber struct{}

func (unknownProber) Probe(context.Context, roster.Endpoint) suspect.Liveness { return suspect.Unknown }

// Probe implements suspect.Prober.
func (b *testbed) Probe(ctx context.Context, e roster.Endpoint) suspect.Liveness {
	return b.prober.Probe(ctx, e)
}

// endedProber is a prober whose endpoints have all terminated.
type endedProber struct{}

func (endedProber) Probe(context.Context, roster.Endpoint) suspect.Liveness {
	return suspect.Terminated
}

// suspects returns a detector of requests that crash endpoints, for the gateway under test.
func (b *testbed) suspects() *suspect.Detector {
	log, _ := test.NewNullLogger()
	return suspect.NewDetector(b.t.Context(), suspect.DetectorConfig{
		Table: b.suspectTable, Parts: b.partTable, Prober: b, Listed: func(roster.Endpoint) suspect.Listing { return suspect.Current },
		OnChange: func() {}, Metrics: metrics.NewRegistry(), Log: log,
	})
}

// A request under which three endpoints have ended must reach no fourth one, whether it is sent with a length
// or in chunks. Other requests must.
func TestRequestThatCrashesEndpointsIsRefused(t *testing.T) {
	b := newTestbed(t, drop, drop, drop, drop, drop)
	require.Equal(t, 502, b.do("/safe/x", nil, "fatal").status)
	require.Equal(t, 2, b.arrivals(), "the route allows two attempts")
	b.dispatcher.endpoints = b.dispatcher.endpoints[2:]
	a := b.do("/safe/x", nil, "fatal")
	require.Equal(t, 502, a.status, "the request may have run")
	require.Equal(t, 3, b.arrivals())
	for _, send := range []func() callerResponse{
		func() callerResponse { return b.do("/safe/x", nil, "fatal") },
		func() callerResponse { return b.doChunked("/safe/x", "fatal") },
	} {
		a = send()
		require.Equal(t, 503, a.status)
		require.Equal(t, strconv.Itoa(int(result.Suspect)), a.header.Get(headerCode))
		require.Equal(t, string(result.NotRun), a.header.Get(headerOutcome))
		require.NotEmpty(t, a.header.Get("Retry-After"))
	}
	require.Equal(t, 3, b.arrivals())
	b.dispatcher.endpoints = b.dispatcher.endpoints[1:]
	b.do("/unsafe/x", nil, "other")
	require.Equal(t, 4, b.arrivals())
	require.EqualValues(t, 1000-3*7, b.quota.balance, "the tokens of refused requests are given back")
}

// A request that got a complete response is not suspected of crashing endpoints, however many end while it
// runs.
func TestServedRequestIsNotSuspect(t *testing.T) {
	b := newTestbed(t, drop, respondWith("whole"))
	b.retries = retry.NewWindow(10*time.Second, 0, func() float64 { return 20 })
	for range 10 {
		require.Equal(t, "whole", b.do("/safe/x", nil, "same").body)
		b.dispatcher.endpoints[0].Started++
	}
}

// Guards against a request that crashes endpoints and goes on to be sent because one endpoint has failed it instead: a status 500
// neither clears the crashes before it, nor makes the ones after it a coincidence.
func TestFailureDoesNotClearARequestThatCrashesEndpoints(t *testing.T) {
	failing := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	b := newTestbed(t, failing, drop, failing, drop, drop, drop)
	b.prober = endedProber{}
	for range 5 {
		b.do("/unsafe/x", nil, "fatal")
		b.dispatcher.endpoints = b.dispatcher.endpoints[1:]
	}
	require.Equal(t, 5, b.arrivals())
	a := b.do("/unsafe/x", nil, "fatal")
	require.Equal(t, strconv.Itoa(int(result.Suspect)), a.header.Get(headerCode))
	require.Equal(t, 5, b.arrivals())
}

// A suspect that finds other suspects at every endpoint does not wait long.
func TestSuspectDoesNotWaitForOthers(t *testing.T) {
	b := newTestbed(t, respondWith("whole"))
	other, own := uint64(1), suspect.Fingerprint("acme", suspect.Hash(http.MethodPost, "/safe/x", []byte("body")))
	b.suspectTable.AddReportedCrash(time.Now(), "acme", other, "e9/1")
	b.suspectTable.AddReportedCrash(time.Now(), "acme", own, "e9/1")
	require.True(t, b.suspectTable.Started(time.Now(), other, "e0"))
	require.Equal(t, "whole", b.do("/safe/x", nil, "body").body)
	require.Len(t, b.suspectTable.Reports(time.Now()), 2, "the crash held against the other request, and that this one was served")
	decision, _ := b.suspectTable.Admit(time.Now(), own)
	require.Equal(t, suspect.Allow, decision)
}
