package entry

import (
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/work"
	"github.com/mallowlink/mallowlink/pkg/work/worktest"
)

const (
	idleConnections = 2000
	slowConnections = 500
)

// BenchmarkConnections reports the memory held by idle connections and by callers that stop sending in the
// middle of a body, and the latency of another caller meanwhile.
func BenchmarkConnections(b *testing.B) {
	s := newTestbed(b, func(*work.Request) worktest.Plan { return worktest.Plan{Events: 1} })
	for b.Loop() {
		before := memoryInUse()
		var conns []net.Conn
		for range idleConnections {
			conns = append(conns, s.dial(b, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"))
		}
		for _, conn := range conns {
			_, err := conn.Read(make([]byte, 512))
			require.NoError(b, err)
		}
		idle := memoryInUse()
		for range slowConnections {
			conns = append(conns, s.dial(b, "POST /issues HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+testKey+"\r\nContent-Length: 4000000\r\n\r\nx"))
		}
		time.Sleep(500 * time.Millisecond)
		slow := memoryInUse()
		latency := hdrhistogram.New(1, 10_000_000, 3)
		for range 500 {
			began := time.Now()
			s.do(b, "GET", "/tags/1", "", nil)
			require.NoError(b, latency.RecordValue(time.Since(began).Microseconds()))
		}
		b.ReportMetric(float64(idle-before)/idleConnections, "B/idle")
		b.ReportMetric(float64(slow-idle)/slowConnections, "B/slow")
		b.ReportMetric(float64(slow-before)/(1<<20), "MiB")
		b.ReportMetric(float64(latency.ValueAtQuantile(50)), "p50-µs")
		b.ReportMetric(float64(latency.ValueAtQuantile(99)), "p99-µs")
		for _, conn := range conns {
			conn.Close()
		}
	}
}

func (s *testbed) dial(b *testing.B, request string) net.Conn {
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	require.NoError(b, err)
	_, err = fmt.Fprint(conn, request)
	require.NoError(b, err)
	return conn
}

// memoryInUse returns the bytes of heap and stacks in use after a collection.
func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
