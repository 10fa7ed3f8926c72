package engine

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/mallowlink/mallowlink/pkg/endpoint/rest/wire"
	"github.com/mallowlink/mallowlink/pkg/standin"
	"github.com/mallowlink/mallowlink/pkg/standin/fault"
)

// maxReports bounds the older load reports that are kept for the lag.
const maxReports = 4096

// report is a load report and the time when it was taken.
type report struct {
	wire.Report
	at time.Time
}

func (s *Server) reportLag() time.Duration {
	if f, ok := s.Faults.Active(fault.ReportLag); ok {
		return f.Delay()
	}
	return s.opts.ReportLag
}

// noteReport keeps a load report if reports lag. The caller holds mu.
func (s *Server) noteReport(st *state) {
	if s.reportLag() == 0 {
		st.reports = nil
		return
	}
	st.reports = append(st.reports, report{Report: s.takeReport(st), at: time.Now()})
	if len(st.reports) > maxReports {
		st.reports = slices.Delete(st.reports, 0, len(st.reports)-maxReports)
	}
}

// takeReport returns the present load. The caller holds mu.
func (s *Server) takeReport(st *state) wire.Report {
	out := wire.Report{
		Incarnation: st.incarnation,
		Running:     st.running,
		Waiting:     st.waiting.Len(),
		Role:        string(st.role),
		Draining:    st.draining,
		Slots:       s.opts.Slots,
		Loaded:      []wire.LoadedAdapter{},
	}
	for version, ad := range st.adapters {
		if ad.ready {
			out.Loaded = append(out.Loaded, wire.LoadedAdapter{
				Adapter: version.Adapter,
				Version: version.Version,
				Running: ad.running,
			})
		}
	}
	slices.SortFunc(out.Loaded, func(a, b wire.LoadedAdapter) int {
		return strings.Compare(a.Adapter+":"+a.Version, b.Adapter+":"+b.Version)
	})
	return out
}

// serveReport answers with the newest report that is at least as old as the lag, else the oldest.
func (s *Server) serveReport(w http.ResponseWriter, _ *http.Request) {
	lag := s.reportLag()
	now := time.Now()
	s.mu.Lock()
	out := s.takeReport(s.state)
	if reports := s.state.reports; lag > 0 && len(reports) > 0 {
		i := len(reports) - 1
		for i > 0 && now.Sub(reports[i].at) < lag {
			i--
		}
		out = reports[i].Report
		out.AgeMS = min(now.Sub(reports[i].at), lag).Milliseconds()
	}
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, out)
}

// serveCacheEvents answers with the events after a number.
func (s *Server) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get(wire.SinceParam), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, wire.CodeInvalid, "since is not a number")
		return
	}
	lag := s.opts.EventLag
	if f, ok := s.Faults.Active(fault.EventLag); ok {
		lag = f.Delay()
	}
	s.mu.Lock()
	events := s.state.cache.since(since, time.Now().Add(-lag))
	s.mu.Unlock()
	out := wire.CacheEvents{Events: make([]wire.CacheEvent, len(events))}
	for i, event := range events {
		out.Events[i] = wire.CacheEvent{
			Seq:     event.Seq,
			Stored:  event.Stored,
			Adapter: event.Adapter.Adapter,
			Version: event.Adapter.Version,
			Prefix:  strconv.FormatUint(event.Prefix, 16),
		}
	}
	standin.WriteJSON(w, http.StatusOK, out)
}
