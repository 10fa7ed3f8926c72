package request

import (
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/mallowlink/mallowlink/pkg/work/worktest"
)

// BenchmarkRecord measures the latency of calls with and without an at-most-once record, and the
// number of table writes per call. Each table operation takes 1 ms.
func BenchmarkRecord(b *testing.B) {
	for _, key := range []bool{false, true} {
		b.Run(fmt.Sprintf("recorded=%v", key), func(b *testing.B) {
			fx := newFixture(plan(worktest.Plan{Events: 1}), nil)
			fx.table.Latency = time.Millisecond
			latency := hdrhistogram.New(1, 10_000_000, 3)
			calls := 0
			for b.Loop() {
				calls++
				call := newCall(fmt.Sprint("r", calls), "")
				if key {
					call.IdempotencyKey = call.ID
				}
				began := time.Now()
				if e := fx.entries[0].Run(b.Context(), call, &sink{}); e != nil {
					b.Fatal(e)
				}
				if err := latency.RecordValue(time.Since(began).Microseconds()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(latency.ValueAtQuantile(50)), "p50-µs")
			b.ReportMetric(float64(latency.ValueAtQuantile(99)), "p99-µs")
			b.ReportMetric(float64(fx.table.Writes())/float64(calls), "writes/call")
		})
	}
}
