package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// DefaultDialTimeout bounds connecting to an endpoint, which takes a few milliseconds. It leaves
	// time for another endpoint before a caller's objective has passed.
	DefaultDialTimeout = 250 * time.Millisecond
	// DefaultIdleTimeout is how long an unused connection is kept.
	DefaultIdleTimeout = 4 * time.Second
	// maxIdle bounds the idle connections to one endpoint.
	maxIdle = 16
)

// Target is one run of an endpoint at an address.
type Target struct {
	ID      string
	Started int64
	Address string
}

// pool keeps the idle connections to one target.
type pool struct {
	idle []*conn
	// lastUse is when the pool was used last.
	lastUse time.Time
}

// Pools keep connections to endpoints. It is safe for concurrent use.
type Pools struct {
	dialTimeout, idleTimeout time.Duration

	mu    sync.Mutex
	pools map[Target]*pool // guarded by mu
}

// NewPools returns pools without connections.
func NewPools() *Pools {
	return &Pools{dialTimeout: DefaultDialTimeout, idleTimeout: DefaultIdleTimeout, pools: map[Target]*pool{}}
}

// take returns an idle connection that is still good, or nil. The connection used last comes first.
func (p *Pools) take(target Target, now time.Time) *conn {
	for {
		c := p.pop(target, now)
		if c == nil || now.Sub(c.idleSince) < p.idleTimeout && c.fresh(now) {
			return c
		}
		_ = c.Close()
	}
}

func (p *Pools) pop(target Target, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.pools[target]
	if pool == nil || len(pool.idle) == 0 {
		return nil
	}
	pool.lastUse = now
	last := len(pool.idle) - 1
	c := pool.idle[last]
	pool.idle[last] = nil
	pool.idle = pool.idle[:last]
	return c
}

// put keeps a connection for the next request.
func (p *Pools) put(target Target, c *conn, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry := p.pools[target]
	if entry == nil {
		entry = &pool{}
		p.pools[target] = entry
	}
	entry.lastUse = now
	if len(entry.idle) >= maxIdle {
		_ = entry.idle[0].Close()
		entry.idle = append(entry.idle[:0], entry.idle[1:]...)
	}
	entry.idle = append(entry.idle, c)
}

// dial opens a connection.
func (p *Pools) dial(ctx context.Context, target Target) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.dialTimeout)
	defer cancel()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", target.Address)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	return newConn(c), nil
}

// Sweep closes the connections that have been idle for too long, and forgets unused pools.
func (p *Pools) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for target, entry := range p.pools {
		kept := entry.idle[:0]
		for _, c := range entry.idle {
			if now.Sub(c.idleSince) < p.idleTimeout {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		clear(entry.idle[len(kept):])
		entry.idle = kept
		if len(kept) == 0 && now.Sub(entry.lastUse) >= p.idleTimeout {
			delete(p.pools, target)
		}
	}
}

// Close closes all idle connections.
func (p *Pools) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for target, entry := range p.pools {
		for _, c := range entry.idle {
			_ = c.Close()
		}
		delete(p.pools, target)
	}
}
