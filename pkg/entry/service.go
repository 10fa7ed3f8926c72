package entry

import (
	"encoding/hex"
	"net/http"
	"slices"
	"strings"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/endpoint"
	"github.com/mallowlink/mallowlink/pkg/request"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/suspect"
)

// maxIdempotencyKey is the maximum length of an Idempotency-Key in bytes.
const maxIdempotencyKey = 255

// service handles a request to a plain service, by a route of the bundle.
func (h *Handler) service(x *exchange) *result.Error {
	route, ok, wrongMethod := x.index.match(x.r)
	if wrongMethod {
		x.w.Header().Set("Allow", strings.Join(x.index.methods(x.r), ", "))
		return result.New(result.WrongMethod, "the path does not take this method")
	}
	if !ok {
		return result.New(result.UnknownRoute, "no route has this path")
	}
	if e := x.authorizeRoute(route); e != nil {
		return e
	}
	if slices.ContainsFunc(strings.Split(x.r.URL.Path, "/"), x.credentials.foundIn) {
		return result.New(result.UnknownRoute, "the path holds a key")
	}
	body, held, e := h.readBody(x.w, x.r)
	defer func() { h.memory.Release(held) }()
	if e != nil {
		return e
	}
	body, e = x.credentials.redactBody(body, x.r.Header.Get("Content-Type"))
	if e != nil {
		return e
	}
	call, e := h.serviceCall(x, route, body)
	if e != nil {
		return e
	}
	h.run(x, call)
	return nil
}

// authorizeRoute checks that the caller's account may use the route. An open route needs no key; the account is
// cleared there, so the request runs for no account.
func (x *exchange) authorizeRoute(route bundle.Route) *result.Error {
	if route.Open {
		x.account = ""
		return nil
	}
	if e := x.requireAccount(); e != nil {
		return e
	}
	if len(route.Accounts) > 0 && !slices.Contains(route.Accounts, x.account) {
		return result.New(result.NotAllowed, "the client account may not use this route")
	}
	return nil
}

// serviceCall checks the request and returns the call to a plain service.
func (h *Handler) serviceCall(x *exchange, route bundle.Route, body []byte) (*request.Call, *result.Error) {
	class, e := x.class(route.Class)
	if e != nil {
		return nil, e
	}
	if route.Class == bundle.Batch {
		class = bundle.Batch
	}
	deadline, e := h.deadline(x, route.Timeout)
	if e != nil {
		return nil, e
	}
	name, e := idempotencyKey(x.r)
	if e != nil {
		return nil, e
	}
	call := h.newCall(x, target(x), body)
	call.Class = class
	call.Deadline = deadline
	call.Route = route.Name
	call.Groups = []string{route.Group}
	call.Tokens = route.Cost
	call.Idempotent = route.Idempotent
	call.IdempotencyKey = name
	call.Endpoint.Header = x.credentials.redactHeader(x.r.Header)
	if route.Open {
		call.Authorized = func() bool { return true }
	}
	return call, nil
}

// target returns the path and query to send to the service, without keys in the query.
func target(x *exchange) string {
	path := x.r.URL.EscapedPath()
	if query := x.credentials.redactQuery(x.r.URL.RawQuery); query != "" {
		path += "?" + query
	}
	return path
}

func idempotencyKey(r *http.Request) (string, *result.Error) {
	values := r.Header.Values(HeaderIdempotencyKey)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 || values[0] == "" || len(values[0]) > maxIdempotencyKey {
		return "", result.New(result.BadHeader, HeaderIdempotencyKey+" must be one value of 1 to 255 bytes")
	}
	return values[0], nil
}

// newCall returns a call with the fields that are common to engines and services.
func (h *Handler) newCall(x *exchange, target string, body []byte) *request.Call {
	sum := suspect.Hash(x.r.Method, target, body)
	weight := x.index.bundle.Accounts[x.account].Weight
	if weight <= 0 {
		weight = defaultWeight
	}
	return &request.Call{
		ID:           x.w.id,
		Account:      x.account,
		Weight:       weight,
		BodyHash:     hex.EncodeToString(sum[:]),
		Fingerprint:  suspect.Fingerprint(x.account, sum),
		RetryPercent: x.index.bundle.Fleet.RetryPercent,
		Authorized:   h.authorizer(x),
		Endpoint: endpoint.Request{
			ID:       x.w.id,
			Method:   x.r.Method,
			Path:     target,
			Body:     body,
			Priority: priorityInteractive,
		},
	}
}

// defaultWeight is the weight of accounts that have none configured, and of requests on open routes.
const defaultWeight = 1
