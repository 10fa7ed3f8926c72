package suspect

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/roster"
)

// account is the client account of the requests under test.
const account = "acme"

// fakeEndpoints is a Prober, and the list of endpoints. An endpoint whose state is Unknown does not respond to probes.
type fakeEndpoints struct {
	mu     sync.Mutex
	states map[string]Liveness
	listed map[string]Listing
	probes int
}

func newFakeEndpoints() *fakeEndpoints {
	return &fakeEndpoints{states: map[string]Liveness{}, listed: map[string]Listing{}}
}

// Probe implements Prober.
func (p *fakeEndpoints) Probe(ctx context.Context, e roster.Endpoint) Liveness {
	p.mu.Lock()
	p.probes++
	liveness := p.states[e.ID]
	p.mu.Unlock()
	if liveness == Unknown {
		<-ctx.Done()
	}
	return liveness
}

func (p *fakeEndpoints) list(e roster.Endpoint) Listing {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listed[e.ID]
}

func (p *fakeEndpoints) set(id string, liveness Liveness) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.states[id] = liveness
}

func testEndpoint(id string) roster.Endpoint {
	return roster.Endpoint{Incarnation: roster.Incarnation{ID: id, Started: 1}, Group: "g", Address: id}
}

func newTestDetector(t *testing.T, p *fakeEndpoints) *Detector {
	log, _ := test.NewNullLogger()
	return NewDetector(t.Context(), DetectorConfig{
		Table: NewTable(DirectLimits()), Prober: p, Listed: p.list, OnChange: func() {}, Metrics: metrics.NewRegistry(), Log: log,
	})
}

// crashes returns the number of crashes held against the request fp, and the number of those that may be reported to others.
func (d *Detector) crashes() (held, shared int) {
	for _, r := range d.cfg.Table.ReportsOf(time.Now(), fp) {
		if r.Cleared {
			continue
		}
		held++
		if !d.unconfirmedCrashes()[r.Crash] {
			shared++
		}
	}
	return held, shared
}

func requireCrashes(t *testing.T, d *Detector, held, shared int) {
	t.Helper()
	gotHeld, gotShared := d.crashes()
	require.Equal(t, [2]int{held, shared}, [2]int{gotHeld, gotShared}, "held, shared")
}

// A request must be refused after three endpoints have crashed under it, and be isolated from other suspects before.
func TestThreeCrashesRefuseARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakeEndpoints()
		d := newTestDetector(t, p)
		require.True(t, d.NoSuspects())
		for i, want := range []Decision{Isolate, Isolate, Refuse} {
			id := fmt.Sprint("e", i)
			p.set(id, Terminated)
			d.ConnectionLost(testEndpoint(id), account, fp, time.Now(), 0)
			d.ConnectionLost(testEndpoint(id), account, fp, time.Now(), 0)
			decision, _ := d.Admit(fp)
			require.Equal(t, want, decision, "the crash counts on this VM at once")
			time.Sleep(2 * firstProbeDelay)
			require.Len(t, d.Suspects()[0].Crashes, i+1)
			requireCrashes(t, d, i+1, i+1)
		}
		decision, after := d.Admit(fp)
		require.Equal(t, Refuse, decision)
		require.InDelta(t, DirectRetention.Seconds(), after.Seconds(), 1)
		decision, _ = d.Admit(fp + 1)
		require.Equal(t, Allow, decision)
	})
}

// Lost connections, however many, must not make a request suspect while the endpoint is alive.
func TestLostConnectionsAreNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakeEndpoints()
		d := newTestDetector(t, p)
		for i := range 50 {
			id := fmt.Sprint("e", i%5)
			p.set(id, Alive)
			d.ConnectionLost(testEndpoint(id), account, fp, time.Now(), 0)
			time.Sleep(time.Duration(i%7) * 50 * time.Millisecond)
			_, shared := d.crashes()
			require.Zero(t, shared, "an unconfirmed crash must not be reported")
		}
		time.Sleep(time.Second)
		requireCrashes(t, d, 0, 0)
		require.True(t, d.NoSuspects())
	})
}

