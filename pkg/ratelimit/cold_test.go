package ratelimit

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/dialect"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

// testBounds and testColdRate are those of the deployment that has cold endpoints: 35 requests in any one second.
var testBounds = ColdBounds{Overage: 1.5, Slack: 5}

const (
	testColdRate = 20
	// heartbeat is the time between two writes of an entry, listDelay the longest time until a VM has it.
	heartbeat = 1200 * time.Millisecond
	listDelay = 1400 * time.Millisecond
)

func (f *fleet) coldLimits() map[string]ColdLimit {
	if f.cold.Rate == 0 {
		return nil
	}
	return map[string]ColdLimit{"g": f.cold}
}

// writeEntry has the endpoint write its entry. VMs get it at different times; the home reads it itself.
func (f *fleet) writeEntry() {
	f.mu.Lock()
	if f.down {
		f.mu.Unlock()
		return
	}
	now := time.Now()
	f.entry.Incarnation, f.entry.Group = f.endpoint, "g"
	f.entry.Cold = roster.Cold{Stated: true, Left: max(f.coldUntil.Sub(now), 0), Version: f.entry.Cold.Version + 1}
	vms := len(f.vms)
	f.mu.Unlock()
	for i := range vms {
		f.sends.Go(func() {
			f.mu.Lock()
			delay := listDelay / 2
			if i != f.home {
				delay += rand.N(listDelay / 2)
			}
			f.mu.Unlock()
			time.Sleep(delay)
			f.deliver(i)
		})
	}
}

// deliver gives a VM the present list, as JSON if the VM is not the home.
func (f *fleet) deliver(index int) {
	f.mu.Lock()
	v, e, steward := f.vms[index], f.entry, f.home == index
	limiter := v.limiter
	f.mu.Unlock()
	if !steward {
		if e.Cold.Left == 0 {
			e.Cold.Version = 0
		}
		data, err := json.Marshal(e)
		require.NoError(f.t, err)
		e = roster.Endpoint{}
		require.NoError(f.t, json.Unmarshal(data, &e))
	}
	limiter.Listed([]roster.Endpoint{e}, time.Now().Add(-10*time.Millisecond))
	f.set(func() { v.target = &e.Incarnation })
}

// beat has the endpoint write its entry regularly until ctx ends.
func (f *fleet) beat(ctx context.Context) {
	f.sends.Go(func() {
		for ctx.Err() == nil {
			f.writeEntry()
			select {
			case <-time.After(heartbeat):
			case <-ctx.Done():
			}
		}
	})
}

// restart starts the endpoint anew, cold for a time. Requests to its earlier incarnations no longer count.
func (f *fleet) restart(cold time.Duration) {
	f.set(func() {
		f.endpoint.Started += 1000
		f.coldUntil = time.Now().Add(cold)
		f.arrivals = nil
	})
}

// becomeCold makes the running endpoint cold.
func (f *fleet) becomeCold(cold time.Duration) {
	f.set(func() { f.coldUntil = time.Now().Add(cold) })
}

