package peer

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/memory"
)

// streamConn is a connection from which a text is read.
type streamConn struct {
	net.Conn
	io.Reader
}

func (c streamConn) Read(p []byte) (int, error)      { return c.Reader.Read(p) }
func (c streamConn) SetReadDeadline(time.Time) error { return nil }

func readerOf(text []byte, limit uint64, budget *memory.Budget) *messageReader {
	r := newMessageReader(streamConn{Reader: bytes.NewReader(text)}, budget)
	r.limit = limit
	return r
}

// gobLength returns n as package gob encodes the length of a message.
func gobLength(n uint64) []byte {
	if n < 0x80 {
		return []byte{byte(n)}
	}
	digits := bytes.TrimLeft(binary.BigEndian.AppendUint64(nil, n), "\x00")
	return append([]byte{byte(0x100 - len(digits))}, digits...)
}

// Guards against messages over a bound reaching the decoder, and against a bound that refuses a message of just its size.
func TestMessagesAreBounded(t *testing.T) {
	message := func(n int, first byte) []byte {
		return append(gobLength(uint64(n)), append([]byte{first}, make([]byte, n-1)...)...)
	}
	const limit = 100_000
	budget := memory.NewBudget(messageMemoryFactor * (limit - freeMessageBytes))
	for _, test := range []struct {
		name string
		text []byte
		want error
	}{
		{"small", message(10, 2), nil},
		{"at the limit", message(limit, 2), nil},
		{"two at the limit", append(message(limit, 2), message(limit, 2)...), nil},
		{"over the limit", message(limit+1, 2), errMessageTooLarge},
		{"types at the limit", message(maxTypeBytes, 1), nil},
		{"types over the limit", append(message(maxTypeBytes, 1), message(1, 1)...), errTypesTooLarge},
		{"length of nine digits", []byte{0xf7, 1, 1, 1, 1, 1, 1, 1, 1, 1}, errBadLength},
		{"length of the largest number", append(append([]byte{0xf8}, bytes.Repeat([]byte{0xff}, 8)...), 2), errMessageTooLarge},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := readerOf(test.text, limit, budget)
			got, err := io.ReadAll(r)
			require.ErrorIs(t, err, test.want)
			if test.want == nil {
				require.Equal(t, test.text, got)
			}
			r.release()
			require.Zero(t, budget.Used())
		})
	}
	require.True(t, budget.Reserve(1))
	_, err := io.ReadAll(readerOf(message(limit, 2), limit, budget))
	require.ErrorIs(t, err, errMessageMemory)
	_, err = io.ReadAll(readerOf(message(freeMessageBytes, 2), limit, budget))
	require.NoError(t, err, "small messages go on while the memory is exhausted")
}

// Guards against a reader that changes the stream, passes on a message over its bound, or keeps memory, whatever arrives and however
// it is cut into reads.
func FuzzMessageReader(f *testing.F) {
	var valid bytes.Buffer
	encoder := gob.NewEncoder(&valid)
	require.NoError(f, encoder.Encode(struct{ A, B string }{"a", strings.Repeat("b", 300)}))
	require.NoError(f, encoder.Encode([]int{1, 2, 3}))
	f.Add(valid.Bytes(), uint16(1000))
	f.Add([]byte{0xfc, 0x20, 0, 0, 0, 2}, uint16(100))
	f.Add([]byte{0xff, 0x80, 0, 0, 1, 1}, uint16(3))
	f.Fuzz(func(t *testing.T, text []byte, limit uint16) {
		budget := memory.NewBudget(1 << 20)
		whole := readerOf(text, uint64(limit), budget)
		got, err := io.ReadAll(whole)
		whole.release()
		require.Zero(t, budget.Used())
		require.True(t, bytes.HasPrefix(text, got))
		pieces := newMessageReader(streamConn{Reader: iotest.OneByteReader(bytes.NewReader(text))}, budget)
		pieces.limit = uint64(limit)
		again, errAgain := io.ReadAll(iotest.OneByteReader(pieces))
		require.Equal(t, got, again)
		require.Equal(t, errors.Is(err, errMessageTooLarge), errors.Is(errAgain, errMessageTooLarge))
		requireBounded(t, got, uint64(limit))
	})
}

