package rest_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/endpoint"
	"github.com/mallowlink/mallowlink/pkg/endpoint/rest"
	"github.com/mallowlink/mallowlink/pkg/endpoint/rest/wire"
	"github.com/mallowlink/mallowlink/pkg/standin/engine"
	"github.com/mallowlink/mallowlink/pkg/standin/fault"
	"github.com/mallowlink/mallowlink/pkg/standin/service"
	"github.com/mallowlink/mallowlink/pkg/standin/weights"
)

var (
	order = endpoint.Order{Holder: "vm1", Fencing: 5}
	a1    = endpoint.AdapterVersion{Adapter: "a", Version: "1"}
	b1    = endpoint.AdapterVersion{Adapter: "b", Version: "1"}
)

// serve starts a server for the handler and returns its URL.
func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.URL
}

// newEngine starts a stand-in engine with adapter version a1 loaded, and returns it with a client of it.
func newEngine(t *testing.T, opts engine.Options) (*engine.Server, *rest.Engine) {
	t.Helper()
	if opts.TokenInterval == 0 {
		opts.TokenInterval = time.Millisecond
	}
	server := engine.New(opts)
	client := rest.NewEngine(serve(t, server), rest.Options{RequireRequestID: true})
	require.NoError(t, client.Load(t.Context(), order, a1))
	return server, client
}

// completion returns a request for a completion of the given number of tokens by a1.
func completion(id string, stream bool, tokens int) endpoint.Request {
	body := fmt.Sprintf(`{"model":"a:1","prompt":"p %s","max_tokens":%d,"stream":%v}`, id, tokens, stream)
	return endpoint.Request{
		ID: id, Method: http.MethodPost, Path: wire.CompletionsPath, Body: []byte(body), Stream: stream,
		Header: http.Header{"Content-Type": {"application/json"}},
	}
}

// readPieces reads a response to its end and returns the number of its pieces.
func readPieces(response endpoint.Response) (int, error) {
	defer response.Close()
	for n := 0; ; n++ {
		if _, err := response.Next(); err == io.EOF {
			return n, nil
		} else if err != nil {
			return n, err
		}
	}
}

// do sends the request and reads the response to its end.
func do(t *testing.T, s endpoint.Service, req endpoint.Request) (int, error) {
	t.Helper()
	response, err := s.Do(t.Context(), req)
	if err != nil {
		return 0, err
	}
	return readPieces(response)
}

// TestLoadAndUnload checks the error of each order that the engine refuses: load failed, no slot, old
// fencing number, and adapter in use. A cancelled stream ends with ErrTruncated.
func TestLoadAndUnload(t *testing.T) {
	server, client := newEngine(t, engine.Options{Slots: 2, TokenInterval: 20 * time.Millisecond})
	ctx := t.Context()
	_, err := do(t, client, endpoint.Request{
		ID: "r", Method: http.MethodPost, Path: wire.ChatPath, Body: []byte(`{"model":"b:1"}`),
	})
	require.ErrorIs(t, err, endpoint.ErrNotLoaded)
	require.NoError(t, server.Faults.Put(fault.Fault{Kind: fault.FailLoads, Count: 1, Marker: "b:1"}))
	require.ErrorIs(t, client.Load(ctx, order, b1), endpoint.ErrLoadFailed)
	require.NoError(t, client.Load(ctx, order, b1))
	c1 := endpoint.AdapterVersion{Adapter: "c", Version: "1"}
	require.ErrorIs(t, client.Load(ctx, order, c1), endpoint.ErrNoSlot)

	old := endpoint.Order{Holder: "vm0", Fencing: 4}
	require.ErrorIs(t, client.Unload(ctx, old, b1), endpoint.ErrFenced)
	require.ErrorIs(t, client.SetRole(ctx, old, endpoint.RoleStandby), endpoint.ErrFenced)
	require.ErrorIs(t, client.ImportKV(ctx, old, 0, []byte(`{"prefix":"0"}`)), endpoint.ErrFenced)
	require.NoError(t, server.Faults.Put(fault.Fault{Kind: fault.IgnoreFencing}))
	require.NoError(t, client.Unload(ctx, old, b1))

	response, err := client.Do(ctx, completion("r1", true, 1000))
	require.NoError(t, err)
	defer response.Close()
	require.ErrorIs(t, client.Unload(ctx, order, a1), endpoint.ErrInUse)
	report, err := client.Report(ctx)
	require.NoError(t, err)
	require.Equal(t, []endpoint.LoadedAdapter{{AdapterVersion: a1, Running: 1}}, report.Loaded)
	require.NoError(t, client.Cancel(ctx, "r1"))
	_, err = readPieces(response)
	require.ErrorIs(t, err, endpoint.ErrTruncated)
	require.NoError(t, client.Cancel(ctx, "unknown"))
	require.Eventually(t, func() bool { return client.Unload(ctx, order, a1) == nil }, time.Second, time.Millisecond)
	require.NoError(t, client.SetRole(ctx, order, endpoint.RoleStandby))
}

