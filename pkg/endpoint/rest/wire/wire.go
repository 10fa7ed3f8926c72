// Package wire declares the paths, headers and JSON messages that model engines and plain services
// support in addition to the OpenAI protocol.
package wire

// HTTP header fields.
const (
	// RequestID carries the identifier of the attempt. The endpoint returns it in the response.
	RequestID = "X-Request-Id"
	// Priority carries the request's priority; lower numbers run first.
	Priority = "X-Priority"
	// Incarnation carries the engine's incarnation in every response of an engine. It changes when the engine
	// restarts.
	Incarnation = "X-Incarnation"
	// Holder and Fencing carry the fields of Order for a KV import, whose body is not JSON.
	Holder  = "X-Order-Holder"
	Fencing = "X-Order-Fencing"
)

// Paths of an engine. ChatPath and CompletionsPath belong to the OpenAI protocol.
const (
	ChatPath        = "/v1/chat/completions"
	CompletionsPath = "/v1/completions"
	LoadPath        = "/admin/load"
	UnloadPath      = "/admin/unload"
	RolePath        = "/admin/role"
	ReportPath      = "/admin/report"
	CacheEventsPath = "/admin/cache-events"
	CancelPath      = "/admin/cancel"
	ResumePath      = "/admin/resume"
	KVPath          = "/admin/kv"
)

// Query parameters of the paths.
const (
	// IDParam is the identifier of the request to cancel or resume.
	IDParam = "id"
	// NextParam is the number of the first event to send again on a resume.
	NextParam = "next"
	// SinceParam is the number of the cache event after which the list begins.
	SinceParam = "since"
	// PrefixParam is the hexadecimal hash of a prompt prefix.
	PrefixParam = "prefix"
)

// Code is the machine-readable reason in an error response.
type Code string

// Codes of error responses. Package endpoint has the errors that they stand for.
const (
	CodeNotLoaded  Code = "model_not_found"
	CodeBusy       Code = "busy"
	CodeFenced     Code = "fenced"
	CodeInUse      Code = "in_use"
	CodeLoadFailed Code = "load_failed"
	CodeNoSlot     Code = "no_slot"
	CodeGone       Code = "gone"
	CodeInvalid    Code = "invalid_request_error"
)

// Failure is the body of an error response, in the form of the OpenAI protocol.
type Failure struct {
	Error FailureDetail `json:"error"`
}

// FailureDetail describes the error in a Failure.
type FailureDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    Code   `json:"code"`
}

// Order authorizes a command that changes the state of an engine. It is part of the body of each such command.
type Order struct {
	// Holder is the VM that sends the order.
	Holder string `json:"holder"`
	// Fencing is the fencing number of the holder's lease. The engine refuses numbers older than the newest that it
	// has seen.
	Fencing uint64 `json:"fencing"`
}

// AdapterOrder is the body of an order to load or unload an adapter version.
type AdapterOrder struct {
	Order
	Adapter string `json:"adapter"`
	Version string `json:"version"`
}

// RoleOrder is the body of an order to change an engine's role.
type RoleOrder struct {
	Order
	Role string `json:"role"`
}

// Report is an engine's load report.
type Report struct {
	Incarnation string `json:"incarnation"`
	// AgeMS is how long before the response the report was made, in milliseconds.
	AgeMS int64 `json:"age_ms"`
	// Running and Waiting are numbers of requests.
	Running  int    `json:"running"`
	Waiting  int    `json:"waiting"`
	Role     string `json:"role"`
	Draining bool   `json:"draining,omitempty"`
	// Slots is the number of adapter slots, taken or free.
	Slots  int             `json:"slots"`
	Loaded []LoadedAdapter `json:"loaded"`
}

// LoadedAdapter is one loaded adapter version in a Report.
type LoadedAdapter struct {
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	// Running is the number of requests that use the adapter version.
	Running int `json:"running"`
}

// CacheEvents is the response to a request for cache events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// CacheEvent reports that the engine stored a prompt prefix in its KV cache or evicted it.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Stored  bool   `json:"stored"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	// Prefix is hexadecimal, because JSON numbers lose precision above 2^53 in many readers.
	Prefix string `json:"prefix"`
}
