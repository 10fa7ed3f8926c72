package rest

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/mallowlink/mallowlink/pkg/endpoint"
	"github.com/mallowlink/mallowlink/pkg/endpoint/rest/wire"
	"github.com/mallowlink/mallowlink/pkg/httpheader"
)

// Engine is a client of one model engine. It is safe for concurrent use.
type Engine struct{ service *Service }

var _ endpoint.Engine = (*Engine)(nil)

// NewEngine returns a client of the model engine at the base URL.
func NewEngine(base string, opts Options) *Engine {
	return &Engine{service: newPooled(base, opts)}
}

// CloseIdle closes the connections that are not in use.
func (e *Engine) CloseIdle() { e.service.CloseIdle() }

// Do sends the request. Every response with status 503 is returned as endpoint.ErrBusy, because
// engines use this status only for requests that they have not run.
func (e *Engine) Do(ctx context.Context, req endpoint.Request) (endpoint.Response, error) {
	header := httpheader.StripHopByHop(req.Header)
	header.Set(wire.Priority, strconv.Itoa(req.Priority))
	// The events of a compressed stream could not be parsed.
	header.Set("Accept-Encoding", "identity")
	resp, err := e.service.send(ctx, req, header)
	if err != nil {
		return nil, err
	}
	switch resp.StatusCode {
	case http.StatusServiceUnavailable, http.StatusNotFound:
	default:
		return e.service.newResponse(resp, req.Stream, 0), nil
	}
	response, failure := e.service.readFailure(resp)
	kind := errorForCode(resp.StatusCode, failure.Code)
	if kind == nil {
		return response, nil
	}
	response.Close()
	return nil, errors.Wrap(kind, failure.Message)
}

// Resume continues the stream of request id at event number next.
func (e *Engine) Resume(ctx context.Context, id string, next uint64) (endpoint.Response, error) {
	query := url.Values{wire.IDParam: {id}, wire.NextParam: {strconv.FormatUint(next, 10)}}
	req := endpoint.Request{ID: id, Method: http.MethodGet, Path: wire.ResumePath + "?" + query.Encode()}
	resp, err := e.service.send(ctx, req, http.Header{})
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		return e.service.newResponse(resp, true, next), nil
	}
	response, failure := e.service.readFailure(resp)
	response.Close()
	return nil, callError(resp.StatusCode, failure)
}

// Cancel stops request id.
func (e *Engine) Cancel(ctx context.Context, id string) error {
	query := url.Values{wire.IDParam: {id}}
	_, err := e.call(ctx, http.MethodPost, wire.CancelPath+"?"+query.Encode(), nil, nil)
	return err
}

// Load loads an adapter version. Loading one that is loaded already is no error.
func (e *Engine) Load(ctx context.Context, order endpoint.Order, adapter endpoint.AdapterVersion) error {
	return e.sendOrder(ctx, wire.LoadPath, adapterOrder(order, adapter))
}

// Unload unloads an adapter version. Unloading one that is not loaded is no error.
func (e *Engine) Unload(ctx context.Context, order endpoint.Order, adapter endpoint.AdapterVersion) error {
	return e.sendOrder(ctx, wire.UnloadPath, adapterOrder(order, adapter))
}

// SetRole changes the engine's role.
func (e *Engine) SetRole(ctx context.Context, order endpoint.Order, role endpoint.Role) error {
	return e.sendOrder(ctx, wire.RolePath, wire.RoleOrder{Order: wire.Order(order), Role: string(role)})
}

// Report returns the engine's load report.
func (e *Engine) Report(ctx context.Context) (endpoint.LoadReport, error) {
	body, err := e.call(ctx, http.MethodGet, wire.ReportPath, nil, nil)
	if err != nil {
		return endpoint.LoadReport{}, err
	}
	var report wire.Report
	if err := json.Unmarshal(body, &report); err != nil {
		return endpoint.LoadReport{}, errors.Wrap(err, "decode report")
	}
	out := endpoint.LoadReport{
		Incarnation: report.Incarnation,
		Age:         time.Duration(report.AgeMS) * time.Millisecond,
		Running:     report.Running,
		Waiting:     report.Waiting,
		Role:        endpoint.Role(report.Role),
		Draining:    report.Draining,
		Slots:       report.Slots,
	}
	for _, loaded := range report.Loaded {
		out.Loaded = append(out.Loaded, endpoint.LoadedAdapter{
			AdapterVersion: endpoint.AdapterVersion{Adapter: loaded.Adapter, Version: loaded.Version},
			Running:        loaded.Running,
		})
	}
	return out, nil
}

