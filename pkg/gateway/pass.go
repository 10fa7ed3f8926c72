package gateway

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/mallowlink/mallowlink/pkg/chart"
	"github.com/mallowlink/mallowlink/pkg/memory"
	"github.com/mallowlink/mallowlink/pkg/result"
)

const (
	// wholeLimit is the size up to which an answer that is no stream is read in whole before it is
	// passed on, in bytes, so that one that breaks off can still be replaced.
	wholeLimit = 64 << 10
	// pieceSize is the size of the buffers for pieces of answers, in bytes.
	pieceSize = 4 << 10
	// progressStep is the least time between two notes that a stream goes on: a small part of the silence
	// from which an endpoint is avoided.
	progressStep = 100 * time.Millisecond
)

// pieces are buffers for pieces of answers.
var pieces = sync.Pool{New: func() any { return new([pieceSize]byte) }}

// relay is how far the answer has been passed on.
type relay struct {
	// begun says that the head has been passed on.
	begun bool
	// lastEvent is the number of the last whole event passed on, of a stream that can be resumed.
	lastEvent string
	events    eventCutter
	// held is the memory that is taken for an event whose end has not arrived, in bytes.
	held int64
}

// pass passes the answer on.
func (c *call) pass() chart.Event {
	if c.route.Stream && c.answer.Status < http.StatusMultipleChoices {
		return c.passStream()
	}
	if c.relay.begun {
		return c.notResumed()
	}
	return c.passWhole()
}

// notResumed handles an answer that does not go on with a stream that the caller has received a part of.
func (c *call) notResumed() chart.Event {
	c.logAttempt("not_resumed", errors.Errorf("status %d", c.answer.Status))
	c.drop(Outcome{Failed: retryableStatus(c.answer.Status)})
	event := c.repeat(result.New(result.AnswerCut, "no endpoint went on with the stream"))
	if event == eventAgain {
		return eventResume
	}
	return event
}

// passWhole reads an answer to its end and passes it on. A larger one is passed on piece by piece, but for one whose length
// is not stated: it may have no end, and nothing of it is an answer then.
func (c *call) passWhole() chart.Event {
	stated := c.answer.Length >= 0
	reader := io.Reader(c.answer)
	if stated {
		reader = io.LimitReader(reader, wholeLimit)
	}
	body, held, err := c.g.cfg.Memory.ReadAll(reader, c.answer.Length, 0)
	c.held += held
	if err != nil && !(stated && errors.Is(err, memory.ErrExhausted)) {
		return c.cutShort(err)
	}
	c.noteFirst()
	if err != nil || stated && len(body) == wholeLimit {
		return c.passLong(body)
	}
	answer := &stored{status: c.answer.Status, header: c.answer.Header, body: body}
	c.noteServed()
	failed := retryableStatus(answer.status)
	if failed {
		c.logAttempt("failed", errors.Errorf("status %d", answer.status))
	}
	c.drop(Outcome{Failed: failed, FirstByte: c.first, Pause: c.pause()})
	if failed && c.route.Idempotent {
		if event := c.repeat(nil); event == eventAgain {
			c.spare = answer
			return event
		}
	}
	c.deliver(answer)
	return eventDone
}

// deliver passes on an answer that was read in whole.
func (c *call) deliver(s *stored) {
	c.head(s.status, s.header, int64(len(s.body)))
	_, _ = c.w.Write(s.body)
}

// passLong passes on an answer that is too long to be held.
func (c *call) passLong(begun []byte) chart.Event {
	c.head(c.answer.Status, c.answer.Header, c.answer.Length)
	if _, err := c.w.Write(begun); err != nil {
		return c.callerLeft()
	}
	if _, err := io.Copy(c.w, c.answer); err != nil {
		return c.cutShort(err)
	}
	c.noteServed()
	c.drop(Outcome{FirstByte: c.first})
	return eventDone
}

