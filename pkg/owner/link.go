package owner

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/endpoint"
)

const (
	// reportInterval is the time between two polls of one endpoint's load report.
	reportInterval = 500 * time.Millisecond
	// reportTimeout bounds each poll for a load report or for cache events.
	reportTimeout = time.Second
	// failuresToUnreachable is the number of consecutive polls that must fail before the endpoint counts as
	// unreachable. After a refused connection it does so at once.
	failuresToUnreachable = 3
	// serviceIncarnationFormat formats the incarnation of a plain service from the number of outages seen.
	// Services do not report restarts, so each outage counts as one.
	serviceIncarnationFormat = "service-%d"
	// serviceProbePath is requested to check that a plain service responds; any status will do.
	serviceProbePath = "/healthz"
)

// link holds the client of one endpoint and the endpoint's last observed state. Endpoints are engines,
// which load adapters and send load reports, or plain services.
type link struct {
	spec    bundle.Endpoint
	service endpoint.Service
	// engine is nil for plain services.
	engine endpoint.Engine
	cancel context.CancelFunc

	// mu guards the fields below.
	mu sync.Mutex
	// incarnation is empty until the first load report.
	incarnation string
	// failures counts consecutive failed polls.
	failures int
	// lastEvent is the number of the last cache event read in this incarnation.
	lastEvent uint64
	// outages counts how often a plain service has become reachable again.
	outages int
}

// newLink returns a link to the endpoint and starts polling it.
func (r *runner) newLink(spec bundle.Endpoint, kind bundle.GroupKind) *link {
	ctx, cancel := context.WithCancel(r.ctx)
	l := &link{spec: spec, cancel: cancel}
	if kind == bundle.KindService {
		l.service = r.owner.cfg.Connector.Service(spec)
	} else {
		l.engine = r.owner.cfg.Connector.Engine(spec)
		l.service = l.engine
	}
	go r.watch(ctx, l)
	return l
}

// watch polls the endpoint's load report and cache events every reportInterval until ctx ends.
func (r *runner) watch(ctx context.Context, l *link) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		r.pollEndpoint(ctx, l)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (r *runner) pollEndpoint(ctx context.Context, l *link) {
	report, err := l.fetchReport(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		r.handleReportError(l, err)
		return
	}
	r.handleReport(l, report)
	if l.engine != nil {
		r.readCacheEvents(ctx, l)
	}
}

// fetchReport requests a load report. For a plain service that responds at all, it returns one that holds only
// the incarnation.
func (l *link) fetchReport(ctx context.Context) (endpoint.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if l.engine != nil {
		return l.engine.Report(ctx)
	}
	answer, err := l.service.Do(ctx, endpoint.Request{ID: "probe", Method: "GET", Path: serviceProbePath})
	if err != nil {
		return endpoint.LoadReport{}, err
	}
	_ = answer.Close()
	return endpoint.LoadReport{Incarnation: l.serviceIncarnation()}, nil
}

// serviceIncarnation returns the incarnation of a plain service that has just responded.
func (l *link) serviceIncarnation() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failures >= failuresToUnreachable {
		l.outages++
	}
	return fmt.Sprintf(serviceIncarnationFormat, l.outages)
}

// handleReport passes a load report to the scheduler. A new incarnation means that the endpoint has
// restarted and that every attempt on it was interrupted.
func (r *runner) handleReport(l *link, report endpoint.LoadReport) {
	restarted := l.recordReport(report.Incarnation)
	if restarted {
		r.logEndpoint("endpoint_restarted", "endpoint restarted", l, nil)
		r.owner.meters.restarts.Inc(1)
	}
	r.step(func(now time.Time) { r.sched.Report(now, l.spec.Name, report) })
}

func (r *runner) handleReportError(l *link, err error) {
	if !l.recordFailure(err) {
		return
	}
	r.logEndpoint("endpoint_unreachable", "endpoint unreachable", l, err)
	r.step(func(now time.Time) { r.sched.Unreachable(now, l.spec.Name) })
}

func (r *runner) logEndpoint(event, message string, l *link, err error) {
	fields := logrus.Fields{"event": event, "group": r.group, "endpoint": l.spec.Name}
	if err != nil {
		fields["error"] = err.Error()
	}
	r.owner.cfg.Log.WithFields(fields).Warn(message)
}

// recordReport records the incarnation in a load report and reports whether the endpoint has restarted.
func (l *link) recordReport(incarnation string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = 0
	restarted := l.incarnation != "" && l.incarnation != incarnation
	l.incarnation = incarnation
	if restarted {
		l.lastEvent = 0
	}
	return restarted
}

// recordFailure counts a failed poll and reports whether the endpoint has just become unreachable.
func (l *link) recordFailure(err error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.failures
	l.failures++
	if errors.Is(err, endpoint.ErrRefused) {
		l.failures = max(l.failures, failuresToUnreachable)
	}
	return before < failuresToUnreachable && l.failures >= failuresToUnreachable
}

func (l *link) currentIncarnation() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.incarnation
}

// hasCrashed polls the endpoint and reports whether it counts as crashed since the given incarnation: the poll
// fails or returns another incarnation.
func (l *link) hasCrashed(ctx context.Context, incarnation string) bool {
	report, err := l.fetchReport(ctx)
	if err != nil {
		return true
	}
	return incarnation != "" && report.Incarnation != incarnation
}

// readCacheEvents passes the engine's new cache events to the scheduler, with a note whether some are
// missing. Errors are ignored; the next poll asks for the same events again.
func (r *runner) readCacheEvents(ctx context.Context, l *link) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	l.mu.Lock()
	since := l.lastEvent
	l.mu.Unlock()
	events, err := l.engine.CacheEvents(ctx, since)
	if err != nil || len(events) == 0 {
		return
	}
	gap := events[0].Seq != since+1
	l.mu.Lock()
	l.lastEvent = events[len(events)-1].Seq
	l.mu.Unlock()
	r.step(func(now time.Time) { r.sched.CacheEvents(now, l.spec.Name, events, gap) })
}