// CacheEvents returns the cache events after number since.
func (e *Engine) CacheEvents(ctx context.Context, since uint64) ([]endpoint.CacheEvent, error) {
	query := url.Values{wire.SinceParam: {strconv.FormatUint(since, 10)}}
	body, err := e.call(ctx, http.MethodGet, wire.CacheEventsPath+"?"+query.Encode(), nil, nil)
	if err != nil {
		return nil, err
	}
	var response wire.CacheEvents
	if err := json.Unmarshal(body, &response); err != nil {
		return nil, errors.Wrap(err, "decode cache events")
	}
	events := make([]endpoint.CacheEvent, len(response.Events))
	for i, ev := range response.Events {
		prefix, err := strconv.ParseUint(ev.Prefix, 16, 64)
		if err != nil {
			return nil, errors.Wrap(err, "decode prefix")
		}
		events[i] = endpoint.CacheEvent{
			Seq:     ev.Seq,
			Stored:  ev.Stored,
			Adapter: endpoint.AdapterVersion{Adapter: ev.Adapter, Version: ev.Version},
			Prefix:  prefix,
		}
	}
	return events, nil
}

// ExportKV returns the KV cache of a prompt prefix, or endpoint.ErrNotFound if the engine has none.
func (e *Engine) ExportKV(ctx context.Context, prefix uint64) ([]byte, error) {
	return e.call(ctx, http.MethodGet, kvPath(prefix), nil, nil)
}

// ImportKV stores the KV cache of a prompt prefix.
func (e *Engine) ImportKV(ctx context.Context, order endpoint.Order, prefix uint64, data []byte) error {
	header := http.Header{
		wire.Holder:    {order.Holder},
		wire.Fencing:   {strconv.FormatUint(order.Fencing, 10)},
		"Content-Type": {"application/octet-stream"},
	}
	_, err := e.call(ctx, http.MethodPut, kvPath(prefix), header, data)
	return err
}

func kvPath(prefix uint64) string {
	return wire.KVPath + "?" + url.Values{wire.PrefixParam: {strconv.FormatUint(prefix, 16)}}.Encode()
}

func adapterOrder(order endpoint.Order, adapter endpoint.AdapterVersion) wire.AdapterOrder {
	return wire.AdapterOrder{
		Order:   wire.Order(order),
		Adapter: adapter.Adapter,
		Version: adapter.Version,
	}
}

// sendOrder posts an order as JSON.
func (e *Engine) sendOrder(ctx context.Context, path string, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	_, err = e.call(ctx, http.MethodPost, path, http.Header{"Content-Type": {"application/json"}}, body)
	return err
}

// call makes one administrative call and returns the complete body of the response. A status other
// than 200 is an error.
func (e *Engine) call(ctx context.Context, method, path string, header http.Header, data []byte) ([]byte, error) {
	if header == nil {
		header = http.Header{}
	}
	req := endpoint.Request{ID: uuid.NewString(), Method: method, Path: path, Body: data}
	resp, err := e.service.send(ctx, req, header)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		response, failure := e.service.readFailure(resp)
		response.Close()
		return nil, callError(resp.StatusCode, failure)
	}
	response := e.service.newResponse(resp, false, 0)
	defer response.Close()
	return readAll(response)
}

// readAll reads the response to its end and returns its body.
func readAll(response endpoint.Response) ([]byte, error) {
	var out bytes.Buffer
	for {
		piece, err := response.Next()
		if err == io.EOF {
			return out.Bytes(), nil
		}
		if err != nil {
			return nil, err
		}
		out.Write(piece)
	}
}

// callError returns the error for an administrative call that the engine refused.
func callError(status int, failure wire.FailureDetail) error {
	if kind := errorForCode(status, failure.Code); kind != nil {
		return errors.Wrap(kind, failure.Message)
	}
	return errors.Errorf("endpoint: status %d: %s", status, failure.Message)
}

// errorForCode returns the error of package endpoint for the code and status of an error response, or
// nil if there is none. Engines use status 503 only for requests that they have not run, so it means
// ErrBusy without a code, too.
func errorForCode(status int, code wire.Code) error {
	switch code {
	case wire.CodeNotLoaded:
		return endpoint.ErrNotLoaded
	case wire.CodeFenced:
		return endpoint.ErrFenced
	case wire.CodeInUse:
		return endpoint.ErrInUse
	case wire.CodeLoadFailed:
		return endpoint.ErrLoadFailed
	case wire.CodeNoSlot:
		return endpoint.ErrNoSlot
	case wire.CodeGone:
		return endpoint.ErrNotFound
	}
	if code == wire.CodeBusy || status == http.StatusServiceUnavailable {
		return endpoint.ErrBusy
	}
	return nil
}
