package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/chart"
	"github.com/mallowlink/mallowlink/pkg/dialect"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/upstream"
)

// send sends the request to its endpoint and waits for the head of the answer.
func (c *call) send() chart.Event {
	if e := c.over(); e != nil {
		c.leave(Outcome{Canceled: true})
		return c.refuse(e)
	}
	c.sentAt, c.headAt = time.Now(), time.Time{}
	e := c.place.Endpoint
	target := upstream.Target{ID: e.ID, Started: e.Started, Address: e.Address}
	answer, err := c.g.cfg.Upstream.Send(c.ctx, target, c.outgoing())
	if err != nil {
		return c.unanswered(err)
	}
	c.answer, c.headAt = answer, time.Now()
	c.g.cfg.Suspects.Answered(e.Incarnation, c.sentAt)
	if answer.Verdict.NotRun {
		return c.rejected()
	}
	c.runs++
	if !c.sound() {
		return c.broken("the endpoint's answer is not one of its own")
	}
	return eventHead
}

func (c *call) outgoing() upstream.Request {
	delivery := dialect.Delivery{
		Left:           time.Until(c.deadline),
		EndpointID:     c.place.Endpoint.ID,
		Account:        c.account,
		Urgency:        -1,
		AdapterVersion: c.place.AdapterVersion,
		LastEvent:      c.relay.lastEvent,
	}
	if c.group.Engine != nil {
		delivery.Urgency = c.urgency
	}
	return upstream.Request{
		Method: c.r.Method,
		URI:    c.r.RequestURI,
		Host:   c.r.Host,
		Header: c.g.cfg.Dialect.Forward(c.r.Header, delivery),
		Body:   c.body,
		ID:     c.terms.ID,
	}
}

// sound reports whether the head is that of an endpoint's own answer.
func (c *call) sound() bool {
	v := c.answer.Verdict
	return v.Signed && !v.Encoded
}

// unanswered handles a request that got no answer.
func (c *call) unanswered(err error) chart.Event {
	var failed *upstream.Error
	if !errors.As(err, &failed) || failed.Sent {
		c.runs++
	}
	if c.ctx.Err() != nil {
		c.logAttempt("cut", context.Cause(c.ctx))
		c.leave(Outcome{Canceled: true})
		return c.interrupted()
	}
	if failed != nil && !failed.Sent {
		c.logAttempt("unreachable", err)
		c.leave(Outcome{Unreachable: true})
		return c.another(result.New(result.NoEndpoint, "no connection to an endpoint"), false)
	}
	c.logAttempt("unanswered", err)
	c.noteEnd(err)
	c.leave(Outcome{Failed: true})
	return c.repeat(result.New(result.EndpointFailed, "the endpoint did not answer"))
}

// rejected handles an answer that says that the request has not run.
func (c *call) rejected() chart.Event {
	missing := c.answer.Verdict.Misdirected
	c.logAttempt("rejected", errors.Errorf("status %d", c.answer.Status))
	c.drop(Outcome{Rejected: true, AdapterMissing: missing, Pause: c.pause()})
	return c.another(result.New(result.QueueFull, "the endpoints are full"), true)
}

// pause returns how long the endpoint wants no further requests from this VM, and logs what it has said if that is not kept
// to.
func (c *call) pause() time.Duration {
	v := c.answer.Verdict
	if v.PauseText != "" {
		c.g.cfg.Log.WithFields(logrus.Fields{
			"event": "pause_not_kept", "id": c.terms.ID, "endpoint": c.place.Endpoint.ID, "asked": v.PauseText, "pause": v.Pause,
		}).Warn()
	}
	return v.Pause
}

// drop ends the use of the answer and tells the dispatcher.
func (c *call) drop(o Outcome) {
	c.answer.Close()
	c.answer = nil
	c.leave(o)
}

// another goes on to another endpoint after one that has not run the request. Requests that have
// arrived at an endpoint count towards the bound of repeats.
func (c *call) another(e *result.Error, arrived bool) chart.Event {
	c.rejections++
	c.exclude = append(c.exclude, c.place.Endpoint.ID)
	if c.rejections >= maxRejections {
		return c.refuse(e)
	}
	if arrived && !c.mayRepeat() {
		return c.refuse(e)
	}
	return eventAgain
}

// repeat sends the request again after an endpoint that may have run it, if its route allows that.
func (c *call) repeat(e *result.Error) chart.Event {
	if !c.repeatable() || c.runs >= max(c.route.MaxAttempts, 1) || !c.mayRepeat() {
		return c.fail(e)
	}
	c.exclude = append(c.exclude, c.place.Endpoint.ID)
	return eventAgain
}

// mayRepeat takes the right to one more arrival at an endpoint.
func (c *call) mayRepeat() bool {
	if !c.g.cfg.Retries(c.group.Name).Repeat(time.Now()) {
		return false
	}
	c.g.meters.repeats.Inc(1)
	return true
}

// broken handles an answer that cannot be passed on.
func (c *call) broken(why string) chart.Event {
	c.logAttempt("broken", errors.New(why))
	c.drop(Outcome{Failed: true})
	return c.repeat(result.New(result.EndpointFailed, why))
}

// interrupted ends a call whose context has ended while an endpoint may be running it.
func (c *call) interrupted() chart.Event {
	if !errors.Is(context.Cause(c.ctx), errTimeOver) {
		return c.fail(result.New(result.CallerGone, "the caller closed the connection"))
	}
	if c.runs == 0 {
		return c.refuse(result.New(result.DeadlineTooNear, "the time is over"))
	}
	return c.fail(result.New(result.EndpointTimeout, "the endpoint did not answer in time"))
}

// retryableStatus reports whether another endpoint may do better.
func retryableStatus(status int) bool { return status >= http.StatusInternalServerError }
