// Package dialect declares the interface through which the gateway reads and writes the HTTP headers
// of callers and endpoints. Each platform has its own header names and its own implementation; the
// gateway uses only the types of this package.
package dialect

import (
	"net/http"
	"time"
)

// RequestInfo holds what a caller's header states about a request.
type RequestInfo struct {
	// ID identifies this attempt by the caller. Endpoints echo it in their responses.
	ID string
	// Timeout is the caller's timeout for the response; 0 if the header states none.
	Timeout time.Duration
	// Key is the key that authenticates the caller.
	Key string
	// Model is the base model, empty for requests to plain services.
	Model string
	// Adapter is the name of an adapter of that model; empty for the base model itself.
	Adapter string
	// PromptTokens is the length of the prompt; OutputTokens is the upper bound of the response's length.
	PromptTokens, OutputTokens int
	// LengthHint is the caller's estimate of the response's length in tokens; 0 if the header states none. It is right
	// at the median, and often far off.
	LengthHint int
	// HasTokens reports whether the caller stated token counts.
	HasTokens bool
	// Prompt lists the parts of the prompt in order. Requests may share parts; the last part belongs
	// to this request or to its session alone.
	Prompt []PromptPart
	// LastEvent is the number of the last event that the caller received of a stream that it wants to resume.
	LastEvent string
	// Resumes is the ID of the caller's attempt that brought the first event of that stream.
	Resumes string
}

// Tokens returns the size of the request: the prompt's length plus the upper bound of the response's length.
func (t RequestInfo) Tokens() int64 { return int64(t.PromptTokens) + int64(t.OutputTokens) }

// PromptPart is a part of a prompt. Other requests may contain the same part.
type PromptPart struct {
	ID     string
	Tokens int
}

// Delivery holds what the gateway states about a request in the header that it sends to an endpoint.
type Delivery struct {
	// Left is the time remaining until the response is due.
	Left time.Duration
	// EndpointID names the endpoint that the request is meant for. Any other endpoint that now has the
	// same address rejects the request.
	EndpointID string
	// Account is the client account on whose behalf the request runs; empty on open routes.
	Account string
	// Urgency is the request's priority at an engine; 0 runs first. If negative, no priority is sent.
	Urgency int
	// AdapterVersion is the version of the adapter that the request needs. An engine that holds another
	// version rejects the request. If 0, no version is sent.
	AdapterVersion int
	// LastEvent is the event after which a stream is to be resumed. If empty, it is not sent.
	LastEvent string
}

// ResponseInfo holds what the header of an endpoint's response states about the request and the endpoint.
type ResponseInfo struct {
	// RequestID is the identifier that the endpoint echoes.
	RequestID string
	// NotRun reports that the endpoint has not run the request and will not run it.
	NotRun bool
	// Misdirected reports that the request reached another endpoint than the one addressed, or one that
	// does not hold the model, adapter or version.
	Misdirected bool
	// Signed reports that the response carries an endpoint's signature.
	Signed bool
	// Encoded reports that the body has a content encoding, so it is not as the endpoint wrote it.
	Encoded bool
	// Closes reports that the endpoint closes the connection after the response.
	Closes bool
	// Leaving reports that the endpoint is about to shut down and wants no new requests.
	Leaving bool
	// RetryAfter is how long an endpoint that rejected the request wants no further requests from this VM;
	// 0 if it states none. RetryAfterText is the value as the endpoint sent it, if that could not be parsed
	// or is not followed.
	RetryAfter     time.Duration
	RetryAfterText string
	// RateLimit is the number of requests per second that the endpoint accepts from all VMs together for as long
	// as its responses say so. It is valid only if HasRateLimit is set. RateLimitText is the value as the endpoint
	// sent it, if that could not be parsed.
	RateLimit     float64
	HasRateLimit  bool
	RateLimitText string
	// ColdLeft is how long the endpoint stays cold; 0 if it is not cold. It is valid only if HasColdLeft is set.
	// ColdText is the value as the endpoint sent it, if that was bounded or ignored.
	ColdLeft    time.Duration
	HasColdLeft bool
	ColdText    string
}

// Dialect reads and writes the headers of one platform.
type Dialect interface {
	// Inspect parses a caller's header. The error names the malformed part.
	Inspect(h http.Header) (RequestInfo, error)
	// Forward converts a caller's header into the one sent to the endpoint. It removes the key,
	// hop-by-hop fields, and fields that callers may not set.
	Forward(h http.Header, d Delivery) http.Header
	// Judge parses the header of an endpoint's response.
	Judge(status int, h http.Header) ResponseInfo
	// Return converts an endpoint's header into the one sent to the caller.
	Return(h http.Header) http.Header
}