// passStream passes on a stream as its pieces arrive.
func (c *call) passStream() chart.Event {
	buffer := pieces.Get().(*[pieceSize]byte)
	defer pieces.Put(buffer)
	flusher, _ := c.w.(http.Flusher)
	for {
		n, err := c.answer.Read(buffer[:])
		if n > 0 {
			c.noteFirst()
			c.noteProgress()
			whole, err := c.wholeEvents(buffer[:n])
			if err != nil {
				return c.cutShort(err)
			}
			if len(whole) > 0 && !c.passPiece(whole, flusher) {
				return c.callerLeft()
			}
		}
		if err == io.EOF {
			return c.endStream()
		}
		if err != nil {
			return c.cutShort(err)
		}
	}
}

// wholeEvents returns the events that are complete with a piece of a stream. Only whole ones are passed on, so that a
// resumed stream joins the first without a break, and bytes that are no event never reach the caller.
func (c *call) wholeEvents(piece []byte) ([]byte, error) {
	whole, err := c.relay.events.cut(piece)
	if err != nil {
		return nil, err
	}
	if more := int64(cap(c.relay.events.pending)) - c.relay.held; more > 0 {
		if !c.g.cfg.Memory.Take(more) {
			return nil, memory.ErrExhausted
		}
		c.relay.held += more
		c.held += more
	}
	return whole, nil
}

// passPiece passes on whole events of a stream.
func (c *call) passPiece(piece []byte, flusher http.Flusher) bool {
	if !c.relay.begun {
		c.head(c.answer.Status, c.answer.Header, -1)
	}
	if _, err := c.w.Write(piece); err != nil {
		return false
	}
	if flusher != nil {
		flusher.Flush()
	}
	if c.route.Resumable {
		c.relay.lastEvent = c.relay.events.last
	}
	return true
}

// endStream ends a whole stream.
func (c *call) endStream() chart.Event {
	if err := c.relay.events.check(c.relay.events.rest()); err != nil {
		return c.cutShort(err)
	}
	if !c.relay.begun {
		c.head(c.answer.Status, c.answer.Header, -1)
	}
	if rest := c.relay.events.rest(); len(rest) > 0 {
		_, _ = c.w.Write(rest)
	}
	c.noteServed()
	c.drop(Outcome{FirstByte: c.first})
	return eventDone
}

// cutShort handles an answer that breaks off.
func (c *call) cutShort(err error) chart.Event {
	c.logAttempt("cut_short", err)
	if c.ctx.Err() != nil {
		c.drop(Outcome{Canceled: true})
		return c.interrupted()
	}
	c.noteEnd(err)
	c.drop(Outcome{Failed: true, FirstByte: c.first})
	broken := result.New(result.AnswerCut, "the endpoint's answer broke off")
	if c.relay.begun && !c.route.Resumable {
		return c.fail(broken)
	}
	c.relay.events.forget()
	event := c.repeat(broken)
	if event == eventAgain && c.relay.begun {
		c.g.meters.resumed.Inc(1)
		return eventResume
	}
	return event
}

// callerLeft handles a caller that takes no more of the answer.
func (c *call) callerLeft() chart.Event {
	c.drop(Outcome{Canceled: true, FirstByte: c.first})
	return c.fail(result.New(result.CallerGone, "the caller closed the connection"))
}

// head writes the head of the answer. A resumed stream keeps the head of its first endpoint.
func (c *call) head(status int, header http.Header, length int64) {
	if c.relay.begun {
		return
	}
	c.relay.begun = true
	out := c.w.Header()
	for name, values := range c.g.cfg.Dialect.Return(header) {
		out[name] = values
	}
	if length >= 0 {
		out["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	} else {
		delete(out, "Content-Length")
	}
	c.w.WriteHeader(status)
}

// noteFirst notes the time of the answer's first part.
func (c *call) noteFirst() {
	if c.first > 0 {
		return
	}
	now := time.Now()
	c.first = now.Sub(c.arrived)
	if c.place.Started != nil {
		c.place.Started(now.Sub(c.sentAt))
	}
}

// noteProgress notes that the stream goes on.
func (c *call) noteProgress() {
	now := time.Now()
	if c.place.Progress == nil || now.Sub(c.progressAt) < progressStep {
		return
	}
	c.progressAt = now
	c.place.Progress()
}
