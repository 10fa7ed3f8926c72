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

const account = "acme"

// endpoints play the list and the lives of endpoints.
type endpoints struct {
	mu     sync.Mutex
	lives  map[string]Life
	listed map[string]Listing
	asked  int
}

func newEndpoints() *endpoints {
	return &endpoints{lives: map[string]Life{}, listed: map[string]Listing{}}
}

// Probe implements Prober.
func (p *endpoints) Probe(ctx context.Context, e roster.Endpoint) Life {
	p.mu.Lock()
	p.asked++
	life := p.lives[e.ID]
	p.mu.Unlock()
	if life == Unknown {
		<-ctx.Done()
	}
	return life
}

func (p *endpoints) list(e roster.Endpoint) Listing {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listed[e.ID]
}

func (p *endpoints) set(id string, life Life) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lives[id] = life
}

func run(id string) roster.Endpoint {
	return roster.Endpoint{Incarnation: roster.Incarnation{ID: id, Started: 1}, Group: "g", Address: id}
}

func newWatch(t *testing.T, p *endpoints) *Watch {
	log, _ := test.NewNullLogger()
	return NewWatch(t.Context(), WatchConfig{
		Table: NewTable(DirectLimits()), Prober: p, Listed: p.list, Told: func() {}, Metrics: metrics.NewRegistry(), Log: log,
	})
}

// crashes returns the number of crashes that are held against the request, and of those that others may hear of.
func (w *Watch) crashes() (held, shared int) {
	for _, n := range w.cfg.Table.Of(time.Now(), fp) {
		if n.Cleared {
			continue
		}
		held++
		if !w.inQuestion()[n.Crash] {
			shared++
		}
	}
	return held, shared
}

func requireCrashes(t *testing.T, w *Watch, held, shared int) {
	t.Helper()
	gotHeld, gotShared := w.crashes()
	require.Equal(t, [2]int{held, shared}, [2]int{gotHeld, gotShared}, "held, shared")
}

// A request under which three endpoints have ended is refused; before, it is kept apart from other suspects.
func TestThreeEndedEndpointsRefuseARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newEndpoints()
		w := newWatch(t, p)
		require.True(t, w.Quiet())
		for i, want := range []Decision{Isolate, Isolate, Refuse} {
			id := fmt.Sprint("e", i)
			p.set(id, Ended)
			w.Broke(run(id), account, fp, time.Now(), 0)
			w.Broke(run(id), account, fp, time.Now(), 0)
			decision, _ := w.Admit(fp)
			require.Equal(t, want, decision, "known at this VM at once")
			time.Sleep(2 * firstProbe)
			require.Len(t, w.Suspects()[0].Crashes, i+1)
			requireCrashes(t, w, i+1, i+1)
		}
		decision, after := w.Admit(fp)
		require.Equal(t, Refuse, decision)
		require.InDelta(t, DirectMemory.Seconds(), after.Seconds(), 1)
		decision, _ = w.Admit(fp + 1)
		require.Equal(t, Allow, decision)
	})
}

// Connections that end do not make a request suspect while the endpoint lives, however often they do.
func TestConnectionsThatEndAloneAreNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newEndpoints()
		w := newWatch(t, p)
		for i := range 50 {
			id := fmt.Sprint("e", i%5)
			p.set(id, Alive)
			w.Broke(run(id), account, fp, time.Now(), 0)
			time.Sleep(time.Duration(i%7) * 50 * time.Millisecond)
			_, shared := w.crashes()
			require.Zero(t, shared, "nobody else hears of it")
		}
		time.Sleep(time.Second)
		requireCrashes(t, w, 0, 0)
		require.True(t, w.Quiet())
	})
}

// The answer to a request that was sent after the connection had ended shows that the endpoint lives, without a
// question to it. One that was sent before may come from buffers, and one that was sent much later from its next run.
func TestAnswersToOthersShowThatAnEndpointLives(t *testing.T) {
	for _, c := range map[string]struct {
		sent  time.Duration
		lives bool
	}{
		"sent after":  {sent: time.Millisecond, lives: true},
		"sent before": {sent: -time.Millisecond},
		"sent late":   {sent: restartTime},
	} {
		synctest.Test(t, func(t *testing.T) {
			p := newEndpoints()
			w := newWatch(t, p)
			now := time.Now()
			w.Broke(run("e"), account, fp, time.Now(), 0)
			time.Sleep(firstProbe / 2)
			w.Answered(run("e").Incarnation, now.Add(c.sent))
			if c.lives {
				requireCrashes(t, w, 0, 0)
				time.Sleep(time.Second)
				require.Zero(t, p.asked)
				require.True(t, w.Quiet())
				return
			}
			time.Sleep(time.Second)
			requireCrashes(t, w, 1, 1)
		})
	}
}

