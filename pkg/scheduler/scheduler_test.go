package scheduler

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/endpoint"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/work"
)

var epoch = time.Unix(1_000_000, 0)

// unlimitedPermits grants every load.
type unlimitedPermits struct{}

func (unlimitedPermits) TryTake(time.Time) bool { return true }

func version(n int) endpoint.AdapterVersion {
	return endpoint.AdapterVersion{Adapter: fmt.Sprintf("a%d", n), Version: "1"}
}

func endpointSpecs(n, slots, running int) []EndpointSpec {
	specs := make([]EndpointSpec, n)
	for i := range specs {
		specs[i] = EndpointSpec{Name: fmt.Sprintf("e%d", i), Slots: slots, MaxRunning: running}
	}
	return specs
}

// newTestScheduler returns a scheduler with n endpoints that have all reported that no adapter is
// loaded.
func newTestScheduler(n, slots, running int) *scheduler {
	s := New(Config{}, rand.New(rand.NewSource(1)), unlimitedPermits{}).(*scheduler)
	s.SetEndpoints(epoch, endpointSpecs(n, slots, running))
	for _, e := range s.endpoints {
		s.Report(epoch, e.spec.Name, endpoint.LoadReport{Incarnation: "1", Slots: slots})
	}
	return s
}

func item(n int, account string, adapter int) Item {
	return Item{
		ID: work.AttemptID{Request: fmt.Sprint(n)}, Account: account, Weight: 1,
		Class: bundle.Interactive, Adapter: version(adapter), Tokens: 100,
	}
}

func kinds(actions []Action) []ActionKind {
	list := []ActionKind{}
	for _, a := range actions {
		list = append(list, a.Kind)
	}
	return list
}

func TestItemsOfOneAdapterShareALoad(t *testing.T) {
	s := newTestScheduler(2, 1, 4)
	require.Nil(t, s.Enqueue(epoch, item(1, "x", 1)))
	require.Nil(t, s.Enqueue(epoch, item(2, "y", 1)))
	actions := s.Decide(epoch)
	require.Equal(t, []ActionKind{Load}, kinds(actions), "one load for both items")
	s.Loaded(epoch, actions[0].Endpoint, version(1), nil)
	require.Equal(t, []ActionKind{Dispatch, Dispatch}, kinds(s.Decide(epoch)))
}

func TestAdapterInUseIsNotEvicted(t *testing.T) {
	s := newTestScheduler(1, 1, 4)
	require.Nil(t, s.Enqueue(epoch, item(1, "x", 1)))
	s.Decide(epoch)
	s.Loaded(epoch, "e0", version(1), nil)
	s.Decide(epoch)
	require.Nil(t, s.Enqueue(epoch, item(2, "x", 2)))
	require.Empty(t, s.Decide(epoch))
	s.Finished(epoch, item(1, "x", 1).ID, 10, nil)
	actions := s.Decide(epoch)
	require.Equal(t, []ActionKind{Load}, kinds(actions))
	require.Equal(t, version(1), actions[0].Victim)
}

// TestRestartClearsEndpointView checks that an adapter is loaded again after the endpoint has
// restarted, which the new incarnation in its report shows.
func TestRestartClearsEndpointView(t *testing.T) {
	s := newTestScheduler(1, 2, 4)
	require.Nil(t, s.Enqueue(epoch, item(1, "x", 1)))
	s.Decide(epoch)
	s.Loaded(epoch, "e0", version(1), nil)
	s.Report(epoch.Add(time.Second), "e0", endpoint.LoadReport{Incarnation: "2"})
	require.Equal(t, []ActionKind{Load}, kinds(s.Decide(epoch.Add(time.Second))))
}

