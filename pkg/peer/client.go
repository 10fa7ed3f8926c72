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

// DialTimeout bounds connecting to a peer, with the TLS handshake. A machine that is gone does not answer,
// and one that is back needs a new attempt.
const DialTimeout = 500 * time.Millisecond

// TLSSource returns the TLS configuration for the next connection, so that renewed certificates
// are used without a restart. A nil configuration means plain TCP, which settings allow on
// loopback only.
type TLSSource func() *tls.Config

// Pool is a Caller that keeps one connection per address. It is safe for concurrent use.
type Pool struct {
	tls     TLSSource
	traffic Traffic

	mu      sync.Mutex
	clients map[string]*client // by address
	closed  bool
}

// client is the calls over one connection.
type client struct {
	*rpc.Client
	conn *countingConn
}

// minSilence is the least time without an answer after which a connection counts as dead.
const minSilence = 50 * time.Millisecond

// silent reports whether nothing has arrived on the connection since a call was sent on it. Connections
// can fall silent for good while new ones work.
func (c *client) silent(sent, now time.Time) bool {
	return now.Sub(sent) >= minSilence && c.conn.lastRead.Load() < sent.UnixNano()
}

// Traffic counts the bytes that pass through connections.
type Traffic struct {
	In  metrics.Counter
	Out metrics.Counter
}

// NewTraffic registers the counters name.bytes_in and name.bytes_out.
func NewTraffic(registry metrics.Registry, name string) Traffic {
	return Traffic{
		In:  metrics.GetOrRegisterCounter(name+".bytes_in", registry),
		Out: metrics.GetOrRegisterCounter(name+".bytes_out", registry),
	}
}

// NewPool returns a pool that dials with the given TLS configuration.
func NewPool(source TLSSource, traffic Traffic) *Pool {
	return &Pool{tls: source, traffic: traffic, clients: map[string]*client{}}
}

// Call implements Caller. A call on a cached connection that had already ended is sent once more
// on a new one, because it cannot have arrived.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	for attempt := 0; ; attempt++ {
		client, err := p.client(ctx, address)
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
		if ctx.Err() == nil || client.silent(sent, time.Now()) {
			p.drop(address, client)
		}
		if errors.Is(err, rpc.ErrShutdown) && attempt == 0 {
			continue
		}
		return errors.Wrapf(ErrUnreachable, "%s at %s: %v", method, address, err)
	}
}

func isMethodError(err error) bool {
	var remote rpc.ServerError
	return errors.As(err, &remote)
}

// callOn makes one call. The reply of a call that has been given up may still arrive, so it is decoded
// into a value of its own, which is copied to reply only if the call ends in time.
func (p *Pool) callOn(ctx context.Context, client *client, method string, args, reply any) error {
	arrived := reflect.New(reflect.TypeOf(reply).Elem())
	call := client.Go(method, args, arrived.Interface(), make(chan *rpc.Call, 1))
	select {
	case done := <-call.Done:
		if done.Error == nil {
			reflect.ValueOf(reply).Elem().Set(arrived.Elem())
		}
		return done.Error
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *Pool) client(ctx context.Context, address string) (*client, error) {
	p.mu.Lock()
	known, ok := p.clients[address]
	closed := p.closed
	p.mu.Unlock()
	if closed {
		return nil, errors.Wrap(ErrUnreachable, "pool is closed")
	}
	if ok {
		return known, nil
	}
	conn, counting, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return p.keep(address, &client{Client: rpc.NewClient(conn), conn: counting}), nil
}

// keep stores client unless another call has connected meanwhile, and returns the one to use.
func (p *Pool) keep(address string, client *client) *client {
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

func (p *Pool) dial(ctx context.Context, address string) (net.Conn, *countingConn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	dialer := &net.Dialer{}
	plain, err := dialer.DialContext(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, nil, errors.Wrapf(ErrRefused, "dial %s", address)
	}
	if err != nil {
		return nil, nil, errors.Wrapf(ErrUnreachable, "dial %s: %v", address, err)
	}
	conn := &countingConn{Conn: plain, traffic: p.traffic}
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

func (p *Pool) drop(address string, client *client) {
	p.mu.Lock()
	if p.clients[address] == client {
		delete(p.clients, address)
	}
	p.mu.Unlock()
	_ = client.Close()
}

// Close ends every connection. Later calls fail with ErrUnreachable.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for address, client := range p.clients {
		_ = client.Close()
		delete(p.clients, address)
	}
}

type countingConn struct {
	net.Conn
	traffic Traffic
	// lastRead is when bytes arrived last, in Unix nanoseconds.
	lastRead atomic.Int64
}

// Read counts the bytes read.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.In.Inc(int64(n))
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// Write counts the bytes written.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Out.Inc(int64(n))
	return n, err
}