// The response to a request that was sent after the connection was lost shows that the endpoint is alive, without a probe. If
// the request was sent before, its response may come from buffers; if it was sent much later, from the next incarnation.
func TestResponsesToOthersShowThatAnEndpointIsAlive(t *testing.T) {
	for _, c := range map[string]struct {
		sent  time.Duration
		alive bool
	}{
		"sent after":  {sent: time.Millisecond, alive: true},
		"sent before": {sent: -time.Millisecond},
		"sent late":   {sent: minRestartTime},
	} {
		synctest.Test(t, func(t *testing.T) {
			p := newFakeEndpoints()
			d := newTestDetector(t, p)
			now := time.Now()
			d.ConnectionLost(testEndpoint("e"), account, fp, time.Now(), 0)
			time.Sleep(firstProbeDelay / 2)
			d.Responded(testEndpoint("e").Incarnation, now.Add(c.sent))
			if c.alive {
				requireCrashes(t, d, 0, 0)
				time.Sleep(time.Second)
				require.Zero(t, p.probes)
				require.True(t, d.NoSuspects())
				return
			}
			time.Sleep(time.Second)
			requireCrashes(t, d, 1, 1)
		})
	}
}

// An endpoint that remains unresponsive must count as crashed after presumeCrashedAfter, and be reported only then.
func TestUnresponsiveEndpointsCountAsCrashed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDetector(t, newFakeEndpoints())
		d.ConnectionLost(testEndpoint("e"), account, fp, time.Now(), 0)
		time.Sleep(presumeCrashedAfter / 2)
		requireCrashes(t, d, 1, 0)
		time.Sleep(presumeCrashedAfter)
		requireCrashes(t, d, 1, 1)
	})
}

// The termination of an endpoint that leaves must make no suspects, and neither must requests that had been running for long.
// A listed later incarnation proves that the earlier one has terminated, even if a probe succeeds.
func TestPlannedTerminationIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakeEndpoints()
		d := newTestDetector(t, p)
		p.listed["leaving"], p.listed["replaced"] = Leaving, Replaced
		p.set("replaced", Alive)
		d.ConnectionLost(testEndpoint("leaving"), account, fp, time.Now(), 0)
		d.ConnectionLost(testEndpoint("settled"), account, fp, time.Now(), minSafeRunTime)
		require.True(t, d.NoSuspects())
		d.ConnectionLost(testEndpoint("replaced"), account, fp, time.Now(), 0)
		time.Sleep(time.Second)
		requireCrashes(t, d, 1, 1)
	})
}

// Guards against probes of an endpoint that must not be reached, and against requests that are held responsible for its silence:
// losses there start no check, and a check in progress ends without a result.
func TestEvacuatedEndpointIsNotProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakeEndpoints()
		d := newTestDetector(t, p)
		p.listed["evacuated"] = Evacuated
		d.ConnectionLost(testEndpoint("evacuated"), account, fp, time.Now(), 0)
		d.PartsLost(testEndpoint("evacuated"), account, []string{"part"}, time.Now(), 0)
		require.True(t, d.NoSuspects())

		d.ConnectionLost(testEndpoint("e"), account, fp, time.Now(), 0)
		d.PartsLost(testEndpoint("e"), account, []string{"part"}, time.Now(), 0)
		time.Sleep(presumeCrashedAfter / 2)
		requireCrashes(t, d, 1, 0)
		p.mu.Lock()
		p.listed["e"] = Evacuated
		p.mu.Unlock()
		time.Sleep(probeTimeout + probeInterval)
		p.mu.Lock()
		probes := p.probes
		p.mu.Unlock()
		time.Sleep(time.Second)
		require.Equal(t, probes, p.probes)
		requireCrashes(t, d, 0, 0)
		require.Zero(t, d.openChecks.Load())
	})
}