// mostWithinASecond returns the greatest number of requests that arrived within any one second between two times.
func (f *fleet) mostWithinASecond(from, to time.Time) int {
	f.mu.Lock()
	arrivals := slices.Clone(f.arrivals)
	f.mu.Unlock()
	slices.SortFunc(arrivals, time.Time.Compare)
	most, first := 0, 0
	for i, at := range arrivals {
		if at.Before(from) || at.After(to) {
			first = i + 1
			continue
		}
		for at.Sub(arrivals[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// requireColdRule checks each second from a time until the endpoint is no longer cold.
func (f *fleet) requireColdRule(from time.Time, rate float64) {
	f.t.Helper()
	f.mu.Lock()
	until := f.coldUntil
	f.mu.Unlock()
	allowed := int(rate*testBounds.Overage + testBounds.Slack)
	require.LessOrEqual(f.t, f.mostWithinASecond(from, until), allowed, "requests within one second")
}

// inColdFleet runs a test of a fleet that has a warm endpoint in its list and sends it 400 requests a second.
func inColdFleet(t *testing.T, vms int, run func(f *fleet, interval time.Duration)) {
	inFleet(t, vms, func(f *fleet) {
		ctx, cancel := context.WithCancel(f.ctx)
		defer cancel()
		f.set(func() { f.cold = ColdLimit{Rate: testColdRate, Duration: 8 * time.Second} })
		f.beat(ctx)
		time.Sleep(3 * heartbeat)
		run(f, time.Duration(vms)*2500*time.Microsecond)
	})
}

// An endpoint that has started crashes if all VMs together send it more than its cold rate at once. It gets most of that
// rate, and all requests once it is warm.
func TestRestartedEndpointGetsItsColdRate(t *testing.T) {
	for _, vms := range []int{1, 7, 80, 195} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			inColdFleet(t, vms, func(f *fleet, interval time.Duration) {
				f.run(interval, 2*time.Second)
				f.restart(12 * time.Second)
				restarted := time.Now()
				f.run(interval, 12*time.Second)
				f.requireColdRule(restarted, testColdRate)
				used := f.count(restarted.Add(3*time.Second), 8*time.Second)
				require.GreaterOrEqual(t, used, 8*testColdRate*8/10)
				f.run(interval, 6*time.Second)
				require.GreaterOrEqual(t, f.count(restarted.Add(16*time.Second), 2*time.Second), 700)
			})
		})
	}
}

// A process that takes the place of one that has ended gets requests before its entry is read. VMs whose connections were
// refused must limit them, and so must those that had no request for it.
func TestRestartThatIsNotListedYet(t *testing.T) {
	for _, vms := range []int{1, 7, 80, 195} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			inColdFleet(t, vms, func(f *fleet, interval time.Duration) {
				f.run(interval, 2*time.Second)
				f.set(func() { f.down, f.answersToAll = true, true })
				// Only the first VM notices that the endpoint has ended.
				f.sends.Go(func() { f.send(0) })
				time.Sleep(500 * time.Millisecond)
				f.restart(12 * time.Second)
				f.set(func() { f.down = false })
				restarted := time.Now()
				f.run(interval, 12*time.Second)
				f.requireColdRule(restarted, testColdRate)
				require.GreaterOrEqual(t, f.count(restarted.Add(3*time.Second), 8*time.Second), 8*testColdRate*8/10)
			})
		})
	}
}

// A refused connection to an endpoint that still runs limits it only until its next entries.
func TestRefusedConnectionOfARunningEndpoint(t *testing.T) {
	inColdFleet(t, 7, func(f *fleet, interval time.Duration) {
		f.vms[3].limiter.Refused(f.endpoint)
		refused := time.Now()
		f.run(interval, 6*time.Second)
		require.LessOrEqual(t, f.count(refused, time.Second), 35)
		require.GreaterOrEqual(t, f.count(refused.Add(2*heartbeat+2*listDelay), 300*time.Millisecond), 100)
	})
}

// Endpoints reset connections beyond the number that they accept. A response on a connection from before the refusal, to a
// request from after it, shows at once that the endpoint has not started again; other responses do not.
func TestResponseOnAnOlderConnectionEndsTheDoubt(t *testing.T) {
	for name, c := range map[string]struct {
		opened, sent time.Duration
		limited      bool
	}{
		"sent before":   {-time.Second, -10 * time.Millisecond, true},
		"opened after":  {20 * time.Millisecond, 30 * time.Millisecond, true},
		"on both sides": {-time.Second, 300 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			inFleet(t, 7, func(f *fleet) {
				f.set(func() { f.cold = ColdLimit{Rate: testColdRate, Duration: 8 * time.Second} })
				refused := time.Now()
				l := f.vms[3].limiter
				l.Refused(f.endpoint)
				time.Sleep(350 * time.Millisecond)
				l.ConnectionAlive(f.endpoint, refused.Add(c.opened), refused.Add(c.sent))
				time.Sleep(50 * time.Millisecond)
				for _, v := range []int{0, 3} {
					require.Equal(t, c.limited, f.vms[v].limiter.State("e").Cold.Cold, "VM %d", v)
				}
				require.Equal(t, c.limited, f.vms[3].limiter.Take(f.endpoint).By != "")
			})
		})
	}
}

// A VM that is cut off from the list learns of a restart only from connections that the endpoint has lost. With a list that is
// up to date, a lost connection says nothing.
func TestConnectionLostWhileTheListIsStale(t *testing.T) {
	inFleet(t, 2, func(f *fleet) {
		f.set(func() { f.cold, f.home = ColdLimit{Rate: testColdRate, Duration: 8 * time.Second}, -1 })
		l, age := f.vms[1].limiter, time.Second
		l.cfg.ListAge = func() time.Duration { return age }
		l.ConnectionLost(f.endpoint)
		require.Empty(t, l.Take(f.endpoint).By)
		age = 5 * time.Second
		l.ConnectionLost(f.endpoint)
		require.Equal(t, ByShare, l.Take(f.endpoint).By)
		time.Sleep(8 * time.Second)
		require.Empty(t, l.Take(f.endpoint).By)
	})
}

