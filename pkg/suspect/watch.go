package suspect

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/roster"
)

// Life is what is known of an endpoint's run.
type Life uint8

// Lives.
const (
	// Unknown says that the endpoint has not answered.
	Unknown Life = iota
	// Alive says that this run of it has answered.
	Alive
	// Ended says that this run of it has ended.
	Ended
)

// Listing is what the list of endpoints says of a run of an endpoint.
type Listing uint8

// Listings.
const (
	// Current says that requests may go there.
	Current Listing = iota
	// Leaving says that it is about to end, or has left the list.
	Leaving
	// Replaced says that a later run of the endpoint is listed: this one has ended.
	Replaced
)

// Prober asks endpoints whether they live.
type Prober interface {
	// Probe asks a run of an endpoint. It does not wait longer than ctx lasts.
	Probe(ctx context.Context, e roster.Endpoint) Life
}

// WatchConfig holds what a Watch works with.
type WatchConfig struct {
	Table  *Table
	Prober Prober
	// Listed returns what the list of endpoints says of a run of an endpoint.
	Listed func(e roster.Endpoint) Listing
	// Told is called when there is something new for the other VMs.
	Told    func()
	Metrics metrics.Registry
	Log     logrus.FieldLogger
}

// Watch holds the ends of endpoints against the requests that were under way there, for a VM that dispatches requests
// directly. A connection that ends is not always an endpoint that ends: the crash counts at once at this VM, and is
// taken back if the endpoint shows that it lives. Other VMs hear of it only once that is decided.
// It is safe for concurrent use.
type Watch struct {
	cfg    WatchConfig
	meters watchMeters
	ctx    context.Context

	// asking is the number of open inquiries, so that the way of a request without any costs nothing.
	asking atomic.Int64

	// served are the requests that this VM has answered whole lately. Such a request does not crash every endpoint: it was
	// there by chance when one ended.
	served *served
	// tries reports whether this VM decides on trials of a request. It is set before the Watch is used.
	tries func(fingerprint uint64) bool
	// firstSeen tells other VMs of an end, and returns when the first of them has seen it. It is set before the Watch is
	// used.
	firstSeen func(crash string, seen time.Time) time.Time

	mu   sync.Mutex
	open map[roster.Incarnation]*inquiry // guarded by mu
	// decided maps the ends that other VMs may hear of to when they were seen first, guarded by mu.
	decided map[string]time.Time
}

// watchMeters count what a Watch decides.
type watchMeters struct {
	ended, alive, refused, cleared metrics.Counter
}

// Names of the metrics.
const (
	metricEnded   = "suspect.endpoints_ended"
	metricAlive   = "suspect.endpoints_alive"
	metricRefused = "suspect.refused"
	metricCleared = "suspect.cleared"
)

// NewWatch returns a Watch. ctx ends its work.
func NewWatch(ctx context.Context, cfg WatchConfig) *Watch {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, cfg.Metrics) }
	return &Watch{
		cfg: cfg, ctx: ctx, served: newServed(), tries: func(uint64) bool { return true },
		firstSeen: func(_ string, seen time.Time) time.Time { return seen }, open: map[roster.Incarnation]*inquiry{}, decided: map[string]time.Time{},
		meters: watchMeters{
			ended: counter(metricEnded), alive: counter(metricAlive), refused: counter(metricRefused), cleared: counter(metricCleared),
		},
	}
}

// Quiet reports whether no request is suspect: none needs to be identified before it is sent.
func (w *Watch) Quiet() bool { return w.cfg.Table.Empty() }

// Admit decides whether a request may be sent to an endpoint. After Refuse the duration says when to come back.
func (w *Watch) Admit(fingerprint uint64) (Decision, time.Duration) {
	now := time.Now()
	decision, after := w.cfg.Table.Admit(now, fingerprint)
	if decision != Refuse {
		return decision, after
	}
	if w.tries(fingerprint) && w.cfg.Table.Trial(now, fingerprint) {
		w.cfg.Log.WithFields(logrus.Fields{"event": "suspect_tried", "fingerprint": Text(fingerprint)}).Info()
		return Allow, 0
	}
	w.meters.refused.Inc(1)
	return Refuse, after
}

// Avoid returns the endpoints at which this VM runs other suspects.
func (w *Watch) Avoid(fingerprint uint64) []string { return w.cfg.Table.SuspectEndpoints(fingerprint) }

// Started says that a suspect is about to be sent to an endpoint. It reports false if it must not.
func (w *Watch) Started(fingerprint uint64, endpoint string) bool {
	return w.cfg.Table.Started(time.Now(), fingerprint, endpoint)
}

