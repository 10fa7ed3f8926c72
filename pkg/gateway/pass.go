package gateway

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/mallowlink/mallowlink/pkg/chart"
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

// passWhole reads an answer to its end and passes it on. A larger one is passed on piece by piece.
func (c *call) passWhole() chart.Event {
	body, err := io.ReadAll(io.LimitReader(c.answer, wholeLimit))
	if err != nil {
		return c.cutShort(err)
	}
	c.noteFirst()
	if len(body) == wholeLimit {
		return c.passLong(body)
	}
	answer := &stored{status: c.answer.Status, header: c.answer.Header, body: body}
	c.noteServed()
	failed := retryableStatus(answer.status)
	if failed {
		c.logAttempt("failed", errors.Errorf("status %d", answer.status))
	}
	c.drop(Outcome{Failed: failed, First: c.first, Pause: c.pause()})
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
	c.drop(Outcome{First: c.first})
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
			if !c.passPiece(buffer[:n], flusher) {
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

// passPiece passes on a piece of a stream. Of one that can be resumed only whole events are passed
// on, so that the resumed stream joins the first without a break.
func (c *call) passPiece(piece []byte, flusher http.Flusher) bool {
	if c.route.Resumable {
		piece = c.relay.events.cut(piece)
		if len(piece) == 0 {
			return true
		}
	}
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
	if !c.relay.begun {
		c.head(c.answer.Status, c.answer.Header, -1)
	}
	if rest := c.relay.events.rest(); len(rest) > 0 {
		_, _ = c.w.Write(rest)
	}
	c.noteServed()
	c.drop(Outcome{First: c.first})
	return eventDone
}

// cutShort handles an answer that breaks off.
func (c *call) cutShort(err error) chart.Event {
	c.logAttempt("cut_short", err)
	if c.ctx.Err() != nil {
		c.drop(Outcome{Cut: true})
		return c.interrupted()
	}
	c.noteEnd(err)
	c.drop(Outcome{Failed: true, First: c.first})
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
	c.drop(Outcome{Cut: true, First: c.first})
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
