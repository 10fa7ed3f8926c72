package gateway

import (
	"context"
	"time"

	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/roster"
	"github.com/mallowlink/mallowlink/pkg/suspect"
	"github.com/mallowlink/mallowlink/pkg/upstream"
)

// Suspects keeps requests that crash the endpoints that run them from endpoints. *suspect.Watch implements it.
type Suspects interface {
	// Quiet reports whether no request is suspect: none needs to be identified before it is sent.
	Quiet() bool
	// Admit decides whether a request may be sent. After Refuse the duration says when to come back.
	Admit(fingerprint uint64) (suspect.Decision, time.Duration)
	// Avoid returns the endpoints at which other suspects run.
	Avoid(fingerprint uint64) []string
	// Started says that a suspect is about to be sent to an endpoint, and reports false if it must not; Left says
	// that it has ended there.
	Started(fingerprint uint64, endpoint string) bool
	Left(fingerprint uint64, endpoint string)
	// AwaitVerdict waits a little until it is known whether a run of an endpoint has ended.
	AwaitVerdict(ctx context.Context, id roster.Incarnation)
	// Served says that a request was answered whole.
	Served(fingerprint uint64)
	// Answered says that an endpoint has answered a request that was sent to it at that time.
	Answered(id roster.Incarnation, sent time.Time)
	// Broke says that the endpoint's side of the connection of a request, sent at that time, has ended before the answer.
	// running is for how long the endpoint had been answering.
	Broke(e roster.Endpoint, account string, fingerprint uint64, sent time.Time, running time.Duration)
}

const (
	// suspectStep is the time between two looks at whether a suspect may be sent.
	suspectStep = 20 * time.Millisecond
	// isolationWait bounds how long a suspect waits for an endpoint at which no other suspect runs. It is most likely
	// innocent, and not to be kept waiting for what others do.
	isolationWait = 200 * time.Millisecond
)

// isolate waits until a request that is suspect may be sent, and returns the endpoints that it should not go to. The
// error says why it must not be sent at all.
func (c *call) isolate() ([]string, *result.Error) {
	c.suspected = false
	if c.struck != nil {
		c.g.cfg.Suspects.AwaitVerdict(c.ctx, *c.struck)
		c.struck = nil
	}
	if c.g.cfg.Suspects.Quiet() {
		return nil, nil
	}
	for {
		decision, after := c.g.cfg.Suspects.Admit(c.fingerprint())
		switch decision {
		case suspect.Allow:
			return nil, nil
		case suspect.Refuse:
			e := result.New(result.Suspect, "the same request ended several endpoints, fingerprint "+suspect.Text(c.fingerprint()))
			e.RetryAfter = after
			return nil, e
		case suspect.Isolate:
			c.suspected = true
			return c.g.cfg.Suspects.Avoid(c.fingerprint()), nil
		}
		if e := c.over(); e != nil {
			return nil, e
		}
		clock.Sleep(c.ctx, suspectStep)
	}
}

// askPlace asks the dispatcher for an endpoint. A suspect goes to one at which no other suspect runs, if there soon is one:
// it must not be taken for what the other one does.
func (c *call) askPlace(ctx context.Context) (Placement, error) {
	begun := time.Now()
	for {
		avoid, e := c.isolate()
		if e != nil {
			return Placement{}, e
		}
		w := c.work()
		if time.Since(begun) >= isolationWait {
			avoid = nil
		}
		w.Exclude = append(avoid, w.Exclude...)
		place, err := c.g.cfg.Dispatcher.Place(ctx, w)
		if err != nil && len(avoid) > 0 && c.over() == nil {
			clock.Sleep(ctx, suspectStep)
			continue
		}
		if err != nil || !c.suspected || c.g.cfg.Suspects.Started(c.fingerprint(), place.Endpoint.ID) {
			return place, err
		}
		place.Done(Outcome{Canceled: true})
	}
}

// leave ends the use of the endpoint.
func (c *call) leave(o Outcome) {
	c.place.Done(o)
	if c.suspected {
		c.suspected = false
		c.g.cfg.Suspects.Left(c.fingerprint(), c.place.Endpoint.ID)
	}
}

// noteEnd holds the end of the endpoint's side of a connection against the request, if it is why the answer failed.
func (c *call) noteEnd(err error) {
	if c.ctx.Err() != nil || !upstream.Ended(err) {
		return
	}
	var running time.Duration
	if !c.headAt.IsZero() {
		running = time.Since(c.headAt)
	}
	c.struck = &c.place.Endpoint.Incarnation
	c.g.cfg.Suspects.Broke(c.place.Endpoint, c.account, c.fingerprint(), c.sentAt, running)
}

// rememberedBody bounds the bodies of requests that are remembered as served while no request is suspect, in bytes: larger
// ones hardly ever come again alike, and take long to identify.
const rememberedBody = 256 << 10

// noteServed notes that an endpoint has answered the request whole.
func (c *call) noteServed() {
	if len(c.body) <= rememberedBody || !c.g.cfg.Suspects.Quiet() {
		c.g.cfg.Suspects.Served(c.fingerprint())
	}
}
