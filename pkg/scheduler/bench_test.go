package scheduler

import (
	"fmt"
	"math/rand"
	"strconv"
	"testing"
	"time"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/endpoint"
	"github.com/mallowlink/mallowlink/pkg/work"
)

// noPermits grants no load.
type noPermits struct{}

func (noPermits) TryTake(time.Time) bool { return false }

// sizes lists the numbers of adapters and endpoints that one owner serves.
var sizes = []struct{ adapters, endpoints int }{{3000, 9}, {3000, 24}, {10000, 24}, {26000, 24}}

// newPopulatedScheduler returns a scheduler that has a request rate recorded for every adapter and a
// full set of resident adapters on each endpoint.
func newPopulatedScheduler(adapters, endpoints int) *scheduler {
	const slots = 24
	s := New(Config{QueueLimit: adapters * 2, AccountQueueLimit: adapters * 2}, rand.New(rand.NewSource(1)), noPermits{}).(*scheduler)
	s.SetEndpoints(epoch, endpointSpecs(endpoints, slots, 64))
	for i, e := range s.endpoints {
		report := endpoint.LoadReport{Incarnation: "1", Slots: slots}
		for j := range slots {
			report.Loaded = append(report.Loaded, endpoint.LoadedAdapter{AdapterVersion: version(i*slots + j)})
		}
		s.Report(epoch, e.spec.Name, report)
	}
	for i := range adapters {
		s.adapter(version(i)).recordRequest(epoch, s.cfg.RateHalfLife, 1)
	}
	return s
}

// BenchmarkHotPath measures Enqueue, Decide and Finished for an adapter that is resident.
func BenchmarkHotPath(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("adapters=%d/endpoints=%d", size.adapters, size.endpoints), func(b *testing.B) {
			s := newPopulatedScheduler(size.adapters, size.endpoints)
			items := make([]Item, size.endpoints*24)
			for i := range items {
				items[i] = item(i, accountOf(i), i)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now := epoch.Add(time.Duration(i) * time.Millisecond)
				it := &items[i%len(items)]
				it.Deadline = now.Add(30 * time.Second)
				if err := s.Enqueue(now, *it); err != nil {
					b.Fatal(err)
				}
				if len(s.Decide(now)) != 1 {
					b.Fatal("not dispatched")
				}
				s.Finished(now, it.ID, it.Tokens, nil)
			}
		})
	}
}

// BenchmarkColdQueue measures Enqueue, Decide and Finished for a resident adapter while one batch
// item waits for each adapter that is not resident and the load budget is spent.
func BenchmarkColdQueue(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("adapters=%d/endpoints=%d", size.adapters, size.endpoints), func(b *testing.B) {
			s := newPopulatedScheduler(size.adapters, size.endpoints)
			for i := size.endpoints * 24; i < size.adapters; i++ {
				it := item(i, accountOf(i), i)
				it.Class = bundle.Batch
				if err := s.Enqueue(epoch, it); err != nil {
					b.Fatal(err)
				}
			}
			s.Decide(epoch)
			items := make([]Item, size.endpoints*24)
			for i := range items {
				items[i] = item(i, accountOf(i), i)
				items[i].ID = work.AttemptID{Request: "hot" + strconv.Itoa(i)}
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now := epoch.Add(time.Duration(i) * time.Millisecond)
				it := &items[i%len(items)]
				if err := s.Enqueue(now, *it); err != nil {
					b.Fatal(err)
				}
				if len(s.Decide(now)) != 1 {
					b.Fatal("not dispatched")
				}
				s.Finished(now, it.ID, it.Tokens, nil)
			}
		})
	}
}

func accountOf(i int) string { return "account-" + strconv.Itoa(i%5) }
