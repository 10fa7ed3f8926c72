package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/mallowlink/mallowlink/pkg/chart"
	"github.com/mallowlink/mallowlink/pkg/memory"
	"github.com/mallowlink/mallowlink/pkg/result"
)

const (
	// bufferLimit is the size in bytes up to which a response that is not a stream is read completely before it
	// is passed on, so that a truncated one can still be replaced by another endpoint's.
	bufferLimit = 64 << 10
	// readBufferSize is the size of the buffers for reading streams, in bytes.
	readBufferSize = 4 << 10
	// progressInterval is the least time between two calls of Placement.Progress. It is a small part of the
	// time after which an endpoint counts as unresponsive.
	progressInterval = 100 * time.Millisecond
)

// readBuffers are buffers for reading streams.
var readBuffers = sync.Pool{New: func() any { return new([readBufferSize]byte) }}

// relay is the state of passing a response on to the caller.
type relay struct {
	// headSent says that the head has been passed on.
	headSent bool
	// mediaType is the media type of a stream of which the head has been passed on; empty if it states none.
	mediaType string
	// software is the software version of the endpoint that sent the head.
	software string
	// whole says that a response that is not a stream is being passed on, which no other endpoint can continue.
	whole bool
	// lastEvent is the ID of the last complete event passed on, for a stream that can be resumed.
	lastEvent string
	events    eventSplitter
	// heldMemory is the memory taken from the budget for an incomplete event, in bytes.
	heldMemory int64
}

// passResponse passes the response on to the caller.
func (c *call) passResponse() chart.Event {
	stream := c.route.Stream && c.response.Status < http.StatusMultipleChoices
	switch {
	case c.relay.headSent && (!stream || c.relay.mediaType != "" && c.relay.mediaType != mediaType(c.response.Header)):
		return c.notResumed()
	case stream:
		return c.passStream()
	}
	return c.passWhole()
}

