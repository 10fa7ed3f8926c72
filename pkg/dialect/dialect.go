// Package dialect declares how the headers of callers and endpoints are read and written. Each
// platform has its own implementation; the gateway knows only the terms of this package.
package dialect

import (
	"net/http"
	"time"
)

// Terms are what a caller's header says of a request.
type Terms struct {
	// ID identifies this attempt of the caller. Endpoints echo it.
	ID string
	// Patience is how long the caller waits for the answer; 0 if it does not say.
	Patience time.Duration
	// Key is the caller's key.
	Key string
	// Model is the base model, empty for requests to plain services.
	Model string
	// Adapter is the adapter of that model, empty for the base model itself.
	Adapter string
	// PromptTokens and OutputTokens are the length of the prompt and the bound of the answer.
	PromptTokens, OutputTokens int
	// HasTokens says that the caller has stated token counts.
	HasTokens bool
	// Prompt lists the parts of the prompt in order. Requests share parts; the last one belongs to
	// the request itself or to its session.
	Prompt []PromptPart
	// LastEvent is the number of the last event that the caller has of a stream to be resumed.
	LastEvent string
}

// Tokens is the size of the request: its prompt and the bound of its answer.
func (t Terms) Tokens() int64 { return int64(t.PromptTokens) + int64(t.OutputTokens) }

// PromptPart is a part of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Delivery is what the gateway tells an endpoint of a request.
type Delivery struct {
	// Left is the time that is left for the answer.
	Left time.Duration
	// EndpointID makes any other endpoint at the address reject the request.
	EndpointID string
	// Account is the client account that the request runs for; empty on open routes.
	Account string
	// Urgency ranks the request at an engine; 0 is first. Negative leaves it out.
	Urgency int
	// AdapterVersion makes an engine that holds another version reject the request; 0 leaves it out.
	AdapterVersion int
	// LastEvent resumes a stream after this event; empty leaves it out.
	LastEvent string
}

// Verdict is what an endpoint's answer says of the request.
type Verdict struct {
	// RequestID is the identifier that the endpoint echoes.
	RequestID string
	// NotRun says that the endpoint has not run the request and will not.
	NotRun bool
	// Misdirected says that the endpoint is another one than addressed, or does not hold the model,
	// adapter or version.
	Misdirected bool
	// Signed says that the answer bears an endpoint's signature.
	Signed bool
	// Encoded says that the body is not as the endpoint wrote it.
	Encoded bool
	// Closes says that the endpoint closes the connection after the answer.
	Closes bool
	// Leaving says that the endpoint is about to end, and wants no new requests.
	Leaving bool
	// Pause is how long an endpoint that has turned the request away wants no further ones from this VM; 0 if it does not
	// say. PauseText is what it said, if that could not be read or is not kept to.
	Pause     time.Duration
	PauseText string
}

// Dialect reads and writes headers.
type Dialect interface {
	// Inspect reads a caller's header. An error says what is malformed in it.
	Inspect(h http.Header) (Terms, error)
	// Forward turns a caller's header into the one that the endpoint gets. It removes the key, what
	// concerns only the caller's connection, and what is not the caller's to set.
	Forward(h http.Header, d Delivery) http.Header
	// Judge reads the header of an endpoint's answer.
	Judge(status int, h http.Header) Verdict
	// Return turns an endpoint's header into the one that the caller gets.
	Return(h http.Header) http.Header
}
