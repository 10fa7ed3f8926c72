package rest_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/mallowlink/mallowlink/pkg/platform"
	"github.com/mallowlink/mallowlink/pkg/platform/rest"
	"github.com/mallowlink/mallowlink/pkg/standin/fault"
	"github.com/mallowlink/mallowlink/pkg/standin/object"
	"github.com/mallowlink/mallowlink/pkg/standin/table"
	"github.com/mallowlink/mallowlink/pkg/standin/vmlist"
)

// serve starts an HTTP server for the handler and returns its URL.
func serve(t testing.TB, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

// The client over HTTP must return the same rows, versions and errors as the in-memory table called
// directly.
func TestTableOverHTTP(t *testing.T) {
	remote := rest.NewTable(serve(t, table.New()), rest.Options{})
	inMemory := table.New()
	keys := rapid.SampledFrom([]string{"a/1", "a/2", "b?&=%", "a"})
	rapid.Check(t, func(t *rapid.T) {
		ctx := t.Context()
		for range rapid.IntRange(1, 5).Draw(t, "steps") {
			key := keys.Draw(t, "key")
			want, wantErr := inMemory.Get(ctx, key)
			got, err := remote.Get(ctx, key)
			require.Equal(t, want, got)
			require.ErrorIs(t, err, errorOf(wantErr))
			txn := platform.Txn{
				Attempt:    rapid.StringMatching("[a-z]{4}").Draw(t, "attempt"),
				Conditions: []platform.Condition{{Key: key, Version: want.Version + rapid.Uint64Range(0, 1).Draw(t, "off")}},
				Writes: []platform.Write{{
					Key:    key,
					Value:  rapid.SliceOfN(rapid.Byte(), 1, 9).Draw(t, "value"),
					Delete: rapid.Bool().Draw(t, "delete"),
				}},
			}
			wantVersion, wantErr := inMemory.Commit(ctx, txn)
			version, err := remote.Commit(ctx, txn)
			require.Equal(t, wantVersion, version)
			require.ErrorIs(t, err, errorOf(wantErr))
		}
		want, _ := inMemory.List(ctx, "a/")
		got, err := remote.List(ctx, "a/")
		require.NoError(t, err)
		require.Equal(t, want, got)
	})
}

// errorOf returns platform.ErrNotFound or platform.ErrConflict if err wraps it, else err.
func errorOf(err error) error {
	for _, kind := range []error{platform.ErrNotFound, platform.ErrConflict} {
		if errors.Is(err, kind) {
			return kind
		}
	}
	return err
}

// A write whose response is lost or late has an unknown outcome and can be found again by its attempt.
// During an outage reads and writes must be reported as unavailable.
func TestLostResponseAndOutage(t *testing.T) {
	server := table.New()
	remote := rest.NewTable(serve(t, server), rest.Options{})
	txn := platform.Txn{Attempt: "x", Writes: []platform.Write{{Key: "k", Value: []byte("v")}}}
	require.NoError(t, server.Faults.Put(fault.Fault{Kind: fault.LostReply, Count: 1}))
	_, err := remote.Commit(t.Context(), txn)
	require.ErrorIs(t, err, platform.ErrUnknown)
	row, err := remote.Get(t.Context(), "k")
	require.NoError(t, err)
	require.Equal(t, "x", row.Attempt)
	require.EqualValues(t, 1, server.Stats().Writes)

	require.NoError(t, server.Faults.Put(fault.Fault{Kind: fault.Outage}))
	_, err = remote.Commit(t.Context(), txn)
	require.ErrorIs(t, err, platform.ErrUnavailable)
	_, err = remote.Get(t.Context(), "k")
	require.ErrorIs(t, err, platform.ErrUnavailable)
	server.Faults.ClearAll()

	require.NoError(t, server.Faults.Put(fault.Fault{Kind: fault.Latency, DelayMS: 60_000}))
	slow := rest.NewTable(serve(t, server), rest.Options{Timeout: 30 * time.Millisecond})
	_, err = slow.Commit(t.Context(), txn)
	require.ErrorIs(t, err, platform.ErrUnknown)
}

// Names of objects with characters that are special in URLs must reach the store unchanged.
func TestObjects(t *testing.T) {
	store := rest.NewObjectStore(serve(t, object.New()), rest.Options{})
	for _, name := range []string{"plain", "bundle/1/ab cd", "a//b", "x%2F?y"} {
		_, err := store.Get(t.Context(), name)
		require.ErrorIs(t, err, platform.ErrNotFound)
		require.NoError(t, store.PutIfAbsent(t.Context(), name, []byte(name)))
		require.ErrorIs(t, store.PutIfAbsent(t.Context(), name, []byte("other")), platform.ErrConflict)
		data, err := store.Get(t.Context(), name)
		require.NoError(t, err)
		require.Equal(t, name, string(data))
	}
}

// While the list lags by 60 s, the lister must return the list as it was 60 s ago: empty, as no VM had
// registered yet.
func TestVMListLag(t *testing.T) {
	server := vmlist.New(vmlist.Options{})
	lister := rest.NewVMLister(serve(t, server), rest.Options{})
	vm := platform.VM{ID: "vm1", FailureDomain: "garia", PeerAddress: "127.0.0.1:1"}
	server.Register(vm)
	require.True(t, server.MarkLeaving("vm1"))
	vms, err := lister.ListVMs(t.Context())
	require.NoError(t, err)
	vm.Leaving = true
	require.Equal(t, []platform.VM{vm}, vms)

	require.NoError(t, server.Faults.Put(fault.Fault{Kind: fault.ReportLag, DelayMS: 60_000}))
	server.Remove("vm1")
	vms, err = lister.ListVMs(t.Context())
	require.NoError(t, err)
	require.Empty(t, vms) // the list from before the first VM registered
	server.Faults.ClearAll()
	vms, err = lister.ListVMs(t.Context())
	require.NoError(t, err)
	require.Empty(t, vms)
}