// Left says that a suspect for which Started was true has ended at an endpoint.
func (w *Watch) Left(fingerprint uint64, endpoint string) {
	w.cfg.Table.Ended(time.Now(), fingerprint, endpoint, false)
}

// Served says that a request was answered whole: it does not crash every endpoint that runs it.
func (w *Watch) Served(fingerprint uint64) {
	now := time.Now()
	w.served.note(fingerprint, now)
	if !w.cfg.Table.Acquit(now, fingerprint) {
		return
	}
	w.cfg.Table.Vouch(fingerprint)
	w.meters.cleared.Inc(1)
	w.cfg.Log.WithFields(logrus.Fields{"event": "suspect_cleared", "fingerprint": Text(fingerprint)}).Info()
	w.cfg.Told()
}

// Text returns a fingerprint as logs and dumps name it.
func Text(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }

// Answered says that an endpoint has answered a request that was sent to it at that time: it lived then.
func (w *Watch) Answered(id roster.Incarnation, sent time.Time) {
	if w.asking.Load() == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if q := w.open[id]; q != nil {
		w.lived(q, sent)
	}
}

// lived takes back what is held against requests whose connections ended before sent, at which time the endpoint
// lived. w.mu is held.
func (w *Watch) lived(q *inquiry, sent time.Time) {
	for fingerprint, s := range q.struck {
		if sent.After(s.broke) && sent.Sub(s.broke) < restartTime {
			delete(q.struck, fingerprint)
			w.cfg.Table.Retract(fingerprint, crashOf(q.endpoint))
		}
	}
}

// crashOf names the end of an endpoint's run, alike on all VMs.
func crashOf(e roster.Endpoint) string { return e.ID + "/" + strconv.FormatInt(e.Started, 10) }

// Broke says that the endpoint's side of the connection of a request, sent at that time, has ended before the answer.
// running is for how long the endpoint had been answering the request.
func (w *Watch) Broke(e roster.Endpoint, account string, fingerprint uint64, sent time.Time, running time.Duration) {
	if running >= settledAfter || w.cfg.Listed(e) == Leaving {
		return
	}
	now := time.Now()
	if w.served.lately(fingerprint, now) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	q := w.open[e.Incarnation]
	ended, decided := w.decided[crashOf(e)]
	if decided && sent.After(ended) || q != nil && sent.After(q.first) {
		// The endpoint had ended before.
		return
	}
	w.cfg.Table.Witness(now, account, fingerprint, crashOf(e))
	if decided {
		w.cfg.Told()
		return
	}
	if q == nil {
		q = &inquiry{endpoint: e, done: make(chan struct{}), first: now, struck: map[uint64]struck{}}
		w.open[e.Incarnation] = q
		w.asking.Add(1)
		go w.inquire(q)
	}
	q.struck[fingerprint] = struck{sent, now}
}

// inQuestion returns the ends of endpoints that this VM has not decided on. Other VMs do not hear of them.
func (w *Watch) inQuestion() map[string]bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	open := make(map[string]bool, len(w.open))
	for _, q := range w.open {
		open[crashOf(q.endpoint)] = true
	}
	return open
}

// Suspect is what a dump tells of a request with crashes.
type Suspect struct {
	Fingerprint string   `json:"fingerprint"`
	Account     string   `json:"account"`
	Crashes     []string `json:"crashes"`
	Age         string   `json:"age"`
}

// Suspects returns the requests with crashes, those with the most crashes first.
func (w *Watch) Suspects() []Suspect {
	byRequest := map[uint64]*Suspect{}
	for _, n := range w.cfg.Table.Notices(time.Now()) {
		if n.Cleared {
			continue
		}
		s := byRequest[n.Fingerprint]
		if s == nil {
			s = &Suspect{Fingerprint: Text(n.Fingerprint), Account: n.Account, Age: n.Age.Round(time.Millisecond).String()}
			byRequest[n.Fingerprint] = s
		}
		s.Crashes = append(s.Crashes, n.Crash)
	}
	list := make([]Suspect, 0, len(byRequest))
	for _, s := range byRequest {
		list = append(list, *s)
	}
	slices.SortFunc(list, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), strings.Compare(a.Fingerprint, b.Fingerprint))
	})
	return list
}

// maxDecided bounds the ends that are remembered as decided.
const maxDecided = 1024

// Sweep forgets what is no longer held against requests.
func (w *Watch) Sweep(now time.Time) {
	w.cfg.Table.Sweep(now)
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.decided) > maxDecided {
		clear(w.decided)
	}
}