// An endpoint whose first entry says that it is not cold may not know yet. It gets all requests once a later entry says so,
// and at once if the whole deployment starts for the first time.
func TestFirstEntryOfANewEndpoint(t *testing.T) {
	for _, firstStart := range []bool{false, true} {
		t.Run(fmt.Sprint(firstStart), func(t *testing.T) {
			inFleet(t, 7, func(f *fleet) {
				f.set(func() { f.cold, f.firstStart = ColdLimit{Rate: testColdRate, Duration: 8 * time.Second}, firstStart })
				for i := range f.vms {
					f.start(i, 7)
					f.vms[i].limiter.Listed(nil, time.Now())
				}
				ctx, cancel := context.WithCancel(f.ctx)
				defer cancel()
				listed := time.Now()
				f.beat(ctx)
				time.Sleep(listDelay)
				f.run(17500*time.Microsecond, 4*time.Second)
				early, late := f.count(listed.Add(listDelay), heartbeat-listDelay/2), f.count(listed.Add(listDelay+2*heartbeat), time.Second)
				require.Equal(t, firstStart, early > 100, "%d requests", early)
				require.GreaterOrEqual(t, late, 350)
			})
		})
	}
}

// VMs that start, and VMs that get their first configuration with a cold rate, do not take all endpoints for new ones.
func TestEndpointsInTheFirstListAreNotNew(t *testing.T) {
	inColdFleet(t, 7, func(f *fleet, interval time.Duration) {
		for i := range f.vms {
			f.start(i, 7)
			f.deliver(i)
		}
		f.set(func() { f.arrivals = nil })
		begun := time.Now()
		f.run(interval, time.Second)
		require.GreaterOrEqual(t, f.count(begun, time.Second), 350)
	})
}

// The rule holds although VMs cannot reach the home, while it moves, while no VM holds the lease, while VMs restart, and
// while the list is not updated.
func TestColdRuleHoldsInFaults(t *testing.T) {
	faults := map[string]func(f *fleet, step int){
		"half cut off": func(f *fleet, _ int) {
			f.set(func() { f.cut = func(a, b int) bool { return (a%2 == 0) != (b%2 == 0) } })
		},
		"all cut off": func(f *fleet, _ int) { f.set(func() { f.cut = func(int, int) bool { return true } }) },
		"no home":     func(f *fleet, _ int) { f.set(func() { f.home = -1 }) },
		"cut off and back": func(f *fleet, step int) {
			f.set(func() {
				f.cut = nil
				if step%2 == 0 {
					f.cut = func(a, b int) bool { return (a%2 == 0) != (b%2 == 0) }
				}
			})
		},
		"home moves": func(f *fleet, step int) { f.set(func() { f.home = step % len(f.vms) }) },
		"VMs restart": func(f *fleet, step int) {
			for i := step % 4; i < len(f.vms); i += 4 {
				f.start(i, len(f.vms))
				f.deliver(i)
			}
		},
	}
	for name, fault := range faults {
		for _, vms := range []int{7, 80, 195} {
			t.Run(fmt.Sprintf("%s/%d", name, vms), func(t *testing.T) {
				inColdFleet(t, vms, func(f *fleet, interval time.Duration) {
					f.run(interval, 2*time.Second)
					f.restart(24 * time.Second)
					restarted := time.Now()
					f.run(interval, 3*time.Second)
					for step := range 20 {
						fault(f, step)
						f.run(interval, time.Second)
					}
					f.requireColdRule(restarted, testColdRate)
					require.Positive(t, f.count(restarted.Add(8*time.Second), 14*time.Second), "a VM without the home uses its share")
				})
			})
		}
	}
}

