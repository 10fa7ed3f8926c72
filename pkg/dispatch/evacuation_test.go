package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/gateway"
	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/orders"
	"github.com/mallowlink/mallowlink/pkg/placement"
	"github.com/mallowlink/mallowlink/pkg/residency"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

// heldAdapters simulates the owners of engines that hold adapters from a time on, by engine and adapter. An adapter that is ordered
// is held after loadTime.
type heldAdapters struct {
	mu    sync.Mutex
	from  map[string]map[string]time.Time // guarded by mu
	moved map[string]int                  // orders to move an adapter, by engine; guarded by mu
	// whileWaiting, if not nil, is called before a request for an adapter that is not held gets its reply.
	whileWaiting func()
}

func newHeldAdapters() *heldAdapters {
	return &heldAdapters{from: map[string]map[string]time.Time{}, moved: map[string]int{}}
}

func (h *heldAdapters) hold(engine, adapter string, from time.Time) {
	if h.from[engine] == nil {
		h.from[engine] = map[string]time.Time{}
	}
	h.from[engine][adapter] = from
}

func (h *heldAdapters) Held(string) (lease.Grant, bool) { return lease.Grant{}, false }

func (h *heldAdapters) HolderOf(name string) (lease.Holder, bool) {
	return lease.Holder{VM: name, Address: name}, true
}

func (h *heldAdapters) Call(_ context.Context, _, method string, args, reply any) error {
	acquire, ok := args.(*orders.AcquireArgs)
	if !ok || method != orders.AcquireMethod {
		return errors.Errorf("no method %s", method)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	to := reply.(*orders.AcquireReply)
	from, known := h.from[acquire.Endpoint][acquire.Adapter]
	*to = orders.AcquireReply{Status: orders.Offered, Delay: loadTime}
	switch {
	case acquire.Prefetch:
		if acquire.Moving {
			h.moved[acquire.Endpoint]++
		}
		if !known {
			h.hold(acquire.Endpoint, acquire.Adapter, time.Now().Add(loadTime))
		}
	case known && !time.Now().Before(from):
		to.Status, to.Delay = orders.Granted, 0
	case acquire.LoadBound >= loadTime && h.whileWaiting != nil:
		h.whileWaiting()
		to.Status = orders.Down
	case acquire.LoadBound >= loadTime:
		h.hold(acquire.Endpoint, acquire.Adapter, time.Now())
		to.Status = orders.Granted
	}
	return nil
}

// domainEngines are four engines in each of two failure domains; "north" is evacuated from a time on unless that is zero.
func domainEngines(northFrom, eastFrom time.Time) []roster.Endpoint {
	var list []roster.Endpoint
	for i := range 4 {
		for domain, from := range map[string]time.Time{"north": northFrom, "east": eastFrom} {
			list = append(list, roster.Endpoint{
				Incarnation: roster.Incarnation{ID: fmt.Sprintf("%s-%d", domain, i)}, Group: "g", FailureDomain: domain, EvacuatedFrom: from,
			})
		}
	}
	return list
}

func evacuationDispatcher(h *heldAdapters, list []roster.Endpoint) *Dispatcher {
	view := roster.New()
	view.Set(roster.NewView(list))
	return New(Config{
		Limits: noLimits(), Self: "vm", FailureDomain: "north", Roster: view, Leases: h, PeerClient: h, Log: discardLogger(), Metrics: metrics.NewRegistry(),
		RosterAge: func() time.Duration { return 0 }, Newest: func(residency.Key) int { return 0 },
	})
}

func place(t *testing.T, d *Dispatcher, adapter string) roster.Endpoint {
	t.Helper()
	placement, err := d.Place(t.Context(), requestFor("r", adapter))
	require.NoError(t, err)
	placement.Done(gateway.Outcome{})
	return placement.Endpoint
}

// Guards against traffic that is cut off before the adapters are elsewhere, and against adapters that are not ordered there: a
// request goes to the evacuated domain only until its adapter is held outside, and never after the time to move work.
func TestRequestsGoToTheEvacuatedDomainUntilTheirAdapterHasMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHeldAdapters()
		for i := range 4 {
			h.hold(fmt.Sprintf("north-%d", i), "moving", time.Now())
			h.hold(fmt.Sprintf("north-%d", i), "held", time.Now())
			h.hold(fmt.Sprintf("east-%d", i), "held", time.Now())
		}
		d := evacuationDispatcher(h, domainEngines(time.Now().Add(2500*time.Millisecond), time.Time{}))
		require.Equal(t, "east", place(t, d, "held").FailureDomain)
		require.Equal(t, "north", place(t, d, "moving").FailureDomain)
		synctest.Wait()
		var outside []roster.Endpoint
		for _, e := range domainEngines(time.Time{}, time.Time{}) {
			if e.FailureDomain == "east" {
				outside = append(outside, e)
			}
		}
		home := placement.RankHomes("m/moving", outside)[0].ID
		require.Equal(t, map[string]int{home: 1}, h.moved, "the adapter is ordered at its next home")
		time.Sleep(loadTime)
		require.Equal(t, home, place(t, d, "moving").ID)
		require.Equal(t, "east", place(t, d, "held by none").FailureDomain)
		require.Equal(t, "east", place(t, d, "").FailureDomain, "a request without an adapter goes elsewhere at once")
	})
}