// requireBounded walks over the messages of a stream and checks that each is within its bound.
func requireBounded(t *testing.T, text []byte, limit uint64) {
	t.Helper()
	for rest := text; len(rest) > 0; {
		length, used := uint64(rest[0]), 1
		if rest[0] >= 0x80 {
			digits := 0x100 - int(rest[0])
			if len(rest) < 1+digits {
				return
			}
			var number [8]byte
			copy(number[8-digits:], rest[1:1+digits])
			length, used = binary.BigEndian.Uint64(number[:]), 1+digits
		}
		require.LessOrEqual(t, length, max(limit, maxTypeBytes))
		if uint64(len(rest)-used) < length {
			return
		}
		rest = rest[used+int(length):]
	}
}

// Sink is a service that takes arguments of any size.
type Sink struct{ calls chan int }

// SinkArgs are the arguments of Sink.Put.
type SinkArgs struct{ Data []byte }

// Put records the size of its arguments.
func (s *Sink) Put(args *SinkArgs, reply *int) error {
	s.calls <- len(args.Data)
	*reply = len(args.Data)
	return nil
}

func startLimited(t *testing.T, limits Limits) (address string, sink *Sink) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	server := NewServer(noTLS, NewTraffic(metrics.NewRegistry(), "served"), log)
	server.SetLimits(limits)
	sink = &Sink{calls: make(chan int, 10_000)}
	require.NoError(t, server.Register("Sink", sink))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() {
		_ = l.Close()
		server.Close()
	})
	return l.Addr().String(), sink
}

// Guards against bounds that break ordinary calls: of all sizes up to the limit, by many callers at a time, with fewer slots than calls.
func TestCallsWithinTheLimitsAreServed(t *testing.T) {
	const limit = 1 << 20
	address, _ := startLimited(t, Limits{MessageBytes: limit, Memory: memory.NewBudget(4 * limit), Calls: 4, Connections: 4})
	pool := NewPool(noTLS, NewTraffic(metrics.NewRegistry(), "calls"))
	t.Cleanup(pool.Close)
	// The first call opens the connection that the others share; calls that find none open one each, more than the limit.
	var first int
	require.NoError(t, pool.Call(t.Context(), address, "Sink.Put", SinkArgs{}, &first))
	done := make(chan error)
	for i := range 200 {
		go func() {
			var n int
			done <- pool.Call(t.Context(), address, "Sink.Put", SinkArgs{make([]byte, i*100)}, &n)
		}()
	}
	for range 200 {
		require.NoError(t, <-done)
	}
	var n int
	require.NoError(t, pool.Call(t.Context(), address, "Sink.Put", SinkArgs{make([]byte, limit-100)}, &n))
	require.Equal(t, limit-100, n)
	require.Error(t, pool.Call(t.Context(), address, "Sink.Put", SinkArgs{make([]byte, limit)}, &n))
	require.Error(t, pool.Call(t.Context(), address, "Sink."+strings.Repeat("x", maxHeaderMessage), SinkArgs{}, &n))
	require.NoError(t, pool.Call(t.Context(), address, "Sink.Put", SinkArgs{make([]byte, 10)}, &n))
}

// Guards against silent connections that lock out the VMs of the deployment.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	address, _ := startLimited(t, Limits{MessageBytes: 1 << 20, Connections: 2})
	pool := NewPool(noTLS, NewTraffic(metrics.NewRegistry(), "calls"))
	t.Cleanup(pool.Close)
	for range 2 {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
	}
	require.Eventually(t, func() bool {
		var n int
		return pool.Call(t.Context(), address, "Sink.Put", SinkArgs{[]byte("a")}, &n) == nil
	}, 10*time.Second, 50*time.Millisecond)
}
