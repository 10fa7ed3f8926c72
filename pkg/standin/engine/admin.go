package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/mallowlink/mallowlink/pkg/endpoint"
	"github.com/mallowlink/mallowlink/pkg/endpoint/rest/wire"
	"github.com/mallowlink/mallowlink/pkg/standin"
	"github.com/mallowlink/mallowlink/pkg/standin/fault"
	"github.com/mallowlink/mallowlink/pkg/standin/weights"
)

// admit checks an order's fencing number. The caller holds mu.
func (s *Server) admit(st *state, order wire.Order) *refusal {
	_, ignore := s.Faults.Active(fault.IgnoreFencing)
	if order.Fencing < st.fencing && !ignore && !s.opts.IgnoreFencing {
		message := "an order with fencing number " + strconv.FormatUint(st.fencing, 10) + " has come before"
		return &refusal{http.StatusConflict, wire.CodeFenced, message}
	}
	st.fencing = max(st.fencing, order.Fencing)
	return nil
}

// load serves orders to load an adapter version. The load goes on if the connection is cut.
func (s *Server) load(w http.ResponseWriter, r *http.Request) {
	var order wire.AdapterOrder
	if !standin.ReadJSON(w, r, &order) {
		return
	}
	st, ad, refused := s.beginLoad(order)
	if refused != nil {
		refuse(w, refused.status, refused.code, refused.message)
		return
	}
	select {
	case <-ad.loaded:
	case <-st.ctx.Done():
		fault.Cut()
	case <-r.Context().Done():
		return
	}
	if ad.err != nil {
		refuse(w, http.StatusInternalServerError, wire.CodeLoadFailed, ad.err.Error())
		return
	}
	w.WriteHeader(http.StatusOK)
}

// beginLoad takes a slot and starts the load, unless the adapter is there already.
func (s *Server) beginLoad(order wire.AdapterOrder) (*state, *adapter, *refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.state
	if refused := s.admit(st, order.Order); refused != nil {
		return nil, nil, refused
	}
	version := endpoint.AdapterVersion{Adapter: order.Adapter, Version: order.Version}
	if ad := st.adapters[version]; ad != nil {
		return st, ad, nil
	}
	if len(st.adapters) >= s.opts.Slots {
		return nil, nil, &refusal{http.StatusConflict, wire.CodeNoSlot, "every slot is taken"}
	}
	ad := &adapter{version: version, loaded: make(chan struct{})}
	st.adapters[version] = ad
	go s.runLoad(st, ad)
	return st, ad, nil
}

func (s *Server) runLoad(st *state, ad *adapter) {
	err := s.fetchWeights(st.ctx, ad.version)
	if _, ok := s.Faults.Take(fault.FailLoads, ad.version.String()); ok {
		err = errors.New("weights are damaged")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	ad.err = err
	ad.ready = err == nil
	if err != nil {
		delete(st.adapters, ad.version)
	}
	close(ad.loaded)
	s.noteReport(st)
}

func (s *Server) fetchWeights(ctx context.Context, version endpoint.AdapterVersion) error {
	if s.opts.WeightsURL == "" {
		timer := time.NewTimer(s.opts.LoadTime)
		defer timer.Stop()
		select {
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	target := strings.TrimRight(s.opts.WeightsURL, "/") + weights.AdapterPath + url.PathEscape(version.String())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "fetch weights")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("weight store answers status %d", resp.StatusCode)
	}
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		return errors.Wrap(err, "read weights")
	}
	return nil
}

// unload serves orders to unload an adapter version.
func (s *Server) unload(w http.ResponseWriter, r *http.Request) {
	var order wire.AdapterOrder
	if !standin.ReadJSON(w, r, &order) {
		return
	}
	if refused := s.drop(order); refused != nil {
		refuse(w, refused.status, refused.code, refused.message)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Server) drop(order wire.AdapterOrder) *refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.state
	if refused := s.admit(st, order.Order); refused != nil {
		return refused
	}
	version := endpoint.AdapterVersion{Adapter: order.Adapter, Version: order.Version}
	ad := st.adapters[version]
	if ad == nil {
		return nil
	}
	if !ad.ready || ad.running > 0 {
		return &refusal{http.StatusConflict, wire.CodeInUse, version.String() + " is in use"}
	}
	delete(st.adapters, version)
	st.cache.dropAdapter(version, time.Now())
	s.noteReport(st)
	return nil
}

// setRole serves orders to change the role.
func (s *Server) setRole(w http.ResponseWriter, r *http.Request) {
	var order wire.RoleOrder
	if !standin.ReadJSON(w, r, &order) {
		return
	}
	role := endpoint.Role(order.Role)
	if !slices.Contains([]endpoint.Role{endpoint.RoleServe, endpoint.RolePrefill, endpoint.RoleStandby}, role) {
		refuse(w, http.StatusBadRequest, wire.CodeInvalid, "unknown role")
		return
	}
	s.mu.Lock()
	refused := s.admit(s.state, order.Order)
	if refused == nil {
		s.state.role = role
		s.noteReport(s.state)
	}
	s.mu.Unlock()
	if refused != nil {
		refuse(w, refused.status, refused.code, refused.message)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// kvImage is the exported form of a cached prefix.
type kvImage struct {
	Adapter endpoint.AdapterVersion `json:"adapter"`
	Prefix  uint64                  `json:"prefix,string"`
}

// exportKV answers with the KV cache of a prompt prefix.
func (s *Server) exportKV(w http.ResponseWriter, r *http.Request) {
	prefix, err := strconv.ParseUint(r.URL.Query().Get(wire.PrefixParam), 16, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, wire.CodeInvalid, "prefix is not a number")
		return
	}
	s.mu.Lock()
	entry, ok := s.state.cache.find(prefix)
	s.mu.Unlock()
	if !ok {
		refuse(w, http.StatusNotFound, wire.CodeGone, "prefix is not cached")
		return
	}
	standin.WriteJSON(w, http.StatusOK, kvImage{Adapter: entry.adapter, Prefix: prefix})
}

// importKV stores an exported KV cache.
func (s *Server) importKV(w http.ResponseWriter, r *http.Request) {
	var image kvImage
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&image)
	fencing, fencingErr := strconv.ParseUint(r.Header.Get(wire.Fencing), 10, 64)
	prefix, prefixErr := strconv.ParseUint(r.URL.Query().Get(wire.PrefixParam), 16, 64)
	if err != nil || fencingErr != nil || prefixErr != nil || prefix != image.Prefix {
		refuse(w, http.StatusBadRequest, wire.CodeInvalid, "malformed import")
		return
	}
	s.mu.Lock()
	refused := s.admit(s.state, wire.Order{Holder: r.Header.Get(wire.Holder), Fencing: fencing})
	if refused == nil {
		s.state.cache.use(prefix, image.Adapter, time.Now())
	}
	s.mu.Unlock()
	if refused != nil {
		refuse(w, refused.status, refused.code, refused.message)
		return
	}
	w.WriteHeader(http.StatusOK)
}