// mediaType returns the media type that a header states, without its parameters.
func mediaType(h http.Header) string {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// notResumed handles a response that does not continue a stream of which the caller has already received a
// part.
func (c *call) notResumed() chart.Event {
	c.logAttempt("not_resumed", errors.Errorf("status %d, media type %q", c.response.Status, mediaType(c.response.Header)))
	c.closeResponse(Outcome{Failed: retryableStatus(c.response.Status)})
	event := c.retry(result.New(result.AnswerCut, "no endpoint went on with the stream"))
	if event == eventAgain {
		return eventResume
	}
	return event
}

// passWhole reads a response to its end and passes it on. A response over bufferLimit is passed on as it
// arrives if its length is stated. One without a stated length is always buffered: it may be endless, and must
// not reach the caller then.
func (c *call) passWhole() chart.Event {
	stated := c.response.Length >= 0
	reader := io.Reader(c.response)
	if stated {
		reader = io.LimitReader(reader, bufferLimit)
	}
	budget := c.g.responses.budget(c.placement.Endpoint.ID)
	body, held, err := budget.ReadAll(reader, c.response.Length, 0)
	c.holdMemory(budget, held)
	if err != nil && !(stated && errors.Is(err, memory.ErrExhausted)) {
		return c.responseCut(err)
	}
	c.recordFirstByte()
	if err != nil || stated && len(body) == bufferLimit {
		return c.passLong(body)
	}
	response := &bufferedResponse{status: c.response.Status, header: c.response.Header, body: body}
	c.recordServed()
	c.recordPartsServed()
	failed := retryableStatus(response.status)
	if failed {
		c.logAttempt("failed", errors.Errorf("status %d", response.status))
	}
	c.closeResponse(Outcome{Failed: failed, FirstByte: c.firstByte, Pause: c.requestedPause()})
	if failed && c.route.Idempotent {
		if event := c.retry(nil); event == eventAgain {
			c.fallback = response
			return event
		}
	}
	c.writeBuffered(response)
	return eventDone
}

// writeBuffered writes a response that has been read completely.
func (c *call) writeBuffered(response *bufferedResponse) {
	c.writeHead(response.status, response.header, int64(len(response.body)))
	// An error means that the caller has left or does not read. net/http closes its connection then.
	_ = c.write(response.body, false)
}

// passLong passes on a response that is too long to be buffered. prefix is the part that has been read.
func (c *call) passLong(prefix []byte) chart.Event {
	c.writingSince = time.Now()
	c.relay.whole = true
	c.writeHead(c.response.Status, c.response.Header, c.response.Length)
	c.watch.onBlocked = c.readAhead
	if err := c.write(prefix, false); err != nil {
		return c.callerLeft(err)
	}
	buffer := prefix[:cap(prefix)]
	if len(buffer) < readBufferSize {
		pooled := readBuffers.Get().(*[readBufferSize]byte)
		defer readBuffers.Put(pooled)
		buffer = pooled[:]
	}
	return c.passRest(buffer)
}

// passRest passes on the rest of a response that is not a stream. It uses buffer for that.
func (c *call) passRest(buffer []byte) chart.Event {
	for {
		n, err := c.read(buffer)
		if writeErr := c.write(buffer[:n], false); writeErr != nil {
			return c.callerLeft(writeErr)
		}
		if err == io.EOF {
			c.recordServed()
			c.recordPartsServed()
			c.closeResponse(Outcome{FirstByte: c.firstByte})
			return eventDone
		}
		if err != nil {
			return c.responseCut(err)
		}
	}
}

// passStream passes on a stream as its parts arrive.
func (c *call) passStream() chart.Event {
	buffer := readBuffers.Get().(*[readBufferSize]byte)
	defer readBuffers.Put(buffer)
	c.watch.onBlocked = c.readAhead
	for {
		n, err := c.read(buffer[:])
		if n > 0 {
			c.recordFirstByte()
			c.reportProgress()
			complete, err := c.completeEvents(buffer[:n])
			if err != nil {
				return c.responseCut(err)
			}
			if len(complete) > 0 {
				if c.writingSince.IsZero() {
					c.writingSince = time.Now()
				}
				if err := c.writeEvents(complete); err != nil {
					return c.callerLeft(err)
				}
			}
		}
		if err == io.EOF {
			return c.endStream()
		}
		if err != nil {
			return c.responseCut(err)
		}
	}
}

// completeEvents returns the events that are complete with a part of a stream. Only complete events are passed
// on, so that a resumed stream continues the first one without a break, and bytes that are not events never
// reach the caller.
func (c *call) completeEvents(part []byte) ([]byte, error) {
	complete, err := c.relay.events.split(part)
	if err != nil {
		return nil, err
	}
	if more := int64(cap(c.relay.events.pending)) - c.relay.heldMemory; more > 0 {
		budget := c.g.responses.budget(c.placement.Endpoint.ID)
		if !budget.Reserve(more) {
			return nil, memory.ErrExhausted
		}
		c.relay.heldMemory += more
		c.holdMemory(budget, more)
	}
	return complete, nil
}

// writeEvents passes on complete events of a stream.
func (c *call) writeEvents(complete []byte) error {
	if !c.relay.headSent {
		c.recordBegun()
		c.writeHead(c.response.Status, c.response.Header, -1)
	}
	if err := c.write(complete, true); err != nil {
		return err
	}
	if c.route.Resumable {
		c.relay.lastEvent = c.relay.events.lastID
	}
	return nil
}

// errStreamCut says that a stream was broken off: it ended inside an event, or with its connection before the first event.
var errStreamCut = errors.Wrap(io.ErrUnexpectedEOF, "stream ended before its end")

// endStream handles the end of a stream.
func (c *call) endStream() chart.Event {
	c.watch.onBlocked = nil
	rest := c.relay.events.rest()
	if len(bytes.TrimSpace(rest)) > 0 || c.writingSince.IsZero() && !c.response.Framed() {
		return c.responseCut(errStreamCut)
	}
	if !c.relay.headSent {
		c.writeHead(c.response.Status, c.response.Header, -1)
	}
	if len(rest) > 0 {
		// The rest is white space. net/http closes the connection after an error.
		_ = c.write(rest, false)
	}
	c.recordServed()
	c.recordPartsServed()
	c.closeResponse(c.streamOutcome())
	return eventDone
}

// streamOutcome returns the outcome of a stream that has ended as it should. It tells how long the stream took only if
// one endpoint has sent all of it.
func (c *call) streamOutcome() Outcome {
	o := Outcome{FirstByte: c.firstByte}
	if c.runs == 1 && !c.partAt.IsZero() {
		o.Ran, o.Events = time.Since(c.partAt), c.relay.events.count
	}
	return o
}

// responseCut handles a response that breaks off.
func (c *call) responseCut(err error) chart.Event {
	c.logAttempt("cut_short", err)
	if c.ctx.Err() != nil {
		c.closeResponse(Outcome{Canceled: true})
		return c.interrupted()
	}
	c.reportBrokenConnection(err)
	c.closeResponse(Outcome{Failed: true, FirstByte: c.firstByte})
	broken := result.New(result.AnswerCut, "the endpoint's answer broke off")
	if c.relay.headSent && (!c.route.Resumable || c.relay.whole) {
		return c.fail(broken)
	}
	c.relay.events.discardPending()
	if c.fallback == nil {
		c.releaseResponses()
	}
	event := c.retry(broken)
	if event == eventAgain && c.relay.headSent {
		c.g.meters.resumed.Inc(1)
		return eventResume
	}
	return event
}

// callerLeft handles a caller that no longer reads the response, which err of a write to it says.
func (c *call) callerLeft(err error) chart.Event {
	c.closeResponse(Outcome{Canceled: true, FirstByte: c.firstByte})
	if errors.Is(err, errCallerStalled) {
		return c.fail(result.New(result.CallerGone, "the caller did not read the response"))
	}
	return c.fail(result.New(result.CallerGone, "the caller closed the connection"))
}

// writeHead writes the head of the response. A resumed stream keeps the head of its first endpoint.
func (c *call) writeHead(status int, header http.Header, length int64) {
	if c.relay.headSent {
		return
	}
	c.relay.headSent, c.relay.mediaType = true, mediaType(header)
	c.relay.software = c.placement.Endpoint.Software
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

// recordFirstByte records when the first part of the response to an attempt has arrived.
func (c *call) recordFirstByte() {
	if !c.partAt.IsZero() {
		return
	}
	now := time.Now()
	c.partAt = now
	if c.firstByte == 0 {
		c.firstByte = now.Sub(c.arrived)
	}
	if c.placement.Started != nil {
		c.placement.Started(now.Sub(c.sentAt))
	}
}

// reportProgress reports to the dispatcher that the stream makes progress.
func (c *call) reportProgress() {
	now := time.Now()
	if c.placement.Progress == nil || now.Sub(c.lastProgress) < progressInterval {
		return
	}
	c.lastProgress = now
	c.placement.Progress()
}
