// Package callers bounds what callers' connections can make a VM hold: their number, and how long they may
// stay without a request.
package callers

import (
	"net"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
)

// Metrics of callers' connections: those that are open, and those that were refused beyond the limit.
const (
	MetricConnections        = "entry.connections"
	MetricConnectionsRefused = "entry.connections_refused"
)

// Limit closes connections beyond max at once, so that the balancer turns to another VM.
func Limit(l net.Listener, max int, registry metrics.Registry) net.Listener {
	return &limitListener{
		Listener: l,
		max:      int64(max),
		refused:  metrics.GetOrRegisterCounter(MetricConnectionsRefused, registry),
		gauge:    metrics.GetOrRegisterGauge(MetricConnections, registry),
	}
}

type limitListener struct {
	net.Listener
	max     int64
	open    atomic.Int64
	refused metrics.Counter
	gauge   metrics.Gauge
}

// Accept waits for a connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.max {
			l.gauge.Update(l.open.Load())
			return &limitedConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		l.refused.Inc(1)
		// Nothing was read from the connection, and nothing is lost with it.
		_ = conn.Close()
	}
}

type limitedConn struct {
	net.Conn
	listener *limitListener
	closed   atomic.Bool
}

// Close closes the connection and frees its place.
func (c *limitedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.listener.gauge.Update(c.listener.open.Add(-1))
	}
	return c.Conn.Close()
}
