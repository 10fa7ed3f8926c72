package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/chart"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/upstream"
)

// Header fields of responses that mallowlink itself generates instead of an endpoint.
const (
	headerCode    = "X-Mallowlink-Code"
	headerOutcome = "X-Mallowlink-Outcome"
)

// errorBody is the body of a response that mallowlink itself generates.
type errorBody struct {
	Code    result.Code    `json:"code"`
	Name    string         `json:"name"`
	Outcome result.Outcome `json:"outcome"`
	Detail  string         `json:"detail"`
}

// statusOf returns the HTTP status for an error. Statuses that promise that the request has not run are only
// given to requests that have not.
func statusOf(e *result.Error) int {
	status := e.Code.Info().Status
	if e.Outcome == result.NotRun {
		return status
	}
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return http.StatusBadGateway
	}
	return status
}

// writeError responds with an error.
func writeError(w http.ResponseWriter, e *result.Error) {
	body, err := json.Marshal(errorBody{Code: e.Code, Name: e.Code.Name(), Outcome: e.Outcome, Detail: e.Detail})
	if err != nil {
		body = nil
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(headerCode, strconv.Itoa(int(e.Code)))
	h.Set(headerOutcome, string(e.Outcome))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(statusOf(e))
	_, _ = w.Write(body)
}

// maxLoggedParts bounds the parts of a prompt that a log line names.
const maxLoggedParts = 64

// logEnd logs the end of a request.
func (c *call) logEnd(state chart.State) {
	fields := logrus.Fields{
		"event": "request", "id": c.terms.ID, "end": state, "route": c.route.Name, "account": c.account,
		"adapter": c.terms.Adapter, "cost": c.cost, "excess": c.charge.OverLimit, "urgency": c.urgency,
		"time_limit": c.timeLimit, "took": time.Since(c.arrived).Round(time.Millisecond),
		"waited": c.waited.Round(time.Millisecond), "first": c.firstByte.Round(time.Millisecond),
		"runs": c.runs, "rejections": c.rejections,
		"config": c.configVersion, "config_age": c.authorizedBy.RulesAge.Round(time.Millisecond), "updates_from": c.authorizedBy.Source,
	}
	if c.placement.Endpoint.ID != "" {
		fields["endpoint"], fields["software"] = c.placement.Endpoint.ID, c.placement.Endpoint.Software
		fields["list"], fields["list_age"] = c.sentBy.List, c.sentBy.ListAge.Round(time.Millisecond)
		fields["list_from"], fields["sent_after"] = c.sentBy.Source, c.sentAt.Sub(c.arrived).Round(time.Millisecond)
	}
	entry := c.g.cfg.Log.WithFields(fields).WithFields(c.version.logFields())
	if c.failure == nil {
		entry.Info("request ended with the response of an endpoint")
		return
	}
	entry.WithFields(logrus.Fields{
		"code": int(c.failure.Code), "outcome": c.failure.Outcome, "cause": c.failure.Detail,
		"retry_after": c.failure.RetryAfter.Round(time.Millisecond),
	}).Warn("request refused or failed")
}

// logAttempt logs an attempt at an endpoint that was not successful: a missing or truncated response, an error
// status or a rejection. If the endpoint closed or reset the connection, the line has the request's fingerprint,
// by which equal requests can be found, the parts of its prompt that other requests may share, and whether the endpoint had
// begun to respond.
func (c *call) logAttempt(result string, err error) {
	entry := c.g.cfg.Log.WithError(err).WithFields(logrus.Fields{
		"event": "attempt_ended", "id": c.terms.ID, "endpoint": c.placement.Endpoint.ID, "started": c.placement.Endpoint.Started,
		"result": result, "after": time.Since(c.sentAt).Round(time.Millisecond), "runs": c.runs, "passed_on": c.relay.headSent,
	})
	if upstream.ConnectionClosed(err) {
		c.g.meters.connectionsEnded.Inc(1)
		entry = entry.WithFields(logrus.Fields{
			"fingerprint": strconv.FormatUint(c.fingerprint(), 16), "parts": strings.Join(c.sharedParts()[:min(len(c.sharedParts()), maxLoggedParts)], ","), "parts_in_all": len(c.sharedParts()), "begun": !c.headAt.IsZero(),
		})
	}
	entry.Warn("attempt at endpoint not successful")
}