// An endpoint that shows nothing counts as ended after a while. Others hear of it only then.
func TestSilentEndpointsCountAsEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWatch(t, newEndpoints())
		w.Broke(run("e"), account, fp, time.Now(), 0)
		time.Sleep(presumeAfter / 2)
		requireCrashes(t, w, 1, 0)
		time.Sleep(presumeAfter)
		requireCrashes(t, w, 1, 1)
	})
}

// Endpoints that leave, and requests that had been running for long, make no suspects; a later run proves the end.
func TestPlannedEndsAreNoCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newEndpoints()
		w := newWatch(t, p)
		p.listed["leaving"], p.listed["replaced"] = Leaving, Replaced
		p.set("replaced", Alive)
		w.Broke(run("leaving"), account, fp, time.Now(), 0)
		w.Broke(run("settled"), account, fp, time.Now(), settledAfter)
		require.True(t, w.Quiet())
		w.Broke(run("replaced"), account, fp, time.Now(), 0)
		time.Sleep(time.Second)
		requireCrashes(t, w, 1, 1)
	})
}

// A whole answer shows that the request does not crash every endpoint, whatever was held against it.
func TestAWholeAnswerAcquits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newEndpoints()
		w := newWatch(t, p)
		for i := range 3 {
			id := fmt.Sprint("e", i)
			p.set(id, Ended)
			w.Broke(run(id), account, fp, time.Now(), 0)
		}
		time.Sleep(time.Second)
		w.Served(fp)
		decision, _ := w.Admit(fp)
		require.Equal(t, Allow, decision)
		time.Sleep(clearedMemory)
		w.Sweep(time.Now())
		require.True(t, w.Quiet())
	})
}

// While requests are suspect, each is kept from the endpoints at which this VM runs others, and no more copies of it
// run at once than it may crash endpoints.
func TestSuspectsAreKeptApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newEndpoints()
		p.set("e1", Ended)
		w := newWatch(t, p)
		w.Broke(run("e1"), account, fp, time.Now(), 0)
		w.Broke(run("e1"), account, fp+1, time.Now(), 0)
		require.True(t, w.Started(fp, "e2"))
		require.Equal(t, []string{"e2"}, w.Avoid(fp+1))
		require.Empty(t, w.Avoid(fp))
		require.True(t, w.Started(fp, "e3"))
		require.False(t, w.Started(fp, "e4"))
		decision, _ := w.Admit(fp)
		require.Equal(t, Wait, decision)
		w.Left(fp, "e3")
		require.True(t, w.Started(fp, "e4"))
		time.Sleep(time.Second)
	})
}

// A request is not sent again before it is known whether its endpoint has ended, but does not wait for long.
func TestAVerdictIsAwaited(t *testing.T) {
	for name, c := range map[string]struct {
		life     Life
		at, most time.Duration
	}{
		"ended": {Ended, firstProbe, firstProbe + tellWait}, "alive": {Alive, firstProbe, firstProbe}, "silent": {Unknown, verdictWait, verdictWait},
	} {
		synctest.Test(t, func(t *testing.T) {
			p := newEndpoints()
			p.set("e", c.life)
			w := newWatch(t, p)
			begun := time.Now()
			w.AwaitVerdict(t.Context(), run("e").Incarnation)
			require.Zero(t, time.Since(begun), "nothing in question")
			w.Broke(run("e"), account, fp, time.Now(), 0)
			w.AwaitVerdict(t.Context(), run("e").Incarnation)
			took := time.Since(begun)
			require.True(t, took >= c.at && took <= c.most, "%s: %v", name, took)
			time.Sleep(time.Second)
		})
	}
}

// Equal requests that are served all the time are under way whenever an endpoint ends, and not to blame for it.
func TestRequestsServedLatelyAreNoSuspects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newEndpoints()
		w := newWatch(t, p)
		w.Served(fp)
		for i := range 5 {
			id := fmt.Sprint("e", i)
			p.set(id, Ended)
			w.Broke(run(id), account, fp, time.Now(), 0)
			time.Sleep(servedMemory / 6)
		}
		require.True(t, w.Quiet())
		time.Sleep(2 * servedMemory)
		w.Broke(run("e0"), account, fp, time.Now(), 0)
		require.False(t, w.Quiet(), "it may have become one since")
		time.Sleep(time.Second)
	})
}

// What is known of served requests is bounded.
func TestServedIsBounded(t *testing.T) {
	s := newServed()
	now := time.Unix(0, 0)
	for i := range 10 * servedEntries {
		s.note(uint64(i), now.Add(time.Duration(i)*time.Millisecond))
	}
	require.LessOrEqual(t, len(s.now)+len(s.before), 2*servedEntries)
}
