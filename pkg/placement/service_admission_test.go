package placement

import (
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// overloadModel is a service of some endpoints with few slots and a queue, which is called by many VMs.
type overloadModel struct {
	random    *rand.Rand
	endpoints []overloadedEndpoint
	admission []*ServiceAdmission // by VM; nil if there is none
	inTime    int
	late      int
	refused   map[string]int
}

// overloadedEndpoint is an endpoint: the times at which its requests will end, per slot, and the requests it holds.
type overloadedEndpoint struct {
	free []time.Time
	ends []time.Time
}

const (
	modelSlots     = 6
	modelQueue     = 24
	modelWork      = 30 * time.Millisecond
	modelObjective = 150 * time.Millisecond
)

func newOverloadModel(seed int64, vms int, shed bool) *overloadModel {
	m := &overloadModel{random: rand.New(rand.NewSource(seed)), refused: map[string]int{}}
	for range 3 {
		m.endpoints = append(m.endpoints, overloadedEndpoint{free: make([]time.Time, modelSlots)})
	}
	for range vms {
		if shed {
			m.admission = append(m.admission, NewServiceAdmission(m.random.Float64))
		}
	}
	return m
}

// outcome is what a VM learns of a request, at the time at which it learns it.
type outcome struct {
	at       time.Time
	vm       int
	rejected bool
	after    time.Duration
}

// offer sends a request to a random endpoint and returns what its VM learns.
func (m *overloadModel) offer(vm int, account string, now time.Time) (outcome, bool) {
	if m.admission != nil {
		r := ServiceRequest{Group: "g", Route: "r", Account: account, TimeLimit: time.Second}
		if _, ok := m.admission[vm].Admit(r, now); !ok {
			m.refused[account]++
			return outcome{}, false
		}
	}
	q := &m.endpoints[m.random.Intn(len(m.endpoints))]
	held := q.ends[:0]
	for _, end := range q.ends {
		if end.After(now) {
			held = append(held, end)
		}
	}
	q.ends = held
	if len(held) >= modelSlots+modelQueue {
		m.refused[account]++
		return outcome{at: now, vm: vm, rejected: true}, true
	}
	slot := 0
	for i, free := range q.free {
		if free.Before(q.free[slot]) {
			slot = i
		}
	}
	begin := q.free[slot]
	if begin.Before(now) {
		begin = now
	}
	end := begin.Add(time.Duration((0.5 + m.random.Float64()) * float64(modelWork)))
	q.free[slot] = end
	q.ends = append(q.ends, end)
	if end.Sub(now) <= modelObjective {
		m.inTime++
	} else {
		m.late++
	}
	return outcome{at: end, vm: vm, after: end.Sub(now)}, true
}

// run offers requests of the accounts, at rates per second, for a time.
func (m *overloadModel) run(length time.Duration, rates map[string]float64) {
	begin := time.Unix(1_700_000_000, 0)
	var pending []outcome
	const tick = time.Millisecond
	for now := begin; now.Sub(begin) < length; now = now.Add(tick) {
		rest := pending[:0]
		for _, o := range pending {
			if o.at.After(now) {
				rest = append(rest, o)
				continue
			}
			if m.admission == nil {
				continue
			}
			if o.rejected {
				m.admission[o.vm].Rejected("g", now)
			} else {
				m.admission[o.vm].Responded("g", o.after, modelObjective, now)
			}
		}
		pending = rest
		for _, account := range []string{"a", "b", "c", "flood"} {
			for n := rates[account] * tick.Seconds(); n > 0; n-- {
				if m.random.Float64() < n {
					if o, sent := m.offer(m.random.Intn(77), account, now); sent {
						pending = append(pending, o)
					}
				}
			}
		}
	}
}

// Demand of one and a half times the capacity of a service, over 77 VMs that each see a few requests a second. Without admission
// the queues are always full, and most responses late. The capacity in time is 600 requests a second.
func TestServiceBeyondItsCapacityServesInTime(t *testing.T) {
	for seed := range int64(3) {
		rates := map[string]float64{"a": 300, "b": 300, "c": 300}
		without, with := newOverloadModel(seed, 77, false), newOverloadModel(seed, 77, true)
		without.run(6*time.Second, rates)
		with.run(6*time.Second, rates)
		t.Logf("seed %d: in time %d, late %d without admission; in time %d, late %d with it", seed, without.inTime, without.late, with.inTime, with.late)
		require.Greater(t, with.inTime, without.inTime)
		require.Greater(t, float64(with.inTime), 0.9*600*6, "of the requests that the service can serve")
	}
}

// A service within its capacity must refuse nothing: not because of single slow responses, and not because an account sends more
// than usual.
func TestServiceWithinItsCapacityRefusesNothing(t *testing.T) {
	m := newOverloadModel(1, 77, true)
	m.run(10*time.Second, map[string]float64{"a": 100, "b": 100, "c": 50, "flood": 100})
	require.Empty(t, m.refused)
}

// An account that sends many times its usual displaces its own requests first.
func TestFloodingAccountIsRefusedFirst(t *testing.T) {
	a := NewServiceAdmission(rand.New(rand.NewSource(1)).Float64)
	now := time.Unix(1_700_000_000, 0)
	refused := map[string]int{}
	asked := map[string]int{}
	for step := range 3000 {
		now = now.Add(10 * time.Millisecond)
		overloaded := step >= 2000
		if step%50 == 0 {
			for _, account := range []string{"small", "flood"} {
				n := 1
				if overloaded && account == "flood" {
					n = 8
				}
				for range n {
					if _, ok := a.Admit(ServiceRequest{Group: "g", Account: account}, now); !ok {
						refused[account]++
					}
					asked[account]++
				}
			}
		}
		if overloaded {
			a.record("g", step%2 == 0, now)
		}
	}
	share := func(account string) float64 { return float64(refused[account]) / float64(asked[account]) }
	t.Logf("refused: small %.2f, flood %.2f", share("small"), share("flood"))
	require.Greater(t, share("flood"), 1.5*share("small"))
}

// A caller that comes back as it was asked to must be refused less often than a new one.
func TestReturnedCallerIsPreferred(t *testing.T) {
	a := NewServiceAdmission(rand.New(rand.NewSource(1)).Float64)
	now := time.Unix(1_700_000_000, 0)
	refused := map[time.Duration]int{}
	for range 1000 {
		for _, limit := range []time.Duration{1500 * time.Millisecond, time.Second} {
			a.group("g").overload, a.group("g").at = 0.6, now
			if retryAfter, ok := a.Admit(ServiceRequest{Group: "g", Route: "r", TimeLimit: limit}, now); !ok {
				refused[limit]++
				require.GreaterOrEqual(t, retryAfter, minServiceReturn)
				require.LessOrEqual(t, retryAfter, maxServiceReturn)
			}
		}
	}
	require.Less(t, float64(refused[time.Second]), 0.6*float64(refused[1500*time.Millisecond]))
}
