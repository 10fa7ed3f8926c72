package peer

import (
	"bufio"
	"encoding/gob"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"
)

const (
	// connectionCallShare is the share of all running calls that those of one connection may take, and minConnectionCalls the least
	// number that it may have.
	connectionCallShare = 0.25
	minConnectionCalls  = 32
	// unreadAnswerDelay is the time after which an answer that could not be written holds up further calls of its connection. A full
	// update of the relay takes up to a second over the slowest link, and heartbeats that arrive meanwhile must be received.
	// callSlotInterval is the interval between two looks for a free slot.
	unreadAnswerDelay = time.Second
	callSlotInterval  = 5 * time.Millisecond
	// answerTimeout bounds the writing of one answer.
	answerTimeout = 30 * time.Second
)

// callSlots bounds the number of running calls of all connections. max is 0 for no bound.
type callSlots struct {
	max     int64
	running atomic.Int64
}

// perConnection returns the number of calls that one connection may have running.
func (s *callSlots) perConnection() int64 {
	return max(minConnectionCalls, int64(connectionCallShare*float64(s.max)))
}

// take takes a slot, and reports whether there was one.
func (s *callSlots) take() bool {
	if s.running.Add(1) <= s.max || s.max == 0 {
		return true
	}
	s.running.Add(-1)
	return false
}

// serverCodec reads calls and writes answers as the codec of net/rpc does, within bounds: of the size of messages, of the number of running
// calls, and of the answers that the peer has not read.
type serverCodec struct {
	conn     net.Conn
	messages *messageReader
	decoder  *gob.Decoder
	encoder  *gob.Encoder
	buffer   *bufio.Writer
	limits   Limits
	slots    *callSlots
	state    *openConn
	// running is the number of calls of this connection, writeBegun when the writing of an answer began in Unix nanoseconds; 0 if
	// nothing is being written.
	running, writeBegun atomic.Int64
	closed              atomic.Bool
}

func newServerCodec(conn net.Conn, limits Limits, slots *callSlots, state *openConn) *serverCodec {
	buffer := bufio.NewWriter(conn)
	messages := newMessageReader(conn, limits.Memory)
	return &serverCodec{
		conn: conn, messages: messages, decoder: gob.NewDecoder(messages), encoder: gob.NewEncoder(buffer), buffer: buffer,
		limits: limits, slots: slots, state: state,
	}
}

// ReadRequestHeader implements rpc.ServerCodec. It waits while the connection may have no further call.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	c.messages.limit = maxHeaderMessage
	if err := c.decoder.Decode(r); err != nil {
		return err
	}
	c.state.called.Store(true)
	for !c.takeSlot() {
		if c.closed.Load() {
			return net.ErrClosed
		}
		time.Sleep(callSlotInterval)
	}
	return nil
}

// takeSlot takes a slot for a call, and reports whether the call may run.
func (c *serverCodec) takeSlot() bool {
	if begun := c.writeBegun.Load(); begun != 0 && time.Since(time.Unix(0, begun)) > unreadAnswerDelay {
		return false
	}
	if c.slots.max > 0 && c.running.Load() >= c.slots.perConnection() || !c.slots.take() {
		return false
	}
	c.running.Add(1)
	return true
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error {
	c.messages.limit = uint64(c.limits.MessageBytes)
	return c.decoder.Decode(body)
}

// WriteResponse implements rpc.ServerCodec. net/rpc calls it once for each call, and never twice at a time.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer func() {
		c.running.Add(-1)
		c.slots.running.Add(-1)
	}()
	c.writeBegun.Store(time.Now().UnixNano())
	defer c.writeBegun.Store(0)
	if err := c.conn.SetWriteDeadline(time.Now().Add(answerTimeout)); err != nil {
		return err
	}
	err := c.encoder.Encode(r)
	if err == nil {
		err = c.encoder.Encode(body)
	}
	if err == nil {
		err = c.buffer.Flush()
	}
	if err != nil {
		// A part of the answer may have been written, so nothing can follow it.
		_ = c.Close()
	}
	return err
}

// Close implements rpc.ServerCodec. It may be called more than once.
func (c *serverCodec) Close() error {
	c.closed.Store(true)
	return c.conn.Close()
}
