package soak

import (
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// way is what a proxy does with what passes.
type way struct {
	// refuse closes new connections at once.
	refuse bool
	// silent passes nothing on, in either direction; halfSilent nothing towards the server.
	silent, halfSilent bool
	// delay holds each piece up. lost is the share of the pieces towards the server that arrive with their retransmission only.
	delay time.Duration
	lost  float64
}

// proxy passes connections on to a server, with the faults of the network between.
type proxy struct {
	mu sync.Mutex
	// The fields below are guarded by mu.

	listener net.Listener
	closed   bool
	target   string
	way      way
	conns    map[net.Conn]any
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &proxy{listener: l, target: target, conns: map[net.Conn]any{}}
	go p.accept(l)
	t.Cleanup(p.shut)
	return p
}

func (p *proxy) address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener.Addr().String()
}

// shut ends every connection and refuses new ones, as the host of a process that has ended does.
func (p *proxy) shut() {
	p.mu.Lock()
	_ = p.listener.Close()
	p.closed = true
	p.mu.Unlock()
	p.reset()
}

// retarget passes connections at the same address on to another server. It reports false if the address cannot be had.
func (p *proxy) retarget(target string) bool {
	l, err := net.Listen("tcp", p.address())
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil && !p.closed {
		// The proxy has gone on taking connections.
		p.target = target
		return true
	}
	if err != nil {
		return false
	}
	p.listener, p.target, p.closed = l, target, false
	go p.accept(l)
	return true
}

func (p *proxy) set(w way) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.way = w
}

func (p *proxy) now() way {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.way
}

// reset closes every open connection.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) accept(l net.Listener) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		if p.now().refuse {
			_ = in.Close()
			continue
		}
		go p.pass(in)
	}
}

func (p *proxy) pass(in net.Conn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	out, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		_ = in.Close()
		return
	}
	p.mu.Lock()
	p.conns[in], p.conns[out] = nil, nil
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(out, in, true) })
	both.Go(func() { p.copy(in, out, false) })
	both.Wait()
	_, _ = in.Close(), out.Close()
	p.mu.Lock()
	delete(p.conns, in)
	delete(p.conns, out)
	p.mu.Unlock()
}

// copy passes on what is read until either side ends. What is read while the proxy is silent is lost.
func (p *proxy) copy(to, from net.Conn, towardsServer bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		w := p.now()
		time.Sleep(w.delay)
		if towardsServer && rand.Float64() < w.lost {
			time.Sleep(retransmission)
		}
		lost := w.silent || w.halfSilent && towardsServer
		if lost {
			// A silent connection stays so: bytes that come later must not follow those that were lost.
			for err == nil {
				_, err = from.Read(buffer)
			}
		}
		if n > 0 && !lost {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				err = failed
			}
		}
		if err != nil {
			_, _ = to.Close(), from.Close()
			return
		}
	}
}
