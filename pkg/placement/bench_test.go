package placement

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkCostSearch measures the decisions of a request that is sent to its second home, with 60 engines.
func BenchmarkCostSearch(b *testing.B) {
	var names []string
	for i := range 60 {
		names = append(names, fmt.Sprintf("e%02d", i))
	}
	list := endpoints(names...)
	c := NewCostContext("")
	busy := Forecast{First: 400 * time.Millisecond, Own: 50 * time.Millisecond, Run: time.Second}
	b.ReportAllocs()
	for b.Loop() {
		s := NewCostSearch(c, rankedRequest(0), "g", "s", RankHomes("m/a", list), 3)
		s.Offered(s.Next(start).Endpoint, busy, 0)
		s.Next(start)
		s.End(true, start)
	}
}

// BenchmarkForecast measures the owner's forecast of one request.
func BenchmarkForecast(b *testing.B) {
	l := NewCostLoad(96, 100_000, NewGroupSpeed())
	for i := range 50 {
		l.Add(permitNumber(i), "a", Work{Unread: 500, Memory: 600, Urgency: i % 3}, Forecast{}, start, time.Time{})
		l.MarkStarted(permitNumber(i), 60*time.Millisecond, start)
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Forecast(Work{Unread: 500, Memory: 600, Urgency: 1}, start.Add(time.Second))
	}
}
