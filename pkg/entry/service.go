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

// maxIdempotencyKey bounds the length of an Idempotency-Key.
const maxIdempotencyKey = 255

// service answers a request to a plain service by a route of the bundle.
func (h *Handler) service(x *exchange) *result.Error {
	route, ok, wrongMethod := x.index.match(x.r)
	if wrongMethod {
		x.w.Header().Set("Allow", strings.Join(x.index.methods(x.r), ", "))
		return result.New(result.WrongMethod, "the path does not take this method")
	}
	if !ok {
		return result.New(result.UnknownRoute, "no route has this path")
	}
	if e := x.allowed(route); e != nil {
		return e
	}
	if slices.ContainsFunc(strings.Split(x.r.URL.Path, "/"), x.credentials.in) {
		return result.New(result.UnknownRoute, "the path holds a key")
	}
	body, held, e := h.readBody(x.w, x.r)
	defer func() { h.memory.Give(held) }()
	if e != nil {
		return e
	}
	body, e = x.credentials.body(body, x.r.Header.Get("Content-Type"))
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

// allowed checks the key on a keyed route. On an open route the account is dropped: the request
// runs for nobody.
func (x *exchange) allowed(route bundle.Route) *result.Error {
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

// serviceCall turns the request into a call of a plain service.
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
	call.Endpoint.Header = x.credentials.header(x.r.Header)
	if route.Open {
		call.Authorized = func() bool { return true }
	}
	return call, nil
}

// target returns the path and query that the service gets.
func target(x *exchange) string {
	path := x.r.URL.EscapedPath()
	if query := x.credentials.query(x.r.URL.RawQuery); query != "" {
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

// newCall returns the part of a call that is the same for engines and services.
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
		Authorized:   h.authorized(x),
		Endpoint: endpoint.Request{
			ID:       x.w.id,
			Method:   x.r.Method,
			Path:     target,
			Body:     body,
			Priority: priorityInteractive,
		},
	}
}

// defaultWeight is the weight of an account that names none, and of open routes.
const defaultWeight = 1
