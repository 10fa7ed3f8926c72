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

// The log shows that equal requests of one account, and no others, have met ends of connections.
func TestEndedConnectionsAreLoggedWithTheRequestsFingerprint(t *testing.T) {
	b := newBench(t, drop)
	b.do("/unsafe/x", nil, "same")
	b.do("/unsafe/x", map[string]string{"Id": "r2"}, "same")
	b.do("/unsafe/x", nil, "other")
	var prints []any
	for _, line := range b.lines.AllEntries() {
		if line.Data["event"] == "attempt_ended" {
			prints = append(prints, line.Data["fingerprint"])
		}
	}
	require.Len(t, prints, 3)
	require.NotEmpty(t, prints[0])
	require.Equal(t, prints[0], prints[1])
	require.NotEqual(t, prints[0], prints[2])
}

// unanswering is a prober of endpoints that never answer it.
type unanswering struct{}

func (unanswering) Probe(context.Context, roster.Endpoint) suspect.Life { return suspect.Unknown }

// suspects returns the gateway's watch over requests that crash endpoints.
func (b *bench) suspects() *suspect.Watch {
	log, _ := test.NewNullLogger()
	return suspect.NewWatch(b.t.Context(), suspect.WatchConfig{
		Table: b.table, Prober: unanswering{}, Listed: func(roster.Endpoint) suspect.Listing { return suspect.Current },
		Told: func() {}, Metrics: metrics.NewRegistry(), Log: log,
	})
}

// A request under which three endpoints have ended reaches no fourth one, whether it comes with a length or in chunks;
// others do.
func TestARequestThatEndsEndpointsIsRefused(t *testing.T) {
	b := newBench(t, drop, drop, drop, drop, drop)
	require.Equal(t, 502, b.do("/safe/x", nil, "fatal").status)
	require.Equal(t, 2, b.arrivals(), "its route allows two attempts")
	b.places.endpoints = b.places.endpoints[2:]
	a := b.do("/safe/x", nil, "fatal")
	require.Equal(t, 502, a.status, "it may have run")
	require.Equal(t, 3, b.arrivals())
	for _, send := range []func() got{
		func() got { return b.do("/safe/x", nil, "fatal") },
		func() got { return b.doChunked("/safe/x", "fatal") },
	} {
		a = send()
		require.Equal(t, 503, a.status)
		require.Equal(t, strconv.Itoa(int(result.Suspect)), a.header.Get(headerCode))
		require.Equal(t, string(result.NotRun), a.header.Get(headerOutcome))
		require.NotEmpty(t, a.header.Get("Retry-After"))
	}
	require.Equal(t, 3, b.arrivals())
	b.places.endpoints = b.places.endpoints[1:]
	b.do("/unsafe/x", nil, "other")
	require.Equal(t, 4, b.arrivals())
	require.EqualValues(t, 1000-3*7, b.quota.left, "what was refused is given back")
}

// A request that was answered whole is not taken for one that ends endpoints, however many end under it.
func TestAnAnsweredRequestIsNoSuspect(t *testing.T) {
	b := newBench(t, drop, say("whole"))
	b.retries = retry.NewWindow(10*time.Second, 0, func() float64 { return 20 })
	for range 10 {
		require.Equal(t, "whole", b.do("/safe/x", nil, "same").body)
		b.places.endpoints[0].Started++
	}
}

// A suspect that finds other suspects at every endpoint does not wait for long.
func TestASuspectDoesNotWaitForOthers(t *testing.T) {
	b := newBench(t, say("whole"))
	other, own := uint64(1), suspect.Fingerprint("acme", suspect.Hash(http.MethodPost, "/safe/x", []byte("body")))
	b.table.Accuse(time.Now(), "acme", other, "e9/1")
	b.table.Accuse(time.Now(), "acme", own, "e9/1")
	require.True(t, b.table.Started(time.Now(), other, "e0"))
	require.Equal(t, "whole", b.do("/safe/x", nil, "body").body)
	require.Len(t, b.table.Notices(time.Now()), 2, "one crash of the other, and that this one was answered whole")
	decision, _ := b.table.Admit(time.Now(), own)
	require.Equal(t, suspect.Allow, decision)
}
