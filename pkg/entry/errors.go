package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/mallowlink/mallowlink/pkg/result"
)

// Header fields that mallowlink reads from requests or adds to responses.
const (
	// HeaderRequest carries the request's identifier.
	HeaderRequest = "X-Request-Id"
	// HeaderAdapter carries the adapter version that a request ran on.
	HeaderAdapter = "X-Mallowlink-Adapter"
	// HeaderClass carries the priority class that the caller asks for.
	HeaderClass = "X-Mallowlink-Class"
	// HeaderTimeout carries the caller's timeout for the request: a Go duration, or a number of seconds.
	HeaderTimeout = "X-Mallowlink-Timeout"
	// HeaderCode carries the number of the result code of an error.
	HeaderCode = "X-Mallowlink-Code"
	// HeaderOutcome carries the outcome of an error.
	HeaderOutcome = "X-Mallowlink-Outcome"
	// HeaderIdempotencyKey carries the caller's identifier for a non-idempotent request. Repetitions of
	// the request carry the same one.
	HeaderIdempotencyKey = "Idempotency-Key"

	// headerShouldRetry tells OpenAI's clients whether to retry. It keeps them from repeating a request
	// that may have run.
	headerShouldRetry = "X-Should-Retry"
)

// errorBody is an error response in OpenAI's format, extended by the fields of the result.
type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Message   string         `json:"message"`
	Type      string         `json:"type"`
	Code      string         `json:"code"`
	Param     *string        `json:"param"`
	Result    result.Code    `json:"result"`
	Outcome   result.Outcome `json:"outcome"`
	RequestID string         `json:"request_id"`
	// RetryAfter is in seconds; 0 if unknown.
	RetryAfter int64 `json:"retry_after,omitempty"`
}

func errorJSON(e *result.Error, id string) []byte {
	info := e.Code.Info()
	message := info.Advice
	if e.Detail != "" {
		message = e.Detail + ". " + info.Advice
	}
	body := errorBody{Error: errorFields{
		Message:    message,
		Type:       errorType(info.Status),
		Code:       info.Name,
		Result:     e.Code,
		Outcome:    e.Outcome,
		RequestID:  id,
		RetryAfter: wholeSeconds(e.RetryAfter),
	}}
	// Marshalling cannot fail: the struct holds only types that JSON can represent.
	data, _ := json.Marshal(body)
	return data
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	}
	return "server_error"
}

// wholeSeconds rounds up to whole seconds, the unit of Retry-After.
func wholeSeconds(d time.Duration) int64 {
	if d <= 0 {
		return 0
	}
	return int64(math.Ceil(d.Seconds()))
}

// writeError writes the error as the response. For outcomes other than not-run it tells clients not to retry.
func writeError(w *writer, e *result.Error) {
	header := w.Header()
	for _, name := range []string{"Content-Length", "Content-Encoding", "Cache-Control"} {
		header.Del(name)
	}
	header.Set("Content-Type", "application/json")
	header.Set(HeaderCode, strconv.Itoa(int(e.Code)))
	header.Set(HeaderOutcome, string(e.Outcome))
	if seconds := wholeSeconds(e.RetryAfter); seconds > 0 {
		header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	if e.Outcome != result.NotRun {
		header.Set(headerShouldRetry, "false")
	}
	body := errorJSON(e, w.id)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.respond(e.Code.Info().Status, body)
}
