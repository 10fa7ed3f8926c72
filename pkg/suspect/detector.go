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

// Liveness is what is known of the state of an endpoint incarnation.
type Liveness uint8

// Possible states of an endpoint incarnation.
const (
	// Unknown says that the endpoint has not responded.
	Unknown Liveness = iota
	// Alive says that this incarnation has responded.
	Alive
	// Terminated says that this incarnation has terminated.
	Terminated
)

// Listing is what the list of endpoints says of an endpoint incarnation.
type Listing uint8

// Possible listings of an endpoint incarnation.
const (
	// Current says that requests may be sent to the incarnation.
	Current Listing = iota
	// Leaving says that the incarnation is about to terminate, or is no longer listed.
	Leaving
	// Replaced says that a later incarnation of the endpoint is listed: this one has terminated.
	Replaced
	// Evacuated says that nothing may be sent to the endpoint, so that it cannot be probed.
	Evacuated
)

// Prober finds out whether endpoints are alive.
type Prober interface {
	// Probe queries an endpoint for the state of its incarnation. It returns when ctx ends at the latest.
	Probe(ctx context.Context, e roster.Endpoint) Liveness
}

// DetectorConfig is the configuration of a crash detector.
type DetectorConfig struct {
	Table *Table
	// Parts holds the crashes recorded for parts of prompts; nil for an empty table.
	Parts  *PartTable
	Prober Prober
	// Listed returns what the list of endpoints says of an endpoint incarnation.
	Listed func(e roster.Endpoint) Listing
	// OnChange is called when there may be something new to report to the other VMs.
	OnChange func()
	Metrics  metrics.Registry
	Log      logrus.FieldLogger
}

// Detector detects crashes of endpoints and holds them against the requests that were in flight there, for a VM that dispatches
// requests directly. A lost connection does not always mean a crashed endpoint: the crash counts at once on this VM, and is
// retracted if the endpoint turns out to be alive. Other VMs are notified only after that is decided.
// It is safe for concurrent use.
type Detector struct {
	cfg     DetectorConfig
	metrics detectorMetrics
	ctx     context.Context

	// openChecks is the number of checks in progress. It is read without mu, so that a response costs nothing extra while
	// there are none.
	openChecks atomic.Int64

	// served are the requests that have recently received a complete response on this VM. Such a request does not crash every
	// endpoint: if it is in flight at a crash, that is a coincidence.
	served *recentlyServed
	// decidesTrials reports whether this VM decides when a refused request is tried again. It is set before the first use.
	decidesTrials func(fingerprint uint64) bool
	// requestPartTrial reports whether this VM may run one request with a held part. onPartChange is called when there may be
	// something new to report on parts. They are set before the first use.
	requestPartTrial func(ctx context.Context, fingerprint uint64) bool
	onPartChange     func()
	// reconcileCrashTime reports a crash to other VMs, and returns the earliest time at which any of them saw it. It is set
	// before the first use.
	reconcileCrashTime func(crash string, seen time.Time) time.Time

	mu     sync.Mutex
	checks map[roster.Incarnation]*livenessCheck // guarded by mu
	// confirmedCrashes maps the crashes that may be reported to other VMs to when they were first seen; guarded by mu.
	confirmedCrashes map[string]time.Time
}

// detectorMetrics count the results of checks and the decisions on requests.
type detectorMetrics struct {
	crashed, alive, refused, cleared metrics.Counter
	partsRefused, partsCleared       metrics.Counter
}

// Metric names.
const (
	metricCrashed      = "suspect.endpoints_ended"
	metricAlive        = "suspect.endpoints_alive"
	metricRefused      = "suspect.refused"
	metricCleared      = "suspect.cleared"
	metricPartsRefused = "suspect.parts_refused"
	metricPartsCleared = "suspect.parts_cleared"
	metricPartsHeld    = "suspect.parts_held"
)

// NewDetector returns a crash detector. Its checks stop when ctx ends.
func NewDetector(ctx context.Context, cfg DetectorConfig) *Detector {
	if cfg.Parts == nil {
		cfg.Parts = NewPartTable("")
	}
	held := func() int64 { return int64(len(cfg.Parts.Held(time.Now()))) }
	cfg.Metrics.GetOrRegister(metricPartsHeld, func() metrics.Gauge { return metrics.NewFunctionalGauge(held) })
	cfg.Parts.onHeld = func(h HeldPart) {
		cfg.Log.WithFields(h.logFields("part_held")).Warn("endpoints crashed under requests with the prompt part; requests with it are refused")
	}
	cfg.Parts.onExplained = func(h HeldPart, by string) {
		cfg.Log.WithFields(h.logFields("part_explained")).WithField("by", by).Info("crashes recorded for the prompt part are explained by another part")
	}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, cfg.Metrics) }
	return &Detector{
		cfg: cfg, ctx: ctx, served: newRecentlyServed(), decidesTrials: func(uint64) bool { return true },
		reconcileCrashTime: func(_ string, seen time.Time) time.Time { return seen },
		requestPartTrial:   func(_ context.Context, fingerprint uint64) bool { return cfg.Parts.AllowTrial(time.Now(), fingerprint) },
		onPartChange:       func() {},
		checks:             map[roster.Incarnation]*livenessCheck{}, confirmedCrashes: map[string]time.Time{},
		metrics: detectorMetrics{
			crashed: counter(metricCrashed), alive: counter(metricAlive), refused: counter(metricRefused), cleared: counter(metricCleared),
			partsRefused: counter(metricPartsRefused), partsCleared: counter(metricPartsCleared),
		},
	}
}