// An endpoint stays limited for its cold time and no longer while the list is not updated, although the same entry is applied
// again and again.
func TestColdTimeRunsOnWhileTheListIsStale(t *testing.T) {
	inFleet(t, 7, func(f *fleet) {
		f.set(func() { f.cold = ColdLimit{Rate: testColdRate, Duration: 8 * time.Second} })
		f.becomeCold(10 * time.Second)
		f.writeEntry()
		time.Sleep(listDelay)
		begun, confirmed := time.Now(), time.Now()
		again := make(chan struct{})
		f.sends.Go(func() {
			defer close(again)
			for range 20 {
				time.Sleep(700 * time.Millisecond)
				for _, v := range f.vms {
					e := f.entry
					if v.index != f.home {
						e.Cold.Version = 0
					}
					v.limiter.Listed([]roster.Endpoint{e}, confirmed)
				}
			}
		})
		f.run(17500*time.Microsecond, 14*time.Second)
		<-again
		f.requireColdRule(begun, testColdRate)
		require.GreaterOrEqual(t, f.count(begun.Add(11*time.Second), time.Second), 350)
	})
}

// A VM that joins reads an entry that was last written long ago, when the endpoint was cold.
func TestOldEntryOfAListSaysNothingOfThePresent(t *testing.T) {
	inFleet(t, 1, func(f *fleet) {
		f.set(func() { f.cold = ColdLimit{Rate: testColdRate} })
		e := roster.Endpoint{Incarnation: f.endpoint, Group: "g", Cold: roster.Cold{Stated: true, Left: 10 * time.Second, Version: 1}}
		l := f.vms[0].limiter
		l.Listed([]roster.Endpoint{e}, time.Now().Add(-time.Minute))
		require.True(t, l.Take(f.endpoint).Granted)
		require.Empty(t, l.Take(f.endpoint).By, "the endpoint must not be limited")
	})
}

// A running endpoint that becomes cold again says so in its responses and its entry. What it got before is known only in
// part, so that the home begins without a burst; soon all VMs keep to the rate.
func TestEndpointThatBecomesColdAgain(t *testing.T) {
	for _, vms := range []int{1, 7, 80, 195} {
		for _, inResponses := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d/%v", vms, inResponses), func(t *testing.T) {
				inColdFleet(t, vms, func(f *fleet, interval time.Duration) {
					f.run(interval, 2*time.Second)
					f.becomeCold(12 * time.Second)
					became, known := time.Now(), heartbeat+listDelay+responseTime
					if inResponses {
						known = time.Second
						info := dialect.ResponseInfo{HasColdLeft: true, ColdLeft: 12 * time.Second}
						f.vms[vms/2].limiter.Observe(f.endpoint, info, time.Now())
					}
					f.run(interval, 12*time.Second)
					f.requireColdRule(became.Add(known), testColdRate)
					f.run(interval, 4*time.Second)
					require.GreaterOrEqual(t, f.count(became.Add(15*time.Second), time.Second), 350)
				})
			})
		}
	}
}

// Endpoints that return to service are limited until an entry that was written later says that they are not cold, on all VMs,
// and for the duration at most if there is none.
func TestReturnedEndpointsAreTreatedAsCold(t *testing.T) {
	for _, listed := range []bool{true, false} {
		t.Run(fmt.Sprint(listed), func(t *testing.T) {
			inFleet(t, 7, func(f *fleet) {
				f.set(func() { f.cold = ColdLimit{Rate: testColdRate, Duration: 8 * time.Second} })
				ctx, cancel := context.WithCancel(f.ctx)
				defer cancel()
				f.beat(ctx)
				time.Sleep(3 * heartbeat)
				if !listed {
					cancel()
					time.Sleep(listDelay)
				}
				returned := time.Now()
				f.mu.Lock()
				e := f.entry
				f.mu.Unlock()
				for i, v := range f.vms {
					f.sends.Go(func() {
						time.Sleep(time.Duration(i) * 100 * time.Millisecond)
						v.limiter.TreatAsCold([]roster.Endpoint{e}, testColdRate, 8*time.Second)
					})
				}
				time.Sleep(time.Second)
				f.run(17500*time.Microsecond, 9*time.Second)
				f.set(func() { f.coldUntil = returned.Add(heartbeat) })
				if !listed {
					f.set(func() { f.coldUntil = returned.Add(8 * time.Second) })
				}
				f.requireColdRule(returned, testColdRate)
				require.GreaterOrEqual(t, f.count(returned.Add(9*time.Second), time.Second), 350)
				if listed {
					require.GreaterOrEqual(t, f.count(returned.Add(5*time.Second), time.Second), 350, "later entries say that the endpoint is not cold")
				}
			})
		})
	}
}

