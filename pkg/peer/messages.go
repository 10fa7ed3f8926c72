package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/go-faster/errors"

	"github.com/mallowlink/mallowlink/pkg/memory"
)

const (
	// maxHeaderMessage is the most bytes of a message with the header of a call: the name of a method and a number.
	maxHeaderMessage = 1 << 10
	// maxTypeBytes is the most bytes that a connection may use for definitions of types. Those of the arguments of all services take
	// 1.7 KB with one value of each, and a decoder keeps them as long as the connection.
	maxTypeBytes = 16 << 10
	// freeMessageBytes is the part of a message that is not counted towards the memory for messages, so that calls between VMs
	// other than full updates go on while it is exhausted.
	freeMessageBytes = 16 << 10
	// messageMemoryFactor is the memory that a byte of a message beyond freeMessageBytes is counted as: the message, and the values
	// decoded from it.
	messageMemoryFactor = 2
	// messageTimeout bounds the time in which a message arrives whose length has arrived.
	messageTimeout = 30 * time.Second
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
)

// Errors of connections that exceed a bound.
var (
	errMessageTooLarge = errors.New("peer: message too large")
	errTypesTooLarge   = errors.New("peer: too many type definitions")
	errMessageMemory   = errors.New("peer: no memory for the message")
	errBadLength       = errors.New("peer: malformed message length")

	errTooManyConnections = errors.New("peer: too many connections")
)

// messageReader reads a stream of messages as package gob writes them: the length of a message as an unsigned number, and the message,
// which begins with a type number that is negative in a definition of a type. It bounds each message before its decoder learns the length,
// because the decoder allocates as much as is announced. As it implements io.ByteReader, a gob.Decoder reads no further than it needs.
type messageReader struct {
	src  *bufio.Reader
	conn net.Conn
	// limit is the most bytes of the next message that is not a definition of a type.
	limit uint64
	// memory is what messages beyond freeMessageBytes are counted towards; nil for no bound.
	memory *memory.Budget

	// pending holds the bytes of a length that has been checked and not been read yet.
	pending []byte
	// left is the number of bytes of the current message that have not been read yet.
	left uint64
	// types is the number of bytes of definitions of types so far, held the memory taken for the current message.
	types uint64
	held  int64
	// deadline says that the connection has a read deadline.
	deadline bool
	// exceeded is the error of the message that has exceeded a bound, if one has.
	exceeded error
}

func newMessageReader(conn net.Conn, budget *memory.Budget) *messageReader {
	return &messageReader{src: bufio.NewReaderSize(conn, readBufferBytes), conn: conn, limit: maxHeaderMessage, memory: budget}
}

// ReadByte implements io.ByteReader.
func (r *messageReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r, b[:])
	return b[0], err
}

// Read implements io.Reader. It reads no further than to the end of the current message.
func (r *messageReader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if len(r.pending) == 0 && r.left == 0 {
		if err := r.begin(); err != nil {
			return 0, err
		}
	}
	if len(r.pending) > 0 {
		n := copy(p, r.pending)
		r.pending = r.pending[n:]
		return n, nil
	}
	n, err := r.src.Read(p[:min(uint64(len(p)), r.left)])
	r.left -= uint64(n)
	if r.left == 0 && r.deadline {
		r.setDeadline(time.Time{})
	}
	return n, err
}

// begin reads the length of the next message, and checks it.
func (r *messageReader) begin() error {
	r.release()
	first, err := r.src.ReadByte()
	if err != nil {
		return err
	}
	length, encoded, err := r.readLength(first)
	if err != nil {
		return err
	}
	defines, err := r.definesType(length)
	if err != nil {
		return err
	}
	if err := r.admit(length, defines); err != nil {
		r.exceeded = err
		return err
	}
	r.pending, r.left = encoded, length
	if uint64(r.src.Buffered()) < length {
		r.setDeadline(time.Now().Add(messageTimeout))
	}
	return nil
}

// readLength reads the rest of the length that begins with first. It returns the length also as it was encoded.
func (r *messageReader) readLength(first byte) (uint64, []byte, error) {
	if first < 0x80 {
		return uint64(first), []byte{first}, nil
	}
	digits := 0x100 - int(first)
	if digits > 8 {
		return 0, nil, errBadLength
	}
	encoded := make([]byte, 1+digits)
	encoded[0] = first
	if _, err := io.ReadFull(r.src, encoded[1:]); err != nil {
		return 0, nil, err
	}
	var number [8]byte
	copy(number[8-digits:], encoded[1:])
	return binary.BigEndian.Uint64(number[:]), encoded, nil
}

// admit checks a message of the length, which may be a definition of a type, and takes memory for it.
func (r *messageReader) admit(length uint64, defines bool) error {
	if defines {
		if r.types += min(length, maxTypeBytes+1); r.types > maxTypeBytes {
			return errTypesTooLarge
		}
		return nil
	}
	if length > r.limit {
		return errMessageTooLarge
	}
	if r.memory == nil || length <= freeMessageBytes {
		return nil
	}
	n := messageMemoryFactor * (int64(length) - freeMessageBytes)
	if !r.memory.Reserve(n) {
		return errMessageMemory
	}
	r.held = n
	return nil
}

// definesType reports whether the message that follows begins with a negative type number. The sign is the lowest bit of the number's
// last byte.
func (r *messageReader) definesType(length uint64) (bool, error) {
	if length == 0 {
		return false, nil
	}
	start, err := r.src.Peek(1)
	if err != nil {
		return false, err
	}
	if start[0] < 0x80 {
		return start[0]&1 == 1, nil
	}
	digits := 0x100 - int(start[0])
	if digits > 8 || uint64(1+digits) > length {
		return false, errBadLength
	}
	if start, err = r.src.Peek(1 + digits); err != nil {
		return false, err
	}
	return start[digits]&1 == 1, nil
}

// release gives back the memory of the last message.
func (r *messageReader) release() {
	if r.held > 0 {
		r.memory.Release(r.held)
		r.held = 0
	}
}

func (r *messageReader) setDeadline(at time.Time) {
	r.deadline = !at.IsZero()
	// It fails only on a closed connection, and then reading fails too.
	_ = r.conn.SetReadDeadline(at)
}
