package lease_test

import (
	"context"
	"testing"
	"time"

	"github.com/mallowlink/mallowlink/pkg/fleettest"
	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/membership"
	"github.com/mallowlink/mallowlink/pkg/platform"
)

// FuzzRows runs a manager on arbitrary session and lease rows, as another version of the program or a fault may
// have written them. The manager must not panic.
func FuzzRows(f *testing.F) {
	f.Add([]byte(`{"vm":"x","incarnation":"1","counter":3,"duration_ns":3000000000}`), []byte(`{"holder":"x","incarnation":"1","fencing":1024}`))
	f.Add([]byte(`{`), []byte(`[]`))
	f.Add([]byte(`{"ended":true,"duration_ns":-5}`), []byte(`{"fencing":18446744073709551615,"successors":[{}]}`))
	f.Fuzz(func(t *testing.T, sessionRow, leaseRow []byte) {
		table := fleettest.NewTable(1).Client("me", nil)
		_, err := table.Commit(t.Context(), platform.Txn{Writes: []platform.Write{
			{Key: "lease/session/x", Value: sessionRow}, {Key: "lease/name/" + lease.Budget, Value: leaseRow},
		}})
		if err != nil {
			t.Fatal(err)
		}
		registry := membership.New(membership.Config{ID: "me", Incarnation: "1"}, &fleettest.Lister{}, nil, fleettest.Quiet())
		names := func() []string { return []string{lease.Budget} }
		ctx, cancel := context.WithTimeout(t.Context(), fuzzTime)
		defer cancel()
		m := lease.NewManager(lease.Config{
			ID: "me", Incarnation: "1", Names: names,
			Period: fuzzTime / 10, Duration: fuzzTime / 5, Margin: fuzzTime / 50,
		}, table, registry, nil, &engineOwner{lease: "none", sending: make(chan struct{}, 1)}, fleettest.Quiet())
		m.Run(ctx)
		_ = m.Snapshot()
	})
}

// fuzzTime is how long the manager runs on each pair of rows.
const fuzzTime = 20 * time.Millisecond
