package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/dialect"
	"github.com/mallowlink/mallowlink/pkg/engine"
	"github.com/mallowlink/mallowlink/pkg/gateway"
	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/orders"
	"github.com/mallowlink/mallowlink/pkg/placement"
	"github.com/mallowlink/mallowlink/pkg/residency"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/roster"
	"github.com/mallowlink/mallowlink/pkg/upstream"
)

// ownerlessEngines simulates engines that have no owner before ownedFrom.
type ownerlessEngines struct {
	ownedFrom time.Time
	// loaded are the adapters by engine, version is the version of all of them.
	loaded  map[string][]string
	version int
	busy    map[string]int

	mu    sync.Mutex
	reads map[string]int // guarded by mu
}

func (o *ownerlessEngines) Held(string) (lease.Grant, bool) { return lease.Grant{}, false }

func (o *ownerlessEngines) HolderOf(name string) (lease.Holder, bool) {
	owned := !o.ownedFrom.IsZero() && !time.Now().Before(o.ownedFrom)
	return lease.Holder{VM: "owner", Address: "owner"}, owned
}

func (o *ownerlessEngines) Call(_ context.Context, _, method string, _, reply any) error {
	acquireReply, ok := reply.(*orders.AcquireReply)
	if !ok || method != orders.AcquireMethod {
		return errors.Errorf("no method %s", method)
	}
	acquireReply.Status = orders.Granted
	return nil
}

func (o *ownerlessEngines) Report(_ context.Context, target upstream.Target) (engine.Report, error) {
	time.Sleep(3 * time.Millisecond)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reads[target.ID]++
	report := engine.Report{Incarnation: roster.Incarnation{ID: target.ID, Started: target.Started}, Running: o.busy[target.ID]}
	for _, name := range o.loaded[target.ID] {
		report.Loaded = append(report.Loaded, roster.Adapter{Model: "m", Name: name, Version: o.version})
	}
	return report, nil
}

// dispatcher returns a dispatcher for twelve engines, and the IDs of the adapter's homes in order of rank.
func (o *ownerlessEngines) dispatcher(adapter string, newest int) (*Dispatcher, []string) {
	o.reads = map[string]int{}
	var list []roster.Endpoint
	for i := range 12 {
		list = append(list, roster.Endpoint{Incarnation: roster.Incarnation{ID: fmt.Sprintf("e%02d", i)}, Group: "g"})
	}
	view := roster.New()
	view.Set(roster.NewView(list))
	d := New(Config{
		Limits: noLimits(),
		Self:   "vm", Roster: view, Leases: o, PeerClient: o, Engines: o, Log: discardLogger(),
		RosterAge: func() time.Duration { return 0 }, Newest: func(residency.Key) int { return newest },
	})
	return d, ids(placement.RankHomes("m/"+adapter, list))
}

const ownerlessObjective = 800 * time.Millisecond

func requestFor(id, adapter string) gateway.Request {
	now := time.Now()
	return gateway.Request{
		ID: id, Group: bundle.Group{Name: "g", Engine: &bundle.Engine{}}, Route: bundle.Route{Objective: ownerlessObjective},
		Terms: dialect.RequestInfo{Model: "m", Adapter: adapter}, Arrived: now, Deadline: now.Add(5 * time.Second),
	}
}

// All VMs have restarted at once and no engine has an owner yet. Requests must go to the engine that holds
// their adapter, to the less busy one if there are two, rather than to one engine after the other that rejects
// them.
func TestRequestsGoToAdapterHolderWithoutOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &ownerlessEngines{version: 2, busy: map[string]int{}}
		d, homes := o.dispatcher("a", 2)
		o.loaded = map[string][]string{homes[1]: {"x", "a"}, homes[3]: {"a"}}
		o.busy[homes[1]] = 5
		var all sync.WaitGroup
		for i := range 50 {
			all.Go(func() {
				placement, err := d.Place(t.Context(), requestFor(fmt.Sprint(i), "a"))
				require.NoError(t, err)
				require.Equal(t, homes[3], placement.Endpoint.ID)
				require.Equal(t, 2, placement.AdapterVersion)
			})
		}
		all.Wait()
		for id, n := range o.reads {
			require.Equal(t, 1, n, "requests share the report of %s", id)
		}
	})
}

// Without an owner nobody can load the adapter. The request must be refused early enough for the caller to send
// it again, and must not be sent to engines that reject it.
func TestRequestForUnheldAdapterIsRefusedWithoutOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &ownerlessEngines{version: 1}
		d, homes := o.dispatcher("a", 2)
		o.loaded = map[string][]string{homes[0]: {"a"}, homes[1]: {"b"}}
		began := time.Now()
		_, err := d.Place(t.Context(), requestFor("r", "a"))
		var refused *result.Error
		require.ErrorAs(t, err, &refused)
		require.Equal(t, result.NoOwner, refused.Code)
		require.Equal(t, noOwnerRetryAfter, refused.RetryAfter)
		require.LessOrEqual(t, time.Since(began), ownerlessObjective/2+reportTimeout)
	})
}

// The leases are taken over while a request waits: it goes to the home whose new owner grants it a permit.
func TestRequestWaitsForOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &ownerlessEngines{ownedFrom: time.Now().Add(250 * time.Millisecond)}
		d, homes := o.dispatcher("a", 0)
		began := time.Now()
		placement, err := d.Place(t.Context(), requestFor("r", "a"))
		require.NoError(t, err)
		require.Equal(t, homes[0], placement.Endpoint.ID)
		require.LessOrEqual(t, time.Since(began), 250*time.Millisecond+2*ownerRetryInterval)
	})
}
