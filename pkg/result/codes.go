package result

import "net/http"

// Info is one line of the table of codes.
type Info struct {
	Code    Code
	Name    string
	Status  int
	Outcome Outcome
	// Advice tells the caller what to do.
	Advice string
}

// Codes from 1000 are faults of the request, from 2000 refusals by limits and load, from 3000
// faults of endpoints, from 4000 faults of mallowlink or the platform.
const (
	MalformedBody   Code = 1001
	BodyTooLarge    Code = 1002
	UnknownModel    Code = 1003
	MissingKey      Code = 1004
	WrongKey        Code = 1005
	UnknownRoute    Code = 1006
	WrongMethod     Code = 1007
	BadHeader       Code = 1008
	NotAllowed      Code = 1009
	KeyReused       Code = 1010
	KeyRequired     Code = 1011
	CallerGone      Code = 1012
	HeaderTooLarge  Code = 1013
	OverRate        Code = 2001
	OverBurst       Code = 2002
	QueueFull       Code = 2003
	DeadlineTooNear Code = 2004
	DeadlinePassed  Code = 2005
	Suspect         Code = 2006
	RetryBudget     Code = 2007
	SuspectPart     Code = 2008
	NoEndpoint      Code = 3001
	EndpointFailed  Code = 3002
	AnswerCut       Code = 3003
	LoadFailed      Code = 3004
	EndpointTimeout Code = 3005
	AnswerTooLarge  Code = 3006
	VersionUnknown  Code = 3007
	NoOwner         Code = 4001
	OwnerLost       Code = 4002
	StoreDown       Code = 4003
	Unresolved      Code = 4004
	Draining        Code = 4005
	NoBundle        Code = 4006
	Internal        Code = 4007
	Withdrawn       Code = 4008
)

var table = []Info{
	{MalformedBody, "malformed-body", http.StatusBadRequest, NotRun, "Correct the body and send the request again."},
	{BodyTooLarge, "body-too-large", http.StatusRequestEntityTooLarge, NotRun, "Send a smaller body."},
	{UnknownModel, "unknown-model", http.StatusNotFound, NotRun, "Name an adapter and version that GET /v1/models lists."},
	{MissingKey, "missing-key", http.StatusUnauthorized, NotRun, "Send the key as a bearer token."},
	{WrongKey, "wrong-key", http.StatusUnauthorized, NotRun, "Ask the operators for a valid key."},
	{UnknownRoute, "unknown-route", http.StatusNotFound, NotRun, "Correct the path."},
	{WrongMethod, "wrong-method", http.StatusMethodNotAllowed, NotRun, "Use a method that the Allow header lists."},
	{BadHeader, "bad-header", http.StatusBadRequest, NotRun, "Correct the header that the message names."},
	{NotAllowed, "not-allowed", http.StatusForbidden, NotRun, "Ask the operators to give the client account access."},
	{KeyReused, "idempotency-key-reused", http.StatusUnprocessableEntity, NotRun, "Use a new Idempotency-Key for another request."},
	{KeyRequired, "idempotency-key-required", http.StatusBadRequest, NotRun, "Send an Idempotency-Key header."},
	{CallerGone, "caller-gone", 499, MayHaveRun, "The caller closed the connection before the answer."},
	{HeaderTooLarge, "header-too-large", http.StatusRequestHeaderFieldsTooLarge, NotRun, "Send a smaller header."},
	{OverRate, "over-rate", http.StatusTooManyRequests, NotRun, "Send again after the time in Retry-After."},
	{OverBurst, "over-burst", http.StatusRequestEntityTooLarge, NotRun, "Ask for fewer tokens: the request is larger than the account's burst."},
	{QueueFull, "queue-full", http.StatusServiceUnavailable, NotRun, "Send again after the time in Retry-After."},
	{DeadlineTooNear, "deadline-too-near", http.StatusServiceUnavailable, NotRun, "Send again later or with a longer deadline."},
	{DeadlinePassed, "deadline-passed", http.StatusGatewayTimeout, MayHaveRun, "Look up whether the request took effect before sending it again."},
	{Suspect, "suspect-request", http.StatusServiceUnavailable, NotRun, "The same request crashed endpoints; change it or wait."},
	{RetryBudget, "retry-budget-spent", http.StatusServiceUnavailable, MayHaveRun, "Send again after the time in Retry-After."},
	{SuspectPart, "suspect-part", http.StatusServiceUnavailable, NotRun, "A part of the prompt crashed endpoints; leave it out or wait."},
	{NoEndpoint, "no-endpoint", http.StatusServiceUnavailable, NotRun, "Send again after the time in Retry-After."},
	{EndpointFailed, "endpoint-failed", http.StatusBadGateway, MayHaveRun, "Look up whether the request took effect before sending it again."},
	{AnswerCut, "answer-cut", http.StatusBadGateway, MayHaveRun, "The answer is not whole; send the request again if it may run twice."},
	{LoadFailed, "load-failed", http.StatusServiceUnavailable, NotRun, "The adapter could not be loaded; send again after the time in Retry-After."},
	{EndpointTimeout, "endpoint-timeout", http.StatusGatewayTimeout, MayHaveRun, "Look up whether the request took effect before sending it again."},
	{AnswerTooLarge, "answer-too-large", http.StatusBadGateway, Ran, "The endpoint's answer is larger than the limit; ask for less."},
	{VersionUnknown, "version-unknown", http.StatusServiceUnavailable, NotRun, "Start the stream anew, or send again after the time in Retry-After."},
	{NoOwner, "no-owner", http.StatusServiceUnavailable, NotRun, "Send again after the time in Retry-After."},
	{OwnerLost, "owner-lost", http.StatusBadGateway, MayHaveRun, "Look up whether the request took effect before sending it again."},
	{StoreDown, "store-down", http.StatusServiceUnavailable, NotRun, "Send again after the time in Retry-After."},
	{Unresolved, "unresolved", http.StatusConflict, MayHaveRun, "An earlier request with this Idempotency-Key has no known end yet; ask again later."},
	{Draining, "draining", http.StatusServiceUnavailable, NotRun, "Send again: another VM takes the request."},
	{NoBundle, "no-bundle", http.StatusServiceUnavailable, NotRun, "Send again after the time in Retry-After."},
	{Internal, "internal", http.StatusInternalServerError, MayHaveRun, "Report the request id to the operators."},
	{Withdrawn, "withdrawn", http.StatusServiceUnavailable, NotRun, "Send again after the time in Retry-After."},
}

var byCode = index(table)

func index(infos []Info) map[Code]Info {
	m := make(map[Code]Info, len(infos))
	for _, info := range infos {
		m[info.Code] = info
	}
	return m
}

// Table returns every code in ascending order.
func Table() []Info { return append([]Info(nil), table...) }

// Info returns the code's line of the table. An unknown code has Internal's line.
func (c Code) Info() Info {
	info, ok := byCode[c]
	if !ok {
		return byCode[Internal]
	}
	return info
}

// Name returns the code's short name.
func (c Code) Name() string { return c.Info().Name }