// TestFailedLoadsEndInRefusal checks that a failed load is retried on another endpoint and that the
// item is refused after LoadAttempts failures.
func TestFailedLoadsEndInRefusal(t *testing.T) {
	s := newTestScheduler(2, 1, 4)
	now := epoch
	require.Nil(t, s.Enqueue(now, item(1, "x", 1)))
	tried := map[string]bool{}
	for range s.cfg.LoadAttempts {
		actions := s.Decide(now)
		require.Equal(t, []ActionKind{Load}, kinds(actions))
		tried[actions[0].Endpoint] = true
		s.Loaded(now, actions[0].Endpoint, version(1), endpoint.ErrLoadFailed)
		now = now.Add(10 * time.Second)
	}
	require.Len(t, tried, 2, "a failed load is tried elsewhere")
	actions := s.Decide(now)
	require.Equal(t, []ActionKind{Refuse}, kinds(actions))
	require.Equal(t, result.LoadFailed, actions[0].Err.Code)
	require.Equal(t, result.NotRun, actions[0].Err.Outcome)
}

// TestAdapterCountsAsInUseAfterTakeoverUntilLaterReport guards against evicting an adapter that
// requests of the previous owner still use: a report taken before the takeover, or at that very time,
// does not prove that the adapter is idle.
func TestAdapterCountsAsInUseAfterTakeoverUntilLaterReport(t *testing.T) {
	s := New(Config{}, rand.New(rand.NewSource(1)), unlimitedPermits{}).(*scheduler)
	s.SetEndpoints(epoch, endpointSpecs(1, 1, 4))
	s.TakenOver(epoch, false)
	report := endpoint.LoadReport{
		Incarnation: "1", Age: 2 * time.Second,
		Loaded: []endpoint.LoadedAdapter{{AdapterVersion: version(1)}},
	}
	s.Report(epoch.Add(time.Second), "e0", report)
	require.Nil(t, s.Enqueue(epoch, item(1, "x", 2)))
	require.Empty(t, s.Decide(epoch.Add(time.Second)))
	s.Report(epoch.Add(2*time.Second), "e0", report)
	require.Empty(t, s.Decide(epoch.Add(2*time.Second)), "taken at the takeover")
	s.Report(epoch.Add(4*time.Second), "e0", report)
	require.Equal(t, []ActionKind{Load}, kinds(s.Decide(epoch.Add(4*time.Second))))
}

// singlePermit grants one load.
type singlePermit struct{ taken bool }

func (p *singlePermit) TryTake(time.Time) bool {
	first := !p.taken
	p.taken = true
	return first
}

// TestUnmeetableDeadlineIsRefusedAtOnce checks that an item is refused without waiting if its
// deadline is nearer than half the shortest load seen, 300 ms.
func TestUnmeetableDeadlineIsRefusedAtOnce(t *testing.T) {
	s := newTestScheduler(1, 2, 4)
	require.Nil(t, s.Enqueue(epoch, item(1, "x", 1)))
	s.Decide(epoch)
	now := epoch.Add(300 * time.Millisecond)
	s.Loaded(now, "e0", version(1), nil)
	s.Decide(now)
	late := item(2, "x", 2)
	late.Deadline = now.Add(100 * time.Millisecond)
	require.Nil(t, s.Enqueue(now, late))
	actions := s.Decide(now)
	require.Equal(t, []ActionKind{Refuse}, kinds(actions))
	require.Equal(t, result.DeadlineTooNear, actions[0].Err.Code)
	require.Equal(t, result.NotRun, actions[0].Err.Outcome)
	require.Positive(t, actions[0].Err.RetryAfter)
}

func TestAccountQueueIsBounded(t *testing.T) {
	s := New(Config{AccountQueueLimit: 2}, rand.New(rand.NewSource(1)), &singlePermit{}).(*scheduler)
	for n := range 2 {
		require.Nil(t, s.Enqueue(epoch, item(n, "x", n)))
	}
	require.Equal(t, result.QueueFull, s.Enqueue(epoch, item(3, "x", 3)).Code)
	require.Nil(t, s.Enqueue(epoch, item(4, "y", 4)), "another account has its own queue")
}
