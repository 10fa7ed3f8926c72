package peer

import (
	"context"
	"crypto/tls"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

// adder is the RPC service that the tests call.
type adder struct{ block chan struct{} }

// AddArgs holds the arguments of Add; the other methods ignore them.
type AddArgs struct{ A, B int }

// Add returns A + B, or an error for negative numbers.
func (a *adder) Add(args AddArgs, reply *int) error {
	if args.A < 0 {
		return errors.New("negative")
	}
	*reply = args.A + args.B
	return nil
}

// Wait blocks until the block channel is closed, and leaves the reply unchanged.
func (a *adder) Wait(_ AddArgs, _ *int) error {
	<-a.block
	return nil
}

// Late blocks until the block channel is closed, and then replies 1.
func (a *adder) Late(_ AddArgs, reply *int) error {
	<-a.block
	*reply = 1
	return nil
}

// noTLS is a TLSSource for plain TCP.
func noTLS() *tls.Config { return nil }

func startServer(t *testing.T, source TLSSource) (*Server, net.Listener) {
	t.Helper()
	logger, _ := test.NewNullLogger()
	server := NewServer(source, NewTraffic(metrics.NewRegistry(), "peer"), logger)
	service := &adder{block: make(chan struct{})}
	require.NoError(t, server.Register("Adder", service))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		close(service.block)
		_ = listener.Close()
		server.Close()
	})
	return server, listener
}

func newPool(t *testing.T) *Pool {
	t.Helper()
	pool := NewPool(noTLS, NewTraffic(metrics.NewRegistry(), "peer"))
	t.Cleanup(pool.Close)
	return pool
}

func TestCallReturnsReplyAndMethodError(t *testing.T) {
	_, listener := startServer(t, noTLS)
	pool := newPool(t)
	var sum int
	require.NoError(t, pool.Call(t.Context(), listener.Addr().String(), "Adder.Add", AddArgs{2, 3}, &sum))
	require.Equal(t, 5, sum)
	err := pool.Call(t.Context(), listener.Addr().String(), "Adder.Add", AddArgs{-1, 3}, &sum)
	require.EqualError(t, err, "negative")
}

func TestCallDistinguishesRefusedFromUnreachable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	var sum int
	pool := newPool(t)
	require.ErrorIs(t, pool.Call(t.Context(), address, "Adder.Add", AddArgs{1, 1}, &sum), ErrRefused)

	_, blocking := startServer(t, noTLS)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	err = pool.Call(ctx, blocking.Addr().String(), "Adder.Wait", AddArgs{}, &sum)
	require.ErrorIs(t, err, ErrUnreachable)
}

func TestCallReconnectsAfterServerRestart(t *testing.T) {
	server, listener := startServer(t, noTLS)
	address := listener.Addr().String()
	pool := newPool(t)
	var sum int
	require.NoError(t, pool.Call(t.Context(), address, "Adder.Add", AddArgs{1, 1}, &sum))
	_ = listener.Close()
	server.Close()
	require.Eventually(t, func() bool {
		return errors.Is(pool.Call(t.Context(), address, "Adder.Add", AddArgs{1, 1}, &sum), ErrRefused)
	}, 5*time.Second, time.Millisecond)
}

// failingListener fails as often as failures says before it accepts connections.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against the end of a process that could not accept a connection, as when its file descriptors run out.
func TestServerSurvivesFailedAccepts(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	log, lines := test.NewNullLogger()
	server := NewServer(noTLS, NewTraffic(metrics.NewRegistry(), "peer"), log)
	require.NoError(t, server.Register("Adder", &adder{}))
	served := make(chan error, 1)
	go func() { served <- server.Serve(&failingListener{Listener: listener, failures: 3}) }()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var sum int
	require.NoError(t, newPool(t).Call(ctx, listener.Addr().String(), "Adder.Add", AddArgs{2, 3}, &sum))
	require.Equal(t, 5, sum)
	require.Len(t, lines.AllEntries(), 3)
	require.NoError(t, listener.Close())
	require.NoError(t, <-served)
	server.Close()
}

func TestServerRejectsClientWithoutTLS(t *testing.T) {
	strict := func() *tls.Config { return &tls.Config{ClientAuth: tls.RequireAndVerifyClientCert} }
	_, listener := startServer(t, strict)
	pool := newPool(t)
	var sum int
	err := pool.Call(t.Context(), listener.Addr().String(), "Adder.Add", AddArgs{1, 1}, &sum)
	require.ErrorIs(t, err, ErrUnreachable)
	require.Zero(t, sum)
}

// A reply that arrives after its call has timed out must not be written to the caller's reply variable.
func TestLateReplyIsDiscarded(t *testing.T) {
	server, listener := startServer(t, noTLS)
	late := &adder{block: make(chan struct{})}
	require.NoError(t, server.Register("Late", late))
	pool := newPool(t)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	reply := 0
	require.Error(t, pool.Call(ctx, listener.Addr().String(), "Late.Late", AddArgs{}, &reply))
	close(late.block)
	sum := 0
	for range 100 {
		require.NoError(t, pool.Call(t.Context(), listener.Addr().String(), "Adder.Add", AddArgs{A: 1, B: 2}, &sum))
		require.Zero(t, reply)
	}
}

// muteFirstListener discards all that is written to its first connection, so that the client sees a connection
// that stays open but delivers no data.
type muteFirstListener struct {
	net.Listener
	accepted int
}

func (l *muteFirstListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted++
	if l.accepted == 1 {
		return &muteConn{Conn: conn}, nil
	}
	return conn, nil
}

// muteConn discards all that is written to it.
type muteConn struct{ net.Conn }

func (c *muteConn) Write(b []byte) (int, error) { return len(b), nil }

// A call on a connection that delivers no data fails when its context ends, and the pool must then drop the
// connection: the next call succeeds over a new one.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	logger, _ := test.NewNullLogger()
	server := NewServer(noTLS, NewTraffic(metrics.NewRegistry(), "peer"), logger)
	require.NoError(t, server.Register("Adder", &adder{block: make(chan struct{})}))
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- server.Serve(&muteFirstListener{Listener: inner}) }()
	pool := NewPool(noTLS, NewTraffic(metrics.NewRegistry(), "peer"))
	defer func() {
		pool.Close()
		_ = inner.Close()
		server.Close()
		require.NoError(t, <-done)
	}()
	call := func(limit time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		var sum int
		return pool.Call(ctx, inner.Addr().String(), "Adder.Add", AddArgs{1, 2}, &sum)
	}
	require.ErrorIs(t, call(2*minUnresponsive), ErrUnreachable)
	require.NoError(t, call(10*time.Second))
}
