package httpresponse

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

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

// The response to each request on a connection is checked.
func TestEachResponseOnAConnectionIsChecked(t *testing.T) {
	c, server := pair(t)
	exchange := func(text string) error {
		c.Begin()
		_, err := io.WriteString(server, text)
		require.NoError(t, err)
		_, err = io.ReadFull(c, make([]byte, len(text)))
		return err
	}
	require.NoError(t, exchange("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n\x00"))
	require.NoError(t, exchange("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n\x00"))
	require.ErrorIs(t, exchange("HTTP/1.1 000 OK\r\nContent-Length: 1\r\n\r\n\x00"), ErrMalformed)
}
