package dispatch

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/singleflight"

	"github.com/mallowlink/mallowlink/pkg/engine"
	"github.com/mallowlink/mallowlink/pkg/residency"
	"github.com/mallowlink/mallowlink/pkg/roster"
	"github.com/mallowlink/mallowlink/pkg/upstream"
)

const (
	// reportTTL is how long a cached report serves all requests. A newly fetched report may itself be that old.
	reportTTL = 300 * time.Millisecond
	// reportTimeout bounds the fetch of a report. Engines respond within milliseconds.
	reportTimeout = 150 * time.Millisecond
	// reportRetention is the age at which a cached report is discarded.
	reportRetention = 10 * time.Second
)

// ReportReader fetches the status report of an engine. engine.Engines implements it.
type ReportReader interface {
	Report(ctx context.Context, target upstream.Target) (engine.Report, error)
}

// reportCache holds status reports of engines, fetched for requests that found no reachable owner. It is safe
// for concurrent use.
type reportCache struct {
	source ReportReader
	log    logrus.FieldLogger
	// inFlight lets concurrent requests share the fetch of a report.
	inFlight singleflight.Group

	mu     sync.Mutex
	cached map[roster.Incarnation]cachedReport // guarded by mu
}

// cachedReport is the result of the last fetch of a report; ok is false if it failed.
type cachedReport struct {
	fetchedAt time.Time
	ok        bool
	engine.Report
}

func newReportCache(source ReportReader, log logrus.FieldLogger) *reportCache {
	return &reportCache{source: source, log: log, cached: map[roster.Incarnation]cachedReport{}}
}

// get returns the report of an engine, fetched at most reportTTL ago. It reports false if there is none.
func (r *reportCache) get(ctx context.Context, e roster.Endpoint) (engine.Report, bool) {
	r.mu.Lock()
	last, known := r.cached[e.Incarnation]
	r.mu.Unlock()
	if !known || time.Since(last.fetchedAt) >= reportTTL {
		// Other requests wait for the same report: the fetch must go on even if this request's caller leaves.
		ctx := context.WithoutCancel(ctx)
		key := fmt.Sprintf("%s/%d", e.ID, e.Started)
		shared, _, _ := r.inFlight.Do(key, func() (any, error) { return r.fetch(ctx, e), nil })
		last = shared.(cachedReport)
	}
	return last.Report, last.ok
}

// fetch fetches an engine's report and caches the result.
func (r *reportCache) fetch(ctx context.Context, e roster.Endpoint) cachedReport {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := r.source.Report(ctx, upstream.Target{ID: e.ID, Started: e.Started, Address: e.Address})
	if err == nil && report.Incarnation != e.Incarnation {
		err = errors.Errorf("report is from another incarnation of the engine, started at %d", report.Started)
	}
	if err != nil {
		r.log.WithError(err).WithFields(logrus.Fields{"event": "report_lost", "endpoint": e.ID, "started": e.Started}).Warn("could not fetch engine report")
	}
	last := cachedReport{fetchedAt: time.Now(), ok: err == nil, Report: report}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cached[e.Incarnation] = last
	return last
}

// sweep discards old reports.
func (r *reportCache) sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.cached, func(_ roster.Incarnation, last cachedReport) bool { return now.Sub(last.fetchedAt) > reportRetention })
}

// holder is an engine whose report lists an adapter.
type holder struct {
	endpoint roster.Endpoint
	version  int
	// requests is the number of requests queued or running at the engine.
	requests int
}

// holders returns those of the engines that hold the adapter in the given version or a newer one.
func (r *reportCache) holders(ctx context.Context, engines []roster.Endpoint, key residency.Key, version int) []holder {
	found := make([]*holder, len(engines))
	var fetches sync.WaitGroup
	for i, e := range engines {
		fetches.Go(func() {
			if report, ok := r.get(ctx, e); ok {
				found[i] = holderFrom(report, e, key, version)
			}
		})
	}
	fetches.Wait()
	var list []holder
	for _, h := range found {
		if h != nil {
			list = append(list, *h)
		}
	}
	return list
}

// holderFrom returns the engine as a holder of the adapter; nil if its report does not list the adapter.
func holderFrom(report engine.Report, e roster.Endpoint, key residency.Key, version int) *holder {
	for _, a := range report.Loaded {
		if residency.KeyOf(a) == key && a.Version >= version {
			return &holder{endpoint: e, version: a.Version, requests: report.Queued + report.Running}
		}
	}
	return nil
}