// A complete response must clear a request of all crashes held against it: it does not crash every endpoint.
func TestCompleteResponseClears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakeEndpoints()
		d := newTestDetector(t, p)
		for i := range 3 {
			id := fmt.Sprint("e", i)
			p.set(id, Terminated)
			d.ConnectionLost(testEndpoint(id), account, fp, time.Now(), 0)
		}
		time.Sleep(time.Second)
		d.Served(fp)
		decision, _ := d.Admit(fp)
		require.Equal(t, Allow, decision)
		time.Sleep(clearanceRetention)
		d.Sweep(time.Now())
		require.True(t, d.NoSuspects())
	})
}

// A suspect must avoid the endpoints on which this VM runs other suspects, and no more copies of it may run at once than it
// may still crash endpoints.
func TestSuspectsAreIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakeEndpoints()
		p.set("e1", Terminated)
		d := newTestDetector(t, p)
		d.ConnectionLost(testEndpoint("e1"), account, fp, time.Now(), 0)
		d.ConnectionLost(testEndpoint("e1"), account, fp+1, time.Now(), 0)
		require.True(t, d.Started(fp, "e2"))
		require.Equal(t, []string{"e2"}, d.SuspectEndpoints(fp+1))
		require.Empty(t, d.SuspectEndpoints(fp))
		require.True(t, d.Started(fp, "e3"))
		require.False(t, d.Started(fp, "e4"))
		decision, _ := d.Admit(fp)
		require.Equal(t, Wait, decision)
		d.Ended(fp, "e3")
		require.True(t, d.Started(fp, "e4"))
		time.Sleep(time.Second)
	})
}

// A request must not be sent again before it is known whether its endpoint has crashed, but must not wait for long.
func TestResendWaitsForLivenessCheck(t *testing.T) {
	for name, c := range map[string]struct {
		liveness Liveness
		at, most time.Duration
	}{
		"ended": {Terminated, firstProbeDelay, firstProbeDelay + peerReportWait}, "alive": {Alive, firstProbeDelay, firstProbeDelay}, "unresponsive": {Unknown, maxLivenessWait, maxLivenessWait},
	} {
		synctest.Test(t, func(t *testing.T) {
			p := newFakeEndpoints()
			p.set("e", c.liveness)
			d := newTestDetector(t, p)
			start := time.Now()
			d.AwaitLiveness(t.Context(), testEndpoint("e").Incarnation)
			require.Zero(t, time.Since(start), "no check is in progress")
			d.ConnectionLost(testEndpoint("e"), account, fp, time.Now(), 0)
			d.AwaitLiveness(t.Context(), testEndpoint("e").Incarnation)
			took := time.Since(start)
			require.True(t, took >= c.at && took <= c.most, "%s: %v", name, took)
			time.Sleep(time.Second)
		})
	}
}

// Equal requests that are served all the time are in flight at every crash by coincidence, and must not become suspects.
func TestRecentlyServedRequestsAreNoSuspects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakeEndpoints()
		d := newTestDetector(t, p)
		d.Served(fp)
		for i := range 5 {
			id := fmt.Sprint("e", i)
			p.set(id, Terminated)
			d.ConnectionLost(testEndpoint(id), account, fp, time.Now(), 0)
			time.Sleep(servedRetention / 6)
		}
		require.True(t, d.NoSuspects())
		time.Sleep(2 * servedRetention)
		d.ConnectionLost(testEndpoint("e0"), account, fp, time.Now(), 0)
		require.False(t, d.NoSuspects(), "the request may have become a suspect since")
		time.Sleep(time.Second)
	})
}

// The memory for recently served requests must be bounded.
func TestRecentlyServedIsBounded(t *testing.T) {
	s := newRecentlyServed()
	now := time.Unix(0, 0)
	for i := range 10 * maxServedPerGeneration {
		s.add(uint64(i), now.Add(time.Duration(i)*time.Millisecond))
	}
	require.LessOrEqual(t, len(s.current)+len(s.previous), 2*maxServedPerGeneration)
}