// TestResume continues a cut stream. No event may be missing or come twice, and the request runs only once.
func TestResume(t *testing.T) {
	server, client := newEngine(t, engine.Options{})
	require.NoError(t, server.Faults.Put(fault.Fault{Kind: fault.CutStream, Count: 1, Events: 3}))
	n, err := do(t, client, completion("r1", true, 8))
	require.ErrorIs(t, err, endpoint.ErrTruncated)
	require.Equal(t, 3, n)
	response, err := client.Resume(t.Context(), "r1", 3)
	require.NoError(t, err)
	n, err = readPieces(response)
	require.NoError(t, err)
	require.Equal(t, 8+1-3, n) // the tokens and the event with the finish reason
	require.Len(t, server.Ran(), 1)
	_, err = client.Resume(t.Context(), "r2", 0)
	require.ErrorIs(t, err, endpoint.ErrNotFound)
}

// TestRestart crashes the engine with one request while another one is running. Both are cut, the
// incarnation changes, and the restarted engine knows neither its adapters nor the old requests.
func TestRestart(t *testing.T) {
	server, client := newEngine(t, engine.Options{})
	before, err := client.Report(t.Context())
	require.NoError(t, err)
	require.NoError(t, server.Faults.Put(fault.Fault{Kind: fault.Crash, Marker: "poison"}))
	response, err := client.Do(t.Context(), completion("neighbour", true, 100_000))
	require.NoError(t, err)
	_, err = do(t, client, completion("poison", false, 8))
	require.ErrorIs(t, err, endpoint.ErrTruncated)
	_, err = readPieces(response)
	require.ErrorIs(t, err, endpoint.ErrTruncated)
	after, err := client.Report(t.Context())
	require.NoError(t, err)
	require.NotEqual(t, before.Incarnation, after.Incarnation)
	require.Empty(t, after.Loaded)
	_, err = do(t, client, completion("r", false, 8))
	require.ErrorIs(t, err, endpoint.ErrNotLoaded)
	_, err = client.Resume(t.Context(), "neighbour", 0)
	require.ErrorIs(t, err, endpoint.ErrNotFound)
}

// TestWeightsFromStore checks that a load reads the weights from the store, and fails while the store
// is down.
func TestWeightsFromStore(t *testing.T) {
	store := weights.New(weights.Options{TransferTime: time.Millisecond})
	_, client := newEngine(t, engine.Options{WeightsURL: serve(t, store)})
	require.EqualValues(t, 1, store.Stats().Transfers)
	require.NoError(t, store.Faults.Put(fault.Fault{Kind: fault.Outage}))
	require.ErrorIs(t, client.Load(t.Context(), order, b1), endpoint.ErrLoadFailed)
}

// TestCacheEventsAndKV checks that a gap in the event numbers is accepted and that a KV cache which
// one engine exports can be imported by another.
func TestCacheEventsAndKV(t *testing.T) {
	server, client := newEngine(t, engine.Options{CachePrefixes: 1})
	ctx := t.Context()
	for i := range 3 {
		if i == 1 {
			require.NoError(t, server.Faults.Put(fault.Fault{Kind: fault.EventGap, Count: 1}))
		}
		_, err := do(t, client, completion(fmt.Sprint(i), false, 1))
		require.NoError(t, err)
	}
	events, err := client.CacheEvents(ctx, 0)
	require.NoError(t, err)
	var seqs []uint64
	for _, event := range events {
		seqs = append(seqs, event.Seq)
	}
	require.Equal(t, []uint64{1, 3, 4, 5}, seqs)
	last := events[2]
	require.True(t, last.Stored)
	require.Equal(t, engine.PrefixHash(`"p 2"`, engine.DefaultPrefixBytes), last.Prefix)
	data, err := client.ExportKV(ctx, last.Prefix)
	require.NoError(t, err)
	_, other := newEngine(t, engine.Options{})
	require.NoError(t, other.ImportKV(ctx, order, last.Prefix, data))
	again, err := other.ExportKV(ctx, last.Prefix)
	require.NoError(t, err)
	require.Equal(t, data, again)
	_, err = other.ExportKV(ctx, 1)
	require.ErrorIs(t, err, endpoint.ErrNotFound)
}

