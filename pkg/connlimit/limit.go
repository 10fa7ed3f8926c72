// Package connlimit limits the resources that connections from callers (the programs that send requests to the
// gateway) can hold on a VM: the number of open connections, and the time for which a connection may stay open
// without a request.
package connlimit

import (
	"net"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
)

// Names of the metrics of callers' connections: those open now, and those closed at once because they were over
// the limit.
const (
	MetricConnections        = "entry.connections"
	MetricConnectionsRefused = "entry.connections_refused"
)

// LimitListener returns a listener that accepts connections from l and closes those over max open connections at once,
// so that the load balancer tries another VM. refusals, which may be nil, records from where these came.
func LimitListener(l net.Listener, max int, registry metrics.Registry, refusals *Refusals) net.Listener {
	return &limitListener{
		Listener: l,
		max:      int64(max),
		refused:  metrics.GetOrRegisterCounter(MetricConnectionsRefused, registry),
		gauge:    metrics.GetOrRegisterGauge(MetricConnections, registry),
		refusals: refusals,
	}
}

// limitListener is a listener with a maximum number of open connections.
type limitListener struct {
	net.Listener
	max     int64
	open    atomic.Int64
	refused metrics.Counter
	gauge   metrics.Gauge

	refusals *Refusals
}

// Accept waits for the next connection within the limit, and closes those over the limit.
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
		l.refusals.record(MetricConnectionsRefused, conn.RemoteAddr())
		// Nothing has been read from the connection, so no request is lost.
		_ = conn.Close()
	}
}

// limitedConn is an open connection that counts towards the limit of its listener.
type limitedConn struct {
	net.Conn
	listener *limitListener
	closed   atomic.Bool
}

// SetLinger sets the behavior of Close as net.TCPConn.SetLinger does.
func (c *limitedConn) SetLinger(sec int) error { return setLinger(c.Conn, sec) }

// CloseWrite ends the sending side of the connection.
func (c *limitedConn) CloseWrite() error { return closeWrite(c.Conn) }

// NetConn returns the connection that c wraps.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }

// Close closes the connection, which then no longer counts towards the limit. It may be called more than once.
func (c *limitedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.listener.gauge.Update(c.listener.open.Add(-1))
	}
	return c.Conn.Close()
}
