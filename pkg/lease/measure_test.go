package lease_test

import (
	"bytes"
	"encoding/gob"
	"flag"
	"fmt"
	"reflect"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/mallowlink/mallowlink/pkg/fleettest"
	"github.com/mallowlink/mallowlink/pkg/lease"
)

var (
	measure      = flag.Bool("measure", false, "measure takeover times and control traffic")
	measureSeeds = flag.Int("measure-seeds", 20, "seeds of each measurement")
)

// measureNames are the leases of a deployment: two groups, five accounts and the budget.
var measureNames = []string{
	"group/a", "group/b", "account/1", "account/2", "account/3", "account/4", "account/5", lease.Budget,
}

const warmUp = 30 * time.Second

// TestMeasureTakeover prints how long leases have no other holder after a fault at their holder.
func TestMeasureTakeover(t *testing.T) {
	if !*measure {
		t.Skip("measurement: run with -measure")
	}
	type fault struct {
		name   string
		inject func(*fleet, *fleettest.VM)
	}
	faults := []fault{
		{"process killed", func(f *fleet, v *fleettest.VM) { f.Kill(v) }},
		{"process killed, restarted after 1 s", func(f *fleet, v *fleettest.VM) {
			f.Kill(v)
			time.AfterFunc(time.Second, func() { f.Start(v.ID) })
		}},
		{"VM vanished", func(f *fleet, v *fleettest.VM) { f.Vanish(v) }},
		{"paused for a minute", func(f *fleet, v *fleettest.VM) {
			v.Gate.Close()
			time.AfterFunc(time.Minute, v.Gate.Open)
		}},
		{"planned stop", func(f *fleet, v *fleettest.VM) { go func() { _ = v.Manager.Drain(f.Ctx) }() }},
		{"killed, store down 60 s before", func(f *fleet, v *fleettest.VM) {
			f.Table.SetDown(true)
			time.Sleep(time.Minute)
			f.Kill(v)
		}},
		{"killed and restarted after 1 s, store down 60 s before", func(f *fleet, v *fleettest.VM) {
			f.Table.SetDown(true)
			time.Sleep(time.Minute)
			f.Kill(v)
			time.AfterFunc(time.Second, func() { f.Start(v.ID) })
		}},
	}
	fmt.Println("| fault | VMs | takeovers | median | p99 | max |")
	fmt.Println("|---|---|---|---|---|---|")
	for _, fault := range faults {
		var times []time.Duration
		for seed := range int64(*measureSeeds) {
			runFleet(t, seed+1, 7, measureNames, func(f *fleet) {
				time.Sleep(warmUp + time.Duration(seed)*37*time.Millisecond)
				times = append(times, f.takeovers(fault.inject)...)
			})
		}
		slices.Sort(times)
		at := func(q float64) time.Duration {
			return times[int(q*float64(len(times)-1))].Round(time.Millisecond)
		}
		fmt.Printf("| %s | 7 | %d | %v | %v | %v |\n", fault.name, len(times), at(0.5), at(0.99), at(1))
	}
}

// takeovers injects a fault at the holder of the budget lease, and returns for each of its leases how long it took
// until another VM held the lease; a minute if none did.
func (f *fleet) takeovers(inject func(*fleet, *fleettest.VM)) []time.Duration {
	victim := f.holder(lease.Budget, time.Second)
	var names []string
	for _, name := range measureNames {
		if f.holder(name, time.Second) == victim {
			names = append(names, name)
		}
	}
	inject(f, victim)
	start := time.Now()
	var times []time.Duration
	for len(names) > 0 && time.Since(start) < time.Minute {
		names = slices.DeleteFunc(names, func(name string) bool {
			holders := f.Holders(name)
			taken := len(holders) > 0 && holders[0] != victim
			if taken {
				times = append(times, time.Since(start))
			}
			return taken
		})
		time.Sleep(5 * time.Millisecond)
	}
	for range names {
		times = append(times, time.Minute)
	}
	return times
}

// TestMeasureControlTraffic prints the rates of store calls and of control bytes by fleet size.
func TestMeasureControlTraffic(t *testing.T) {
	if !*measure {
		t.Skip("measurement: run with -measure")
	}
	fmt.Println("| VMs | store reads/s | store writes/s | control bytes/s per VM, sent and received |")
	fmt.Println("|---|---|---|---|")
	for _, n := range []int{3, 5, 7, 14} {
		runFleet(t, 1, n, measureNames, func(f *fleet) {
			meter := newMeter()
			f.Net.Observe = meter.observe
			time.Sleep(warmUp)
			reads, writes := f.Table.Counts()
			before := meter.total()
			const span = time.Minute
			time.Sleep(span)
			readsAfter, writesAfter := f.Table.Counts()
			perSecond := func(n int) float64 { return float64(n) / span.Seconds() }
			// Each byte is sent by one VM and received by another.
			bytesPerVM := 2 * perSecond(meter.total()-before) / float64(n)
			fmt.Printf("| %d | %.1f | %.1f | %.0f |\n", n, perSecond(readsAfter-reads), perSecond(writesAfter-writes), bytesPerVM)
		})
	}
}

// meter counts the bytes of calls as net/rpc encodes them: one gob stream per direction between two VMs,
// with a header for each message.
type meter struct {
	mu      sync.Mutex
	streams map[string]*stream
	bytes   int
}

type stream struct {
	buffer  bytes.Buffer
	encoder *gob.Encoder
}

// header has the same encoded size as the request and response headers of net/rpc.
type header struct {
	ServiceMethod string
	Seq           uint64
}

func newMeter() *meter { return &meter{streams: map[string]*stream{}} }

func (m *meter) observe(from, to, method string, args, reply any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.send(from+">"+to, header{ServiceMethod: method, Seq: 1000}, args)
	m.send(to+">"+from, header{ServiceMethod: method, Seq: 1000}, reply)
}

// send adds the bytes of one message. m.mu is held.
func (m *meter) send(direction string, head header, body any) {
	s := m.streams[direction]
	if s == nil {
		s = &stream{}
		s.encoder = gob.NewEncoder(&s.buffer)
		m.streams[direction] = s
	}
	s.buffer.Reset()
	if err := s.encoder.Encode(head); err != nil {
		panic(err)
	}
	if err := s.encoder.EncodeValue(reflect.Indirect(reflect.ValueOf(body))); err != nil {
		panic(err)
	}
	m.bytes += s.buffer.Len()
}

func (m *meter) total() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bytes
}