// TestReportLag checks that a client returns an outdated report as the engine sent it.
func TestReportLag(t *testing.T) {
	server, client := newEngine(t, engine.Options{})
	require.NoError(t, server.Faults.Put(fault.Fault{Kind: fault.ReportLag, DelayMS: 60_000}))
	require.NoError(t, client.Load(t.Context(), order, b1))
	require.NoError(t, client.SetRole(t.Context(), order, endpoint.RolePrefill))
	report, err := client.Report(t.Context())
	require.NoError(t, err)
	require.Equal(t, endpoint.RoleServe, report.Role)
}

// TestSwappedAndDuplicateResponses checks that a response with the identifier of another request is
// refused: first for two responses that the engine swaps, then for one that it sends twice on a kept
// connection.
func TestSwappedAndDuplicateResponses(t *testing.T) {
	server, client := newEngine(t, engine.Options{})
	require.NoError(t, server.Faults.Put(fault.Fault{Kind: fault.SwapAnswers, Count: 1}))
	failed := make(chan error, 2)
	for _, id := range []string{"x", "y"} {
		go func() {
			_, err := client.Do(t.Context(), completion(id, false, 2))
			failed <- err
		}()
	}
	require.ErrorIs(t, <-failed, endpoint.ErrMismatch)
	require.ErrorIs(t, <-failed, endpoint.ErrMismatch)

	client.CloseIdle()
	require.NoError(t, server.Faults.Put(fault.Fault{Kind: fault.DuplicateAnswer, Count: 1}))
	_, err := do(t, client, completion("x", false, 2))
	require.NoError(t, err)
	_, err = do(t, client, completion("y", false, 2))
	require.ErrorIs(t, err, endpoint.ErrMismatch)
}

// TestQueueOrderedByPriority checks that the priority reaches the engine: of two waiting requests the
// one with the lower number runs first, although it came last.
func TestQueueOrderedByPriority(t *testing.T) {
	server, client := newEngine(t, engine.Options{MaxRunning: 1, TokenInterval: 5 * time.Millisecond})
	done := make(chan error, 3)
	for i, priority := range []int{0, 9, 1} {
		req := completion(fmt.Sprint("p", priority), false, 20)
		req.Priority = priority
		go func() {
			_, err := do(t, client, req)
			done <- err
		}()
		require.Eventually(t, func() bool {
			report, err := client.Report(t.Context())
			return err == nil && report.Running+report.Waiting == i+1
		}, time.Second, time.Millisecond)
	}
	for range 3 {
		require.NoError(t, <-done)
	}
	var ids []string
	for _, run := range server.Ran() {
		ids = append(ids, run.RequestID)
	}
	require.Equal(t, []string{"p0", "p1", "p9"}, ids)
}

// TestServiceCallRunsOnce checks that a POST whose response is lost fails with ErrTruncated and is not sent
// again by the HTTP client: it has run once.
func TestServiceCallRunsOnce(t *testing.T) {
	server := service.New(service.Options{})
	client := rest.NewService(serve(t, server), rest.Options{})
	req := endpoint.Request{
		ID: "r1", Method: http.MethodPost, Path: service.IssuesPath, Body: []byte(`{"tag":"t1","to":"k"}`),
		Header: http.Header{"Idempotency-Key": {"key-1"}},
	}
	require.NoError(t, server.Faults.Put(fault.Fault{Kind: fault.LostReply, Count: 1}))
	_, err := do(t, client, req)
	require.ErrorIs(t, err, endpoint.ErrTruncated)
	require.Len(t, server.Ran(), 1)
	require.Equal(t, "key-1", server.Ran()[0].Header.Get("Idempotency-Key"))

	require.NoError(t, server.Faults.Put(fault.Fault{Kind: fault.Outage, Count: 1}))
	_, err = do(t, client, req)
	require.ErrorIs(t, err, endpoint.ErrBusy)
	require.Len(t, server.Ran(), 1)
	response, err := client.Do(t.Context(), endpoint.Request{ID: "r2", Method: http.MethodGet, Path: "/assets/t1?x=1"})
	require.NoError(t, err)
	defer response.Close()
	piece, err := response.Next()
	require.NoError(t, err)
	require.Equal(t, 1, strings.Count(string(piece), `"issues-1"`))
}
