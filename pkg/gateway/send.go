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

// send sends the request to its endpoint and waits for the head of the response.
func (c *call) send() chart.Event {
	if e := c.abortReason(); e != nil {
		c.endPlacement(Outcome{Canceled: true})
		return c.refuse(e)
	}
	// A part may have become held while the request waited for the endpoint.
	if e := c.admitParts(); e != nil {
		c.endPlacement(Outcome{Canceled: true})
		return c.refuse(e)
	}
	if !c.servesVersion() {
		c.endPlacement(Outcome{Canceled: true})
		return c.tryAnother(result.New(result.NoEndpoint, "the endpoint has another software version than the stream"), false)
	}
	c.sentAt, c.headAt, c.partAt, c.writingSince = time.Now(), time.Time{}, time.Time{}, time.Time{}
	c.sentBy = c.g.cfg.Updates()
	e := c.placement.Endpoint
	target := upstream.Target{ID: e.ID, Started: e.Started, Address: e.Address}
	response, err := c.g.cfg.Upstream.Send(c.ctx, target, c.upstreamRequest())
	var failed *upstream.Error
	if !errors.As(err, &failed) || failed.Sent {
		c.partTrial = 0
	}
	if err != nil {
		return c.noResponse(err)
	}
	c.response, c.headAt = response, time.Now()
	c.g.cfg.Suspects.Responded(e.Incarnation, c.sentAt)
	if response.Info.NotRun {
		return c.rejected()
	}
	c.runs++
	if !c.validHead() {
		return c.invalidResponse("the endpoint's answer is not one of its own")
	}
	// The endpoint may have started again with another version after it was chosen.
	if !c.servesVersion() {
		return c.invalidResponse("the endpoint has another software version than the stream")
	}
	return eventHead
}

// upstreamRequest returns the request to be sent to the endpoint.
func (c *call) upstreamRequest() upstream.Request {
	delivery := dialect.Delivery{
		Left:           time.Until(c.deadline),
		EndpointID:     c.placement.Endpoint.ID,
		Account:        c.account,
		Urgency:        -1,
		AdapterVersion: c.placement.AdapterVersion,
		LastEvent:      c.relay.lastEvent,
	}
	if c.group.Engine != nil {
		delivery.Urgency = c.urgency
	}
	return upstream.Request{
		Method:   c.r.Method,
		URI:      c.r.RequestURI,
		Host:     c.r.Host,
		Header:   c.g.cfg.Dialect.Forward(c.r.Header, delivery),
		Body:     c.body,
		ID:       c.terms.ID,
		OfCaller: true,
		Echoed:   c.terms.ID != "",
	}
}

// validHead reports whether the response comes unmodified from the endpoint: signed, and not re-encoded on the
// way.
func (c *call) validHead() bool {
	info := c.response.Info
	return info.Signed && !info.Encoded
}

// noResponse handles a request that got no response.
func (c *call) noResponse(err error) chart.Event {
	var failed *upstream.Error
	if !errors.As(err, &failed) || failed.Sent {
		c.runs++
	}
	if c.ctx.Err() != nil {
		c.logAttempt("cut", context.Cause(c.ctx))
		c.endPlacement(Outcome{Canceled: true})
		return c.interrupted()
	}
	if errors.Is(err, upstream.ErrWithheld) {
		c.logAttempt("withheld", err)
		c.endPlacement(Outcome{Canceled: true})
		return c.tryAnother(result.New(result.NoEndpoint, "no endpoint takes requests for the route"), false)
	}
	if failed != nil && !failed.Sent {
		c.logAttempt("unreachable", err)
		c.endPlacement(Outcome{Unreachable: true})
		return c.tryAnother(result.New(result.NoEndpoint, "no connection to an endpoint"), false)
	}
	c.logAttempt("unanswered", err)
	c.reportBrokenConnection(err)
	c.endPlacement(Outcome{Failed: true})
	return c.retry(result.New(result.EndpointFailed, "the endpoint did not answer"))
}

// rejected handles a response that says that the request has not run.
func (c *call) rejected() chart.Event {
	notLoaded := c.response.Info.Misdirected
	c.logAttempt("rejected", errors.Errorf("status %d", c.response.Status))
	c.closeResponse(Outcome{Rejected: true, AdapterMissing: notLoaded, Pause: c.requestedPause()})
	return c.tryAnother(result.New(result.QueueFull, "the endpoints are full"), true)
}

// requestedPause returns how long the endpoint wants no further requests from this VM. It logs a requested
// pause that cannot be read or is not kept.
func (c *call) requestedPause() time.Duration {
	info := c.response.Info
	if info.RetryAfterText != "" {
		c.g.cfg.Log.WithFields(logrus.Fields{
			"event": "pause_not_kept", "id": c.terms.ID, "endpoint": c.placement.Endpoint.ID, "asked": info.RetryAfterText, "pause": info.RetryAfter,
		}).Warn("pause requested by endpoint is not kept")
	}
	return info.RetryAfter
}

// closeResponse closes the endpoint's response and ends the placement, unless that was done when the whole response had been
// read ahead.
func (c *call) closeResponse(o Outcome) {
	response, ahead := c.response, c.ahead
	c.response, c.ahead, c.watch.onBlocked = nil, nil, nil
	if ahead != nil && ahead.stop() {
		c.suspected = false
		return
	}
	response.Close()
	c.endPlacement(o)
}

// tryAnother continues with another endpoint after one that has not run the request. If the request had arrived
// there, sending it again counts towards the retry budget.
func (c *call) tryAnother(e *result.Error, arrived bool) chart.Event {
	c.rejections++
	c.exclude = append(c.exclude, c.placement.Endpoint.ID)
	if c.rejections >= maxRejections {
		return c.refuse(e)
	}
	if arrived && !c.takeRetry() {
		return c.refuse(e)
	}
	return eventAgain
}

// retry sends the request again after an endpoint that may have run it, if its route allows that.
func (c *call) retry(e *result.Error) chart.Event {
	if !c.repeatable() || c.runs >= max(c.route.MaxAttempts, 1) || !c.takeRetry() {
		return c.fail(e)
	}
	c.exclude = append(c.exclude, c.placement.Endpoint.ID)
	return eventAgain
}

// takeRetry takes one retry from the budget of the group. It reports false if none is left.
func (c *call) takeRetry() bool {
	if !c.g.cfg.Retries(c.group.Name).AllowRetry(time.Now()) {
		return false
	}
	c.g.meters.repeats.Inc(1)
	return true
}

// invalidResponse handles a response that must not be passed on.
func (c *call) invalidResponse(reason string) chart.Event {
	c.logAttempt("broken", errors.New(reason))
	c.closeResponse(Outcome{Failed: true})
	return c.retry(result.New(result.EndpointFailed, reason))
}

// interrupted ends a call whose context has ended while an endpoint may be running it.
func (c *call) interrupted() chart.Event {
	if errors.Is(context.Cause(c.ctx), errStopping) {
		if c.runs == 0 {
			return c.refuse(c.abortReason())
		}
		return c.fail(result.New(result.EndpointTimeout, "this VM has stopped before the endpoint answered"))
	}
	if !errors.Is(context.Cause(c.ctx), errTimeLimit) {
		return c.fail(result.New(result.CallerGone, "the caller closed the connection"))
	}
	if c.runs == 0 {
		return c.refuse(result.New(result.DeadlineTooNear, "the time is over"))
	}
	return c.fail(result.New(result.EndpointTimeout, "the endpoint did not answer in time"))
}

// retryableStatus reports whether another endpoint may give a better response.
func retryableStatus(status int) bool { return status >= http.StatusInternalServerError }