// NoSuspects reports whether no request is suspect, so that no request has to be identified before it is sent.
func (d *Detector) NoSuspects() bool { return d.cfg.Table.Empty() }

// Admit decides whether a request may be sent to an endpoint. With Refuse, the duration is the time after which the request
// will be allowed again. Now and then a refused request is allowed as a trial.
func (d *Detector) Admit(fingerprint uint64) (Decision, time.Duration) {
	now := time.Now()
	decision, after := d.cfg.Table.Admit(now, fingerprint)
	if decision != Refuse {
		return decision, after
	}
	if d.decidesTrials(fingerprint) && d.cfg.Table.AllowTrial(now, fingerprint) {
		d.cfg.Log.WithFields(logrus.Fields{"event": "suspect_tried", "fingerprint": FormatFingerprint(fingerprint)}).Info("refused request allowed as a trial")
		return Allow, 0
	}
	d.metrics.refused.Inc(1)
	return Refuse, after
}

// SuspectEndpoints returns the endpoints on which this VM runs other suspects.
func (d *Detector) SuspectEndpoints(fingerprint uint64) []string {
	return d.cfg.Table.SuspectEndpoints(fingerprint)
}

// Started records that a suspect is about to be sent to an endpoint. It reports false if the suspect must not be sent there.
func (d *Detector) Started(fingerprint uint64, endpoint string) bool {
	return d.cfg.Table.Started(time.Now(), fingerprint, endpoint)
}

// Ended records that a suspect for which Started returned true no longer runs on the endpoint.
func (d *Detector) Ended(fingerprint uint64, endpoint string) {
	d.cfg.Table.Ended(time.Now(), fingerprint, endpoint, false)
}

// Served records that a request received a complete response: it does not crash every endpoint that runs it.
func (d *Detector) Served(fingerprint uint64) {
	now := time.Now()
	d.served.add(fingerprint, now)
	if !d.cfg.Table.Clear(now, fingerprint) {
		return
	}
	d.cfg.Table.MarkObserved(fingerprint)
	d.metrics.cleared.Inc(1)
	d.cfg.Log.WithFields(logrus.Fields{"event": "suspect_cleared", "fingerprint": FormatFingerprint(fingerprint)}).Info("suspect request received a complete response; cleared")
	d.cfg.OnChange()
}

// FormatFingerprint formats a fingerprint as in logs and state dumps.
func FormatFingerprint(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }

// Responded records that an endpoint has responded to a request that was sent at the given time, so that it was alive then.
func (d *Detector) Responded(id roster.Incarnation, sent time.Time) {
	if d.openChecks.Load() == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.checks[id]; c != nil {
		d.markAlive(c, sent)
	}
}

// markAlive retracts the crash from requests whose connections were lost before sent, a time at which the endpoint is
// known to have been alive, unless that is so much later that the endpoint may have restarted. d.mu is held.
func (d *Detector) markAlive(c *livenessCheck, sent time.Time) {
	for a, r := range c.affected {
		if sent.After(r.lostAt) && sent.Sub(r.lostAt) < minRestartTime {
			delete(c.affected, a)
			d.retract(a, crashID(c.endpoint))
		}
	}
}

// retract removes a crash that turned out not to have happened, or not while the request ran.
func (d *Detector) retract(a affected, crash string) {
	if a.part != "" {
		d.cfg.Parts.Retract(time.Now(), a.fingerprint, crash)
		return
	}
	d.cfg.Table.Retract(a.fingerprint, crash)
}

// crashID identifies the crash of an endpoint incarnation, in the same way on all VMs.
func crashID(e roster.Endpoint) string { return e.ID + "/" + strconv.FormatInt(e.Started, 10) }

// ConnectionLost records that the connection of a request, sent at the given time, was lost on the endpoint's side before the response
// was complete. running is how long the endpoint had been responding to the request.
func (d *Detector) ConnectionLost(e roster.Endpoint, account string, fingerprint uint64, sent time.Time, running time.Duration) {
	if running >= minSafeRunTime || !d.checkable(e) {
		return
	}
	if d.served.contains(fingerprint, time.Now()) {
		return
	}
	d.recordLoss(e, account, sent, affected{fingerprint: fingerprint})
}

