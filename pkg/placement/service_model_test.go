package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/roster"
)

// serviceModel runs plain services with a few slots and a bounded queue in virtual time, called by several VMs.
type serviceModel struct {
	policy   string
	rng      *rand.Rand
	now      time.Time
	seq      int
	events   modelEvents
	list     []roster.Endpoint
	slow     func(service int, at time.Duration) float64
	busy     []int
	waiting  [][]func()
	vms      []*serviceVM
	requests int
	inTime   int
	rejected int
	far      int
}

// serviceVM is what a VM knows of the services.
type serviceVM struct {
	domain      string
	services    *Services
	outstanding []int
	latency     []time.Duration
}

const (
	modelServices     = 12
	modelServiceSlots = 6
	modelServiceQueue = 24
	modelServiceTime  = 40 * time.Millisecond
	serviceObjective  = 150 * time.Millisecond
)

// runServices returns the state after four seconds at a rate of requests a second.
func runServices(policy string, rate float64, slow func(int, time.Duration) float64) *serviceModel {
	m := &serviceModel{policy: policy, rng: rand.New(rand.NewPCG(1, 1)), now: start, slow: slow}
	for i := range modelServices {
		m.list = append(m.list, roster.Endpoint{
			Incarnation: roster.Incarnation{ID: fmt.Sprintf("s%02d", i), Started: int64(i)}, Group: "g", Slots: modelServiceSlots, FailureDomain: fmt.Sprint(i % 4),
		})
	}
	m.busy, m.waiting = make([]int, modelServices), make([][]func(), modelServices)
	for i := range 12 {
		m.vms = append(m.vms, &serviceVM{fmt.Sprint(i % 4), NewServices(), make([]int, modelServices), make([]time.Duration, modelServices)})
	}
	for at := time.Duration(0); at < 4*time.Second; at += time.Duration(m.rng.ExpFloat64() / rate * float64(time.Second)) {
		vm, arrived := m.vms[m.rng.IntN(len(m.vms))], start.Add(at)
		m.at(arrived, func() { m.call(vm, arrived, 0) })
	}
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		e.run()
	}
	return m
}

func (m *serviceModel) at(t time.Time, run func()) {
	m.seq++
	heap.Push(&m.events, modelEvent{t, m.seq, run})
}

func (m *serviceModel) pick(vm *serviceVM) int {
	outstanding := func(e roster.Endpoint) int { return vm.outstanding[e.Started] }
	var e roster.Endpoint
	switch m.policy {
	case costPolicy:
		e, _ = vm.services.Pick(m.list, outstanding, vm.domain, serviceObjective, m.rng.IntN, m.now)
	case homesPolicy:
		cost := func(e roster.Endpoint) time.Duration {
			return ServiceCost(vm.latency[e.Started], vm.outstanding[e.Started])
		}
		e, _ = PickService(m.list, cost, vm.domain, m.rng.IntN)
	default:
		cost := func(e roster.Endpoint) time.Duration { return time.Duration(vm.outstanding[e.Started]) }
		e, _ = PickService(m.list, cost, vm.domain, m.rng.IntN)
	}
	return int(e.Started)
}

// call sends a request to a service, and to another one if the first is full, three times at most.
func (m *serviceModel) call(vm *serviceVM, arrived time.Time, tries int) {
	i, sent := m.pick(vm), m.now
	if m.list[i].FailureDomain != vm.domain {
		m.far++
	}
	if m.busy[i] >= modelServiceSlots && len(m.waiting[i]) >= modelServiceQueue {
		m.rejected++
		vm.services.Full(m.list[i], m.now)
		if tries < 2 {
			m.at(m.now.Add(time.Millisecond), func() { m.call(vm, arrived, tries+1) })
			return
		}
		m.requests++
		return
	}
	vm.outstanding[i]++
	serve := func() { m.serve(vm, i, sent, arrived) }
	if m.busy[i] < modelServiceSlots {
		m.busy[i]++
		serve()
		return
	}
	m.waiting[i] = append(m.waiting[i], serve)
}

func (m *serviceModel) serve(vm *serviceVM, i int, sent, arrived time.Time) {
	took := time.Duration(m.rng.ExpFloat64() * float64(modelServiceTime) * m.slow(i, m.now.Sub(start)))
	m.at(m.now.Add(took), func() {
		vm.outstanding[i]--
		m.requests++
		if m.now.Sub(arrived) <= serviceObjective {
			m.inTime++
		}
		vm.learn(m.list[i], m.now.Sub(sent), m.now)
		if len(m.waiting[i]) == 0 {
			m.busy[i]--
			return
		}
		next := m.waiting[i][0]
		m.waiting[i] = m.waiting[i][1:]
		next()
	})
}

// learn records a time as Services does, and as the dispatcher does without the switch.
func (vm *serviceVM) learn(e roster.Endpoint, after time.Duration, now time.Time) {
	vm.services.Served(e, after, now)
	latency := &vm.latency[e.Started]
	if *latency == 0 || after > *latency {
		*latency = after
		return
	}
	*latency += time.Duration(0.2 * float64(after-*latency))
}

// Guards against a load under which plain services chosen by expected finish are in time less often than by the other
// logics.
func TestServicePatterns(t *testing.T) {
	steady := func(int, time.Duration) float64 { return 1 }
	periods := func(service int, at time.Duration) float64 {
		if (int(at/(500*time.Millisecond))+service)%7 == 0 {
			return 4
		}
		return 1
	}
	for _, c := range []struct {
		name string
		rate float64
		slow func(int, time.Duration) float64
	}{
		{"usual load", 700, steady},
		{"a quarter at half speed", 1100, quarterAtHalfSpeed},
		{"slow periods of half a second", 900, periods},
		{"nearly full", 1500, steady},
	} {
		t.Run(c.name, func(t *testing.T) {
			share := map[string]float64{}
			for _, policy := range []string{leastLoadedPolicy, homesPolicy, costPolicy} {
				m := runServices(policy, c.rate, c.slow)
				share[policy] = float64(m.inTime) / float64(m.requests)
				t.Logf("%-12s in time %.1f %%, refused by services %d, to other failure domains %.1f %%", policy, 100*share[policy], m.rejected, 100*float64(m.far)/float64(m.requests))
			}
			require.Greater(t, share[costPolicy], share[homesPolicy]-0.02)
		})
	}
}
