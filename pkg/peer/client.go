package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
)

// DialTimeout bounds connecting to a peer, including the TLS handshake. A VM that is gone does not respond
// to a connection attempt, and one that has come back is reached only by a new attempt.
const DialTimeout = 500 * time.Millisecond

// TLSSource returns the TLS configuration for the next connection, so that renewed certificates
// are used without a restart. A nil configuration means plain TCP, which the settings allow on
// loopback addresses only.
type TLSSource func() *tls.Config

// Pool makes calls over one open connection per address, which it dials when needed. It is safe for concurrent use.
type Pool struct {
	tls     TLSSource
	traffic Traffic

	mu      sync.Mutex
	clients map[string]*rpcClient // by address, guarded by mu
	closed  bool                  // guarded by mu
}

// rpcClient makes calls over one connection.
type rpcClient struct {
	*rpc.Client
	conn *countingConn
}

// minUnresponsive is the shortest time without any bytes from the peer after which a connection may count as
// dead.
const minUnresponsive = 50 * time.Millisecond

// unresponsive reports whether nothing has arrived on the connection since a call was sent on it, for at least
// minUnresponsive. A connection can stop delivering data for good while new connections to the same peer work.
func (c *rpcClient) unresponsive(sent, now time.Time) bool {
	return now.Sub(sent) >= minUnresponsive && c.conn.lastRead.Load() < sent.UnixNano()
}

// Traffic counts the bytes received and sent over connections.
type Traffic struct {
	In  metrics.Counter
	Out metrics.Counter
	// Exceeded counts connections that were closed because they exceeded a bound.
	Exceeded metrics.Counter
}

// NewTraffic returns a Traffic with the counters name.bytes_in, name.bytes_out and name.over_limit, registered in registry.
func NewTraffic(registry metrics.Registry, name string) Traffic {
	return Traffic{
		In:  metrics.GetOrRegisterCounter(name+".bytes_in", registry),
		Out: metrics.GetOrRegisterCounter(name+".bytes_out", registry),

		Exceeded: metrics.GetOrRegisterCounter(name+".over_limit", registry),
	}
}

// NewPool returns a Pool that dials with the TLS configurations of source and counts its bytes in traffic.
func NewPool(source TLSSource, traffic Traffic) *Pool {
	return &Pool{tls: source, traffic: traffic, clients: map[string]*rpcClient{}}
}

// Call invokes method at the peer address. A call on a cached connection that had already closed is retried once
// on a new connection: the peer cannot have received it. After a failed call the connection is dropped, unless
// the method itself returned the error, or only ctx has ended and the connection is not unresponsive.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	for attempt := 0; ; attempt++ {
		client, err := p.clientFor(ctx, address)
		if err != nil {
			return err
		}
		sent := time.Now()
		err = p.callOn(ctx, client, method, args, reply)
		if err == nil {
			return nil
		}
		if isMethodError(err) {
			return err
		}
		if ctx.Err() == nil || client.unresponsive(sent, time.Now()) {
			p.drop(address, client)
		}
		if errors.Is(err, rpc.ErrShutdown) && attempt == 0 {
			continue
		}
		return errors.Wrapf(ErrUnreachable, "%s at %s: %v", method, address, err)
	}
}

// isMethodError reports whether err was returned by the called method itself, not by the transport.
func isMethodError(err error) bool {
	var remote rpc.ServerError
	return errors.As(err, &remote)
}

// callOn makes one call over client. The reply may still arrive after ctx has ended, so it is decoded into a
// separate value, which is copied to reply only if the call completes in time.
func (p *Pool) callOn(ctx context.Context, client *rpcClient, method string, args, reply any) error {
	decoded := reflect.New(reflect.TypeOf(reply).Elem())
	call := client.Go(method, args, decoded.Interface(), make(chan *rpc.Call, 1))
	select {
	case done := <-call.Done:
		if done.Error == nil {
			reflect.ValueOf(reply).Elem().Set(decoded.Elem())
		}
		return done.Error
	case <-ctx.Done():
		return ctx.Err()
	}
}

// clientFor returns the cached client for the address, or dials a new one.
func (p *Pool) clientFor(ctx context.Context, address string) (*rpcClient, error) {
	p.mu.Lock()
	cached, ok := p.clients[address]
	closed := p.closed
	p.mu.Unlock()
	if closed {
		return nil, errors.Wrap(ErrUnreachable, "pool is closed")
	}
	if ok {
		return cached, nil
	}
	conn, counting, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return p.addOrReuse(address, &rpcClient{Client: rpc.NewClient(conn), conn: counting}), nil
}

// addOrReuse caches client and returns it. If a concurrent call has already cached a client for the address,
// client is closed and the cached one returned.
func (p *Pool) addOrReuse(address string, client *rpcClient) *rpcClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	existing, ok := p.clients[address]
	if ok {
		_ = client.Close()
		return existing
	}
	p.clients[address] = client
	return client
}

// dial connects to the address. The countingConn is the TCP connection below TLS.
func (p *Pool) dial(ctx context.Context, address string) (net.Conn, *countingConn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	dialer := &net.Dialer{}
	tcpConn, err := dialer.DialContext(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, nil, errors.Wrapf(ErrRefused, "dial %s", address)
	}
	if err != nil {
		return nil, nil, errors.Wrapf(ErrUnreachable, "dial %s: %v", address, err)
	}
	conn := &countingConn{Conn: tcpConn, traffic: p.traffic}
	config := p.tls()
	if config == nil {
		return conn, conn, nil
	}
	secured := tls.Client(conn, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, nil, errors.Wrapf(ErrUnreachable, "handshake with %s: %v", address, err)
	}
	return secured, conn, nil
}

// drop closes client and removes it from the pool.
func (p *Pool) drop(address string, client *rpcClient) {
	p.mu.Lock()
	if p.clients[address] == client {
		delete(p.clients, address)
	}
	p.mu.Unlock()
	_ = client.Close()
}

// Close closes every connection. Later calls fail with ErrUnreachable.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for address, client := range p.clients {
		_ = client.Close()
		delete(p.clients, address)
	}
}

// countingConn counts the bytes read and written, and records when bytes last arrived.
type countingConn struct {
	net.Conn
	traffic Traffic
	// lastRead is when bytes last arrived, in Unix nanoseconds.
	lastRead atomic.Int64
}

// Read reads from the connection and counts the bytes read.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.In.Inc(int64(n))
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// Write writes to the connection and counts the bytes written.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Out.Inc(int64(n))
	return n, err
}
