package httpresponse

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// uploadBytes is the size of a request that does not fit into the buffers of the system.
const uploadBytes = 16 << 20

// pair returns a connection on which a request is expected, and the server's end of it.
func pair(t *testing.T) (*Conn, *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	near, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	far, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		near.Close()
		far.Close()
	})
	c := NewConn(near)
	c.Begin()
	return c, far.(*net.TCPConn)
}

// upload writes a long request. The result is closed when that has ended without an error.
func upload(t *testing.T, c *Conn) chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer c.EndRequest()
		for range uploadBytes >> 20 {
			n, err := c.Write(make([]byte, 1<<20))
			if err != nil || n != 1<<20 {
				t.Errorf("write: %d, %v", n, err)
				return
			}
		}
	}()
	return ended
}

const unframed = "HTTP/1.1 200 OK\r\n\r\nbody"

// Guards against taking a reset, of which only the write learns, for the orderly end of a response.
func TestResetDuringAWriteIsReadAfterTheResponse(t *testing.T) {
	for range 20 {
		c, server := pair(t)
		written := upload(t, c)
		_, err := io.ReadFull(server, make([]byte, 1000))
		require.NoError(t, err)
		_, err = io.WriteString(server, unframed)
		require.NoError(t, err)
		time.Sleep(time.Millisecond)
		require.NoError(t, server.SetLinger(0))
		require.NoError(t, server.Close())
		data, err := io.ReadAll(c)
		require.ErrorIs(t, err, syscall.ECONNRESET)
		require.Equal(t, unframed, string(data))
		<-written
		require.True(t, c.WriteFailed())
	}
}

// A server may end its side in order before it has read the whole request.
func TestOrderlyEndDuringAWrite(t *testing.T) {
	c, server := pair(t)
	written := upload(t, c)
	_, err := io.WriteString(server, unframed)
	require.NoError(t, err)
	require.NoError(t, server.CloseWrite())
	go func() { _, _ = io.Copy(io.Discard, server) }()
	data, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Equal(t, unframed, string(data))
	<-written
	require.False(t, c.WriteFailed())
}

// A server that ends its side and does not read the rest of the request either has broken off the exchange.
func TestEndDuringAWriteThatIsNotRead(t *testing.T) {
	c, server := pair(t)
	go func() { _, _ = c.Write(make([]byte, uploadBytes)) }()
	_, err := io.WriteString(server, unframed)
	require.NoError(t, err)
	require.NoError(t, server.CloseWrite())
	_, err = io.ReadAll(c)
	require.ErrorIs(t, err, errUploadCut)
}

// A write of which the server has received nothing fails at once: no response to it can come.
func TestWriteThatSendsNothingFails(t *testing.T) {
	c, server := pair(t)
	require.NoError(t, server.SetLinger(0))
	require.NoError(t, server.Close())
	_, err := c.Conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET)
	_, err = c.Write([]byte("x"))
	require.ErrorIs(t, err, syscall.EPIPE)
}

// The response to each request on a connection is checked.
func TestEachResponseOnAConnectionIsChecked(t *testing.T) {
	c, server := pair(t)
	exchange := func(text string) error {
		c.Begin()
		defer c.EndRequest()
		_, err := io.WriteString(server, text)
		require.NoError(t, err)
		_, err = io.ReadFull(c, make([]byte, len(text)))
		return err
	}
	require.NoError(t, exchange("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n\x00"))
	require.NoError(t, exchange("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n\x00"))
	require.ErrorIs(t, exchange("HTTP/1.1 000 OK\r\nContent-Length: 1\r\n\r\n\x00"), ErrMalformed)
}