// PartsLost records that the connection of a request, sent at the given time, was lost on the endpoint's side before the answer was
// complete. parts are those of the request's prompt that other requests may share. writing is for how long the endpoint had been
// writing the answer: a part that crashes endpoints as they begin to write does so within maxCrashDelay, but that an endpoint lives
// longer clears no part, since what it wrote may arrive late.
func (d *Detector) PartsLost(e roster.Endpoint, account string, parts []string, sent time.Time, writing time.Duration) {
	if len(parts) == 0 || writing >= maxCrashDelay || !d.checkable(e) {
		return
	}
	list := make([]affected, len(parts))
	for i, part := range parts {
		list[i] = affected{fingerprint: PartFingerprint(part), part: part}
	}
	d.recordLoss(e, account, sent, list...)
}

// checkable reports whether a lost connection may mean that the endpoint has crashed, and a probe can tell.
func (d *Detector) checkable(e roster.Endpoint) bool {
	listed := d.cfg.Listed(e)
	return listed != Leaving && listed != Evacuated
}

// recordLoss records the possible crash of an endpoint for what a lost connection carried, and finds out whether the endpoint
// has crashed.
func (d *Detector) recordLoss(e roster.Endpoint, account string, sent time.Time, lost ...affected) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.checks[e.Incarnation]
	crashedAt, confirmed := d.confirmedCrashes[crashID(e)]
	if confirmed && sent.After(crashedAt) || c != nil && sent.After(c.firstLost) {
		// The endpoint had already crashed, or lost a connection that is still being checked, when the request was sent.
		return
	}
	for _, a := range lost {
		d.addObservedCrash(now, account, a, crashID(e), confirmed)
	}
	if confirmed {
		d.notifyChange()
		return
	}
	if c == nil {
		c = &livenessCheck{endpoint: e, done: make(chan struct{}), firstLost: now, affected: map[affected]affectedRequest{}}
		d.checks[e.Incarnation] = c
		d.openChecks.Add(1)
		go d.runCheck(c)
	}
	for _, a := range lost {
		r := affectedRequest{sent, now}
		// The first request with a part counts: the others may have been sent after the crash.
		if before, known := c.affected[a]; known && a.part != "" && before.sentAt.Before(sent) {
			r.sentAt = before.sentAt
		}
		c.affected[a] = r
	}
}

// addObservedCrash records a crash for a request or a part.
func (d *Detector) addObservedCrash(now time.Time, account string, a affected, crash string, confirmed bool) {
	if a.part == "" {
		d.cfg.Table.AddObservedCrash(now, account, a.fingerprint, crash)
		return
	}
	d.cfg.Parts.AddObservedCrash(now, account, a.part, crash)
	if confirmed {
		d.cfg.Parts.ConfirmCrash(now, a.fingerprint, crash)
	}
}

// notifyChange says that there may be something new to report to the other VMs.
func (d *Detector) notifyChange() {
	d.cfg.OnChange()
	d.onPartChange()
}

// unconfirmedCrashes returns the possible crashes that this VM is still checking. They are not reported to other VMs.
func (d *Detector) unconfirmedCrashes() map[string]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	open := make(map[string]bool, len(d.checks))
	for _, c := range d.checks {
		open[crashID(c.endpoint)] = true
	}
	return open
}

// Suspect describes a request with crashes in a state dump.
type Suspect struct {
	Fingerprint string   `json:"fingerprint"`
	Account     string   `json:"account"`
	Crashes     []string `json:"crashes"`
	Age         string   `json:"age"`
}

// Suspects returns all requests with crashes, those with the most crashes first.
func (d *Detector) Suspects() []Suspect {
	byRequest := map[uint64]*Suspect{}
	for _, r := range d.cfg.Table.Reports(time.Now()) {
		if r.Cleared {
			continue
		}
		s := byRequest[r.Fingerprint]
		if s == nil {
			s = &Suspect{Fingerprint: FormatFingerprint(r.Fingerprint), Account: r.Account, Age: r.Age.Round(time.Millisecond).String()}
			byRequest[r.Fingerprint] = s
		}
		s.Crashes = append(s.Crashes, r.Crash)
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

// maxKnownCrashTimes bounds the crashes whose time is remembered.
const maxKnownCrashTimes = 1024

// Sweep removes expired crashes and clearances from the table, and the times of confirmed crashes if there are too many.
func (d *Detector) Sweep(now time.Time) {
	d.cfg.Table.Sweep(now)
	d.cfg.Parts.Sweep(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.confirmedCrashes) > maxKnownCrashTimes {
		clear(d.confirmedCrashes)
	}
}