// Guards against requests to an evacuated domain after the time to move work, whatever is held elsewhere.
func TestNothingGoesToAnEvacuatedDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHeldAdapters()
		h.hold("north-0", "a", time.Now())
		d := evacuationDispatcher(h, domainEngines(time.Now().Add(time.Second), time.Time{}))
		time.Sleep(time.Second)
		for range 20 {
			require.Equal(t, "east", place(t, d, "a").FailureDomain)
		}
		placement, err := d.Place(t.Context(), gateway.Request{Group: bundle.Group{Name: "g"}})
		require.NoError(t, err)
		require.Equal(t, "east", placement.Endpoint.FailureDomain)
	})
}

// Guards against requests that wait when no endpoint may get them, and against refusals that do not say that the request has not
// run.
func TestRequestsAreRefusedAtOnceIfAllDomainsAreEvacuated(t *testing.T) {
	for name, from := range map[string]time.Duration{"evacuated": 0, "work is moved": time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				at := time.Now().Add(from)
				d := evacuationDispatcher(newHeldAdapters(), domainEngines(at, at))
				for _, req := range []gateway.Request{requestFor("r", "a"), {Group: bundle.Group{Name: "g"}}} {
					began := time.Now()
					_, err := d.Place(t.Context(), req)
					require.Zero(t, time.Since(began))
					var refusal *result.Error
					require.ErrorAs(t, err, &refusal)
					require.Equal(t, result.NoEndpoint, refusal.Code)
					require.Equal(t, result.NotRun, refusal.Outcome)
				}
				require.EqualValues(t, 2, d.withheld.Count())
			})
		})
	}
}

// Guards against refusing, or sending on, a request that waits for an engine whose domain is evacuated meanwhile.
func TestRequestThatWaitsWhenADomainIsEvacuatedGoesElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHeldAdapters()
		d := evacuationDispatcher(h, domainEngines(time.Time{}, time.Time{}))
		h.whileWaiting = func() {
			h.whileWaiting = nil
			d.cfg.Roster.Set(roster.NewView(domainEngines(time.Now(), time.Time{})))
		}
		require.Equal(t, "east", place(t, d, "a").FailureDomain)
	})
}

// Guards against a permit that is used after the domain was evacuated.
func TestPermitThatIsGrantedTooLateIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHeldAdapters()
		all := domainEngines(time.Time{}, time.Time{})
		first := placement.RankHomes("m/a", all)[0]
		north, east := time.Time{}, time.Time{}
		if first.FailureDomain == "north" {
			north = time.Now()
		} else {
			east = time.Now()
		}
		h.hold(first.ID, "a", time.Now())
		d := evacuationDispatcher(h, all)
		s := &search{d: d, req: requestFor("r", "a"), plan: placement.Request{Objective: time.Second, WaitDeadline: time.Now().Add(time.Second)}}
		d.cfg.Roster.Set(roster.NewView(domainEngines(north, east)))
		ended := false
		_, _, ok := s.granted(first, orders.AcquireReply{}, func(u orders.PermitUpdate) { ended = u.Ended })
		require.False(t, ok)
		require.True(t, ended)
	})
}

// Guards against the paths without an owner, which place requests by what is known of engines or by their reports.
func TestRequestsWithoutOwnerKeepOutOfEvacuatedDomains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &ownerlessEngines{version: 2, busy: map[string]int{}}
		d, homes := o.dispatcher("a", 2)
		o.loaded = map[string][]string{homes[0]: {"a"}, homes[2]: {"a"}}
		place := func() string {
			chosen, err := d.Place(t.Context(), requestFor("r", "a"))
			require.NoError(t, err)
			chosen.Done(gateway.Outcome{})
			return chosen.Endpoint.ID
		}
		o.busy[homes[2]] = 5
		require.Equal(t, homes[0], place(), "by report")
		require.Equal(t, homes[0], place(), "by what is known")
		list := d.cfg.Roster.View().All()
		var evacuated []roster.Endpoint
		for _, e := range list {
			if e.ID == homes[0] {
				e.EvacuatedFrom = time.Now()
			}
			evacuated = append(evacuated, e)
		}
		d.cfg.Roster.Set(roster.NewView(evacuated))
		reads := o.reads[homes[0]]
		time.Sleep(reportTTL)
		require.Equal(t, homes[2], place())
		s := &search{d: d, req: requestFor("r", "a"), plan: placement.Request{Objective: time.Second}}
		known, _ := d.cfg.Roster.View().Endpoint(homes[0])
		_, ok := s.placeAtKnownLocation(known)
		require.False(t, ok)
		chosen, ok := s.placeByReport(t.Context(), placement.RankHomes("m/a", list))
		require.True(t, ok)
		require.Equal(t, homes[2], chosen.Endpoint.ID, "the ranking may be older than the evacuation")
		require.Equal(t, reads, o.reads[homes[0]], "evacuated engines are not polled")
	})
}
