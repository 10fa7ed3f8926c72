package admin

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

func get(t *testing.T, handler http.Handler, path string) *httptest.ResponseRecorder {
	t.Helper()
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
	return recorder
}

func TestMetricsInPrometheusText(t *testing.T) {
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("entry.requests", registry).Inc(3)
	metrics.GetOrRegisterGauge("bundle.version", registry).Update(7)
	metrics.GetOrRegisterTimer("owner.decide", registry).Update(2 * time.Second)
	text := get(t, NewHandler(func() any { return nil }, registry), "/metrics").Body.String()
	require.Contains(t, text, "mallowlink_entry_requests 3\n")
	require.Contains(t, text, "mallowlink_bundle_version 7\n")
	require.Contains(t, text, "mallowlink_owner_decide_seconds{quantile=\"0.5\"} 2\n")
	require.Less(t, strings.Index(text, "bundle_version"), strings.Index(text, "entry_requests"))
}

// A command is carried out only for a POST request, and its error is reported.
func TestCommands(t *testing.T) {
	var parts []string
	handler := NewHandler(func() any { return nil }, metrics.NewRegistry(), Command{Path: "/release", Run: func(p url.Values) error {
		if p.Get("part") == "" {
			return errors.New("no part")
		}
		parts = append(parts, p.Get("part"))
		return nil
	}})
	for _, c := range []struct {
		method, target string
		status         int
	}{
		{http.MethodGet, "/release?part=a", http.StatusMethodNotAllowed},
		{http.MethodPost, "/release", http.StatusNotFound},
		{http.MethodPost, "/release?part=b", http.StatusNoContent},
	} {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(c.method, c.target, nil))
		require.Equal(t, c.status, recorder.Code, c.target)
	}
	require.Equal(t, []string{"b"}, parts)
}

func TestStateIsJSON(t *testing.T) {
	type state struct {
		VM string `json:"vm"`
	}
	handler := NewHandler(func() any { return state{VM: "a"} }, metrics.NewRegistry())
	require.JSONEq(t, `{"vm":"a"}`, get(t, handler, "/state").Body.String())
	require.Equal(t, http.StatusMethodNotAllowed, func() int {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/state", nil))
		return recorder.Code
	}())
}
