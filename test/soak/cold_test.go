package soak

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// What a cold endpoint may get within any one second from all VMs together: coldOverage times coldRate plus coldSlack.
const (
	coldRate    = 6.0
	coldOverage = 1.25
	coldSlack   = 2
	coldTime    = 4 * time.Second
)

// mostWithinASecond returns the greatest number of callers' requests that a run of an endpoint got within any one second
// between two times.
func (w *world) mostWithinASecond(endpoint string, started int64, from, to time.Time) (most, total int) {
	var times []time.Time
	for _, a := range w.audit.Arrivals() {
		if a.Endpoint == endpoint && a.Started == started && !a.At.Before(from) && a.At.Before(to) {
			times = append(times, a.At)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most, len(times)
}

// An endpoint that starts again under load crashes if it gets all requests at once, before the list or after. It must get no
// more than its cold rate until it is warm, and its part of the requests then, whether its address refuses connections while
// it is down or takes and ends them.
func TestRestartedEndpointsGetNoMoreThanTheirColdRate(t *testing.T) {
	for _, accepting := range []bool{false, true} {
		t.Run(fmt.Sprintf("accepting=%v", accepting), func(t *testing.T) {
			w := newWorld(t, binary, 1, 4)
			w.accepting, w.coldTime = accepting, coldTime
			w.accounts = w.accounts[:1]
			w.operate(func(c *configuration) {
				c.Services[0]["cold_per_s"], c.Services[0]["cold_start_s"] = coldRate, coldTime.Seconds()
			})
			c := newCallers(w)
			ctx, cancel := context.WithCancel(t.Context())
			var loops, calls sync.WaitGroup
			defer func() {
				cancel()
				loops.Wait()
			}()
			for _, v := range w.vms {
				w.start(v)
				loops.Go(func() { w.balance(ctx, v) })
			}
			w.awaitReady()
			calling, stop := context.WithCancel(ctx)
			for n := range 40 {
				calls.Go(func() { c.run(calling, n, 1) })
			}
			sleep(ctx, contactTime)
			before := w.alive(serviceGroup)[0]
			w.end(before, false)
			sleep(ctx, 1200*time.Millisecond)
			again := w.startEndpoint(serviceGroup, before)
			require.NotNil(t, again)
			started := time.UnixMilli(again.Started())
			sleep(ctx, coldTime+4*time.Second)
			stop()
			calls.Wait()
			cold, total := w.mostWithinASecond(again.ID(), again.Started(), started, started.Add(coldTime))
			warm, _ := w.mostWithinASecond(again.ID(), again.Started(), started.Add(coldTime+2*time.Second), time.Now())
			t.Logf("most requests within a second: %d of %d while cold, %d once warm", cold, total, warm)
			require.LessOrEqual(t, float64(cold), coldOverage*coldRate+coldSlack)
			require.Positive(t, total, "a cold endpoint must get requests")
			require.Greater(t, float64(warm), coldOverage*coldRate+coldSlack, "a warm endpoint must get more")
		})
	}
}
