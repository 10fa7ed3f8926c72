package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/suspect"
)

// crashOn begins to respond and drops the connection if a part of the prompt, other than the last one, is the given one.
func crashOn(part string) handler {
	return func(w http.ResponseWriter, r *http.Request) {
		parts := strings.Split(r.Header.Get("Parts"), ",")
		w.WriteHeader(http.StatusOK)
		if slices.Contains(parts[:len(parts)-1], part) {
			_ = http.NewResponseController(w).Flush()
			drop(w, r)
			return
		}
		_, _ = w.Write([]byte("id: 1\n\n"))
	}
}

// crashesOf returns the number of crashes recorded for a part.
func (b *testbed) crashesOf(part string) int {
	return len(b.partTable.ReportsOf(time.Now(), suspect.PartFingerprint(part)))
}

// trialsOf returns how many requests have been sent as trials of a held part. The first trial is due a second after the last crash, which
// a test on a busy machine may take.
func (b *testbed) trialsOf(part string) int {
	for _, held := range b.partTable.Held(time.Now()) {
		if held.Part == part {
			return held.Trials
		}
	}
	return 0
}

// Requests that are all different, and crash every endpoint that begins to respond to them through one part of their prompts,
// must be refused after a few crashes. Requests with their other parts must be served all the while.
func TestRequestsThatShareACrashingPartAreRefused(t *testing.T) {
	b := newTestbed(t, crashOn("bad"))
	b.prober = endedProber{}
	fatal := 0
	for i := range 20 {
		own := fmt.Sprint("own-", i)
		for _, sound := range []string{"first," + own, "first,companion," + own, own} {
			require.Equal(t, 200, b.do("/stream/x", map[string]string{"Parts": sound}, own).status, sound)
		}
		before := b.arrivals()
		a := b.do("/stream/x", map[string]string{"Parts": "first,companion,bad," + own}, own)
		if b.arrivals() > before {
			fatal++
			b.dispatcher.endpoints[0].Started++
			require.Eventually(t, func() bool { return b.crashesOf("bad") == fatal }, 5*time.Second, time.Millisecond)
			continue
		}
		require.Equal(t, 503, a.status)
		require.Equal(t, string(result.NotRun), a.header.Get(headerOutcome))
	}
	require.Equal(t, 3, fatal, "requests with the part that reached the endpoint")
}

// Guards against a crashing part that is not looked at because it stands behind many others in the prompt.
func TestCrashingPartBehindManyOthersIsRefused(t *testing.T) {
	for _, n := range []int{70, 1500} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			b := newTestbed(t, crashOn("bad"))
			b.prober = endedProber{}
			companions := make([]string, n)
			for i := range companions {
				companions[i] = fmt.Sprint("c", i)
			}
			before := strings.Join(companions, ",")
			fatal := 0
			for i := range 8 {
				own := fmt.Sprint("own-", i)
				require.Equal(t, 200, b.do("/stream/x", map[string]string{"Parts": before + ",behind," + own}, own).status)
				sent := b.arrivals()
				a := b.do("/stream/x", map[string]string{"Parts": before + ",bad,behind," + own}, own)
				if b.arrivals() > sent {
					fatal++
					b.dispatcher.endpoints[0].Started++
					require.Eventually(t, func() bool { return b.crashesOf("bad") == fatal }, 5*time.Second, time.Millisecond, "the crash counts against the part")
					continue
				}
				require.Equal(t, 503, a.status)
			}
			require.Equal(t, 3+b.trialsOf("bad"), fatal, "requests with the part that reached the endpoint")
		})
	}
}

// crashAfterFirstEvent begins a stream, and drops the connection after its first event, some time later, if a part of the prompt, other
// than the last one, is the given one.
func crashAfterFirstEvent(part string, later time.Duration) handler {
	return func(w http.ResponseWriter, r *http.Request) {
		parts := strings.Split(r.Header.Get("Parts"), ",")
		_, _ = w.Write([]byte("id: 1\n\n"))
		_ = http.NewResponseController(w).Flush()
		if slices.Contains(parts[:len(parts)-1], part) {
			time.Sleep(later)
			drop(w, r)
			return
		}
		_, _ = w.Write([]byte("id: 2\n\n"))
	}
}

// Guards against a crashing part that is never held because each endpoint sends an event before it ends: the beginning of an answer
// clears no part, only a whole one does. Requests with the other parts are served all the while.
func TestPartThatCrashesEndpointsAfterTheirFirstEventIsRefused(t *testing.T) {
	b := newTestbed(t, crashAfterFirstEvent("bad", 2*time.Millisecond))
	b.prober = endedProber{}
	fatal := 0
	for i := range 12 {
		own := fmt.Sprint("own-", i)
		for _, sound := range []string{"first," + own, "first,companion," + own, own} {
			require.Equal(t, "id: 1\n\nid: 2\n\n", b.do("/stream/x", map[string]string{"Parts": sound}, own).body, sound)
		}
		before := b.arrivals()
		a := b.do("/stream/x", map[string]string{"Parts": "first,companion,bad," + own}, own)
		if b.arrivals() > before {
			fatal++
			b.dispatcher.endpoints[0].Started++
			require.Eventually(t, func() bool { return b.crashesOf("bad") == fatal }, 5*time.Second, time.Millisecond, "the crash counts against the part")
			continue
		}
		require.Equal(t, 503, a.status)
		require.Equal(t, string(result.NotRun), a.header.Get(headerOutcome))
	}
	require.Equal(t, 3+b.trialsOf("bad"), fatal, "requests with the part that reached the endpoint")
}

// Guards against sound parts that only long streams have: endpoints that end some time after they have begun to write, many at once or one
// after the other, say nothing of them.
func TestPartsOfLongStreamsAreNotHeldForEndpointsThatEnd(t *testing.T) {
	b := newTestbed(t, crashAfterFirstEvent("long", 300*time.Millisecond))
	b.prober = endedProber{}
	for i := range 4 {
		own := fmt.Sprint("own-", i)
		b.do("/stream/x", map[string]string{"Parts": "long," + own}, own)
		require.Equal(t, 1, b.arrivals())
		b.dispatcher.endpoints[0].Started++
		for len(b.received) > 0 {
			<-b.received
		}
	}
	require.Zero(t, b.crashesOf("long"))
}