// Endpoints of groups without a cold rate, and calls without a rate or duration, are not limited.
func TestEndpointsWithoutAColdRateAreNotLimited(t *testing.T) {
	inFleet(t, 1, func(f *fleet) {
		l := f.vms[0].limiter
		e := roster.Endpoint{Incarnation: f.endpoint, Group: "g", Cold: roster.Cold{Stated: true, Left: time.Minute, Version: 1}}
		l.Listed([]roster.Endpoint{e}, time.Now())
		l.TreatAsCold([]roster.Endpoint{e}, 0, time.Minute)
		l.TreatAsCold([]roster.Endpoint{e}, 5, 0)
		l.Observe(f.endpoint, dialect.ResponseInfo{HasColdLeft: true, ColdLeft: time.Minute}, time.Now())
		require.Empty(t, l.Take(f.endpoint).By)
		require.Nil(t, l.State("e").Cold)
	})
}

// If an endpoint is cold and states a limit, the lower one holds.
func TestLowerOfColdRateAndStatedLimitHolds(t *testing.T) {
	for _, limit := range []float64{4, 60} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			inColdFleet(t, 7, func(f *fleet, interval time.Duration) {
				f.state(limit)
				f.run(interval, 4*time.Second)
				f.restart(12 * time.Second)
				restarted := time.Now()
				f.run(interval, 12*time.Second)
				f.requireColdRule(restarted, testColdRate)
				f.requireWithin(restarted.Add(contactTime), limit)
				used := float64(f.count(restarted.Add(4*time.Second), 8*time.Second))
				require.GreaterOrEqual(t, used, 0.75*8*min(limit, testColdRate))
				f.run(interval, 8*time.Second)
				require.GreaterOrEqual(t, float64(f.count(restarted.Add(16*time.Second), 4*time.Second)), 0.75*4*limit)
			})
		})
	}
}

// A home of an earlier build ignores that an endpoint is cold and grants everything.
func TestHomeThatKnowsNoColdEndpoints(t *testing.T) {
	inFleet(t, 7, func(f *fleet) {
		f.set(func() { f.cold = ColdLimit{Rate: testColdRate, Duration: 8 * time.Second} })
		f.vms[0].limiter.cfg.Cold = nil
		f.set(func() { f.oldHome = true })
		for _, v := range f.vms[1:] {
			v.limiter.Listed(nil, time.Now())
			v.limiter.Listed([]roster.Endpoint{{Incarnation: f.endpoint, Group: "g"}}, time.Now())
		}
		begun := time.Now()
		for range 400 {
			for _, v := range f.vms[1:] {
				if v.limiter.Take(f.endpoint).Granted {
					f.set(func() { f.arrivals = append(f.arrivals, time.Now()) })
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		f.set(func() { f.coldUntil = begun.Add(8 * time.Second) })
		f.requireColdRule(begun, testColdRate)
	})
}

// What the home grants within a second, what others may use and what it tolerates of requests that it did not grant stay
// within what is allowed, for all rates and bounds.
func TestColdPolicyStaysWithinTheBounds(t *testing.T) {
	for _, overage := range []float64{0, 0.5, 1, 1.2, 1.5, 3} {
		for _, slack := range []float64{0, 1, 2, 5, 50} {
			for _, rate := range []float64{0.1, 0.5, 1, 3, 20, 400} {
				allowed := rate*overage + slack
				p := ColdBounds{Overage: overage, Slack: slack}.policy(rate)
				require.GreaterOrEqual(t, p.burst, 1.0)
				require.GreaterOrEqual(t, p.rate, minRate)
				require.LessOrEqual(t, p.rate, max(rate, minRate))
				if allowed >= 3 {
					require.LessOrEqual(t, p.burst+p.rate+p.shares, allowed, "rate %v, overage %v, slack %v", rate, overage, slack)
				}
				require.LessOrEqual(t, p.shares, max(rate, minRate)*shareOfColdRate+1e-9)
			}
		}
	}
}

// Two VMs that pass the same end of a cold time to each other must not move it on.
func TestColdTimePassedToAndFroDoesNotGrow(t *testing.T) {
	inFleet(t, 2, func(f *fleet) {
		e := roster.Endpoint{Incarnation: f.endpoint, Group: "g"}
		for _, v := range f.vms {
			v.limiter.TreatAsCold([]roster.Endpoint{e}, testColdRate, 4*time.Second)
			time.Sleep(50 * time.Millisecond)
		}
		begun := time.Now()
		f.run(10*time.Millisecond, 6*time.Second)
		require.GreaterOrEqual(t, f.count(begun.Add(4500*time.Millisecond), time.Second), 180)
	})
}
