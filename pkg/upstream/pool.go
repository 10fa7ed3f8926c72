package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// DefaultDialTimeout bounds the time to connect to an endpoint, which usually takes a few milliseconds. The
	// limit leaves time to try another endpoint within the caller's latency objective.
	DefaultDialTimeout = 250 * time.Millisecond
	// DefaultIdleTimeout is how long an unused connection is kept.
	DefaultIdleTimeout = 4 * time.Second
	// maxIdle bounds the number of idle connections to one endpoint.
	maxIdle = 16
)

// Target is one incarnation of an endpoint at an address.
type Target struct {
	ID string
	// Started identifies the incarnation.
	Started int64
	Address string
}

// pool holds the idle connections to one target.
type pool struct {
	idle []*conn
	// lastUse is when a connection was last taken from the pool or put back.
	lastUse time.Time
}

// Pools holds the idle connections to all endpoints. It is safe for concurrent use.
type Pools struct {
	dialTimeout, idleTimeout time.Duration
	// onLost is Events.OnConnectionLost of the client that uses the pools; nil for none.
	onLost func(Target)

	mu    sync.Mutex
	pools map[Target]*pool // guarded by mu
}

// NewPools returns empty Pools.
func NewPools() *Pools {
	return &Pools{dialTimeout: DefaultDialTimeout, idleTimeout: DefaultIdleTimeout, pools: map[Target]*pool{}}
}

// take returns a reusable idle connection, or nil if there is none. The most recently used connection comes
// first. take closes the connections that it finds unusable.
func (p *Pools) take(target Target, now time.Time) *conn {
	for {
		c := p.pop(target, now)
		if c == nil || now.Sub(c.idleSince) < p.idleTimeout && c.reusable(now) {
			return c
		}
		if p.onLost != nil && now.Sub(c.idleSince) < p.idleTimeout && c.closedEarly(now) {
			p.onLost(target)
		}
		_ = c.Close()
	}
}

// pop removes and returns the most recently used idle connection, or returns nil if there is none.
func (p *Pools) pop(target Target, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry := p.pools[target]
	if entry == nil || len(entry.idle) == 0 {
		return nil
	}
	entry.lastUse = now
	last := len(entry.idle) - 1
	c := entry.idle[last]
	entry.idle[last] = nil
	entry.idle = entry.idle[:last]
	return c
}

// put keeps an idle connection for the next request. If the pool is full, put closes the connection that was
// put there first.
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

// dial opens a connection to the target.
func (p *Pools) dial(ctx context.Context, target Target) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.dialTimeout)
	defer cancel()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", target.Address)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	return newConn(c), nil
}

// Sweep closes the connections that have been idle for too long, and discards unused pools.
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
