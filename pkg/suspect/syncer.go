package suspect

import (
	"context"
	"maps"
	"net/rpc"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/membership"
	"github.com/mallowlink/mallowlink/pkg/peer"
)

const (
	// homesPerRequest is the number of VMs that count the crashes of one request for all others.
	homesPerRequest = 2
	// broadcastThreshold is the number of crashes from which a request is reported to every VM. Innocent requests hardly ever
	// have as many, so that the crash of an endpoint costs a few calls, however many VMs there are.
	broadcastThreshold = 2
	// syncTimeout bounds a call with crash reports, syncRetryDelay is the time after which a failed one is repeated.
	syncTimeout    = 500 * time.Millisecond
	syncRetryDelay = 300 * time.Millisecond
	// trialTimeout bounds the call that asks for a trial of a held part.
	trialTimeout = 100 * time.Millisecond
	// crashTimeTimeout bounds the calls that report when a crash was seen.
	crashTimeTimeout = 200 * time.Millisecond
	// minSyncInterval is the pause after each pass over all VMs, which bounds the rate of passes while many endpoints crash.
	minSyncInterval = 20 * time.Millisecond
	// syncPollInterval is the time between two checks for VMs that have started or are reachable again.
	syncPollInterval = 500 * time.Millisecond
	// maxReportsPerCall is the number of reports from which a call takes no further requests.
	maxReportsPerCall = 512
	// sweepInterval is the time between two sweeps of expired crashes and clearances.
	sweepInterval = 5 * time.Second
)

// crashRecord is what a Syncer keeps equal on all VMs: the crashes recorded for requests, or for parts of prompts.
type crashRecord interface {
	// Empty reports whether there is nothing to report.
	Empty() bool
	// Reports returns all reports, ReportsOf those of one request or part.
	Reports(now time.Time) []CrashReport
	ReportsOf(now time.Time, fingerprint uint64) []CrashReport
	// Record records a report of another VM or of a stored row.
	Record(now time.Time, r CrashReport)
	// MarkObserved marks what is recorded as seen by this VM itself.
	MarkObserved(fingerprint uint64)
	// Refused reports whether the request, or requests with the part, are refused.
	Refused(now time.Time, fingerprint uint64) bool
	// Retention returns how long a refusal lasts.
	Retention() time.Duration
}

// requestRecord is the crashRecord of requests. A crash is not recorded for a request that this VM has recently served: a
// clearance is recorded instead.
type requestRecord struct {
	*Table
	detector *Detector
}

// Record implements crashRecord.
func (t *requestRecord) Record(now time.Time, r CrashReport) {
	at := now.Add(-max(0, r.Age))
	switch {
	case r.Cleared:
		t.Clear(at, r.Fingerprint)
	case t.detector.served.contains(r.Fingerprint, now):
		t.RecordClearance(now, r.Account, r.Fingerprint)
	default:
		t.AddReportedCrash(at, r.Account, r.Fingerprint, r.Crash)
	}
}

// Refused implements crashRecord.
func (t *requestRecord) Refused(now time.Time, fingerprint uint64) bool {
	decision, _ := t.Admit(now, fingerprint)
	return decision == Refuse
}

// Retention implements crashRecord.
func (t *requestRecord) Retention() time.Duration { return t.limits.Retention }

// Syncer exchanges crash reports with the other VMs that dispatch directly. Each request, or part of a prompt, has homesPerRequest home VMs, chosen
// by rendezvous hash, which count its crashes for the whole fleet and notify all VMs of a request with several crashes. What
// was sent is remembered for each incarnation of a VM. What could not be sent is sent later: to VMs that were unreachable,
// have just started, or were paused. All methods are safe for concurrent use.
type Syncer struct {
	self string
	// service is the name of the net/rpc service by which the VMs exchange the reports.
	service    string
	table      crashRecord
	detector   *Detector
	peerClient peer.Client
	members    func() []membership.Member
	log        logrus.FieldLogger
	wake       chan struct{}

	mu sync.Mutex
	// sent holds, for each VM incarnation, the state of each request as last reported to it; guarded by mu.
	sent map[peerIncarnation]map[uint64]summary
	// lastFailure holds when a call to a VM last failed, inFlight the VMs to which a call is in flight; guarded by mu.
	lastFailure map[peerIncarnation]time.Time
	inFlight    map[peerIncarnation]bool
	// withoutService are the VMs of a build without the service; guarded by mu.
	withoutService map[peerIncarnation]bool
	// crashTimes maps the crashes of which this VM is a home to when they were first seen; guarded by mu.
	crashTimes map[string]time.Time
	// callSlots bounds the calls in flight.
	callSlots chan struct{}
}

// peerIncarnation identifies one incarnation of a VM.
type peerIncarnation struct{ vm, incarnation string }

// summary is the state of a request, as far as it is reported to other VMs.
type summary struct {
	crashes int
	cleared bool
	// The fields below are 0 for requests. clearedAt is in Unix nanoseconds.
	clearedAt    int64
	servedBefore bool
	trials       int
	shared       bool
}

// NewSyncer returns the syncer of the crashes recorded for requests, for the VM with the ID self. members returns all known VMs.
func NewSyncer(self string, table *Table, peerClient peer.Client, members func() []membership.Member, log logrus.FieldLogger) *Syncer {
	return newSyncer(self, ServiceName, &requestRecord{Table: table}, peerClient, members, log)
}

// NewPartSyncer returns the syncer of the crashes recorded for parts of prompts.
func NewPartSyncer(self string, table *PartTable, peerClient peer.Client, members func() []membership.Member, log logrus.FieldLogger) *Syncer {
	return newSyncer(self, PartServiceName, table, peerClient, members, log)
}

func newSyncer(self, service string, table crashRecord, peerClient peer.Client, members func() []membership.Member, log logrus.FieldLogger) *Syncer {
	return &Syncer{
		self: self, service: service, table: table, peerClient: peerClient, members: members, log: log, wake: make(chan struct{}, 1),
		sent: map[peerIncarnation]map[uint64]summary{}, lastFailure: map[peerIncarnation]time.Time{}, inFlight: map[peerIncarnation]bool{}, withoutService: map[peerIncarnation]bool{}, crashTimes: map[string]time.Time{},
		callSlots: make(chan struct{}, maxParallelCalls),
	}
}

// Attach connects s to the detector whose crashes it reports. From then on, trials of a refused request or part are decided by
// its first home only. It must be called before Run.
func (s *Syncer) Attach(d *Detector) {
	s.detector = d
	if requests, ok := s.table.(*requestRecord); ok {
		requests.detector = d
	} else {
		d.requestPartTrial, d.onPartChange = s.requestTrial, s.Wake
		return
	}
	d.decidesTrials = func(fingerprint uint64) bool {
		homes := homesOf(s.members(), fingerprint)
		return len(homes) > 0 && homes[0] == s.self
	}
	d.reconcileCrashTime = s.reconcileCrashTime
}

// Wake signals that there may be something to report. It does not block.
func (s *Syncer) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run sends reports to the other VMs until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	if s.service == ServiceName {
		go clock.Every(ctx, sweepInterval, s.detector.Sweep)
	}
	ticker := time.NewTicker(syncPollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-s.wake:
		case <-ticker.C:
		}
		if s.table.Empty() {
			s.forgetSent()
			continue
		}
		s.sendPending(ctx)
		clock.Sleep(ctx, minSyncInterval)
	}
}

// forgetSent discards what was sent, once the table is empty.
func (s *Syncer) forgetSent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.sent)
	clear(s.lastFailure)
}

// sendPending sends each VM the reports that it has not yet received.
func (s *Syncer) sendPending(ctx context.Context) {
	members := s.members()
	known := s.reportsByRequest()
	homes := make(map[uint64][]string, len(known))
	for fingerprint := range known {
		homes[fingerprint] = homesOf(members, fingerprint)
	}
	for _, m := range members {
		if batch := s.pendingReports(m, known, homes); len(batch) > 0 {
			select {
			case s.callSlots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			go func() {
				defer func() { <-s.callSlots }()
				s.send(ctx, m, batch)
			}()
		}
	}
	s.forgetDeparted(members)
}

// pendingReports returns the reports to send to a VM. If there are any, it marks a call to the VM as in flight: no other is
// made until that ends.
func (s *Syncer) pendingReports(to membership.Member, known map[uint64][]CrashReport, homes map[uint64][]string) []CrashReport {
	id := peerIncarnation{to.ID, to.Incarnation}
	s.mu.Lock()
	defer s.mu.Unlock()
	if to.ID == s.self || to.Gone || s.inFlight[id] || s.withoutService[id] || time.Since(s.lastFailure[id]) < syncRetryDelay {
		return nil
	}
	var batch []CrashReport
	for fingerprint, reports := range known {
		current := summarize(reports)
		last, ok := s.sent[id][fingerprint]
		if ok && last == current || !s.shouldReport(to.ID, homes[fingerprint], reports) {
			continue
		}
		if batch = append(batch, reports...); len(batch) >= maxReportsPerCall {
			break
		}
	}
	s.inFlight[id] = len(batch) > 0
	return batch
}

// reportsByRequest returns all reports that other VMs may receive, by fingerprint.
func (s *Syncer) reportsByRequest() map[uint64][]CrashReport {
	byRequest := map[uint64][]CrashReport{}
	// The unconfirmed crashes are looked up before the table: a crash retracted in between must not be reported.
	unconfirmed := s.detector.unconfirmedCrashes()
	for _, r := range s.table.Reports(time.Now()) {
		if r.Cleared || !unconfirmed[r.Crash] {
			byRequest[r.Fingerprint] = append(byRequest[r.Fingerprint], r)
		}
	}
	return byRequest
}

// summarize sums up the reports on one request, of which there must be at least one.
func summarize(reports []CrashReport) summary {
	first := reports[0]
	s := summary{crashes: len(reports), servedBefore: first.ServedAge > 0, trials: first.Trials, shared: first.shared || first.Part == ""}
	if first.Cleared {
		s.cleared, s.crashes = true, len(reports)-1
	}
	if !first.clearedAt.IsZero() {
		s.clearedAt = first.clearedAt.UnixNano()
	}
	return s
}

// shouldReport reports whether this VM sends its reports on a request to the given VM. The homes of the request receive them
// from VMs that have seen something themselves, and from each other; all other VMs receive them from the homes.
func (s *Syncer) shouldReport(vm string, homes []string, reports []CrashReport) bool {
	state, home := summarize(reports), slices.Contains(homes, s.self)
	if slices.Contains(homes, vm) && (home || reports[0].Witnessed) {
		return true
	}
	return home && (state.cleared && state.shared || state.crashes >= broadcastThreshold)
}

// homesOf returns the IDs of the VMs that count a request's crashes, by rendezvous hash of ID and fingerprint, in order of
// preference.
func homesOf(members []membership.Member, fingerprint uint64) []string {
	homes := make([]string, 0, homesPerRequest)
	for _, m := range membership.Homes(members, FormatFingerprint(fingerprint), homesPerRequest) {
		homes = append(homes, m.ID)
	}
	return homes
}

// send sends a batch of reports to a VM, and applies the reports that it returns on the same requests.
func (s *Syncer) send(ctx context.Context, m membership.Member, batch []CrashReport) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	id := peerIncarnation{m.ID, m.Incarnation}
	var reply ListReply
	err := s.peerClient.Call(ctx, m.PeerAddress, s.service+".Tell", &ReportArgs{From: s.self, Notices: batch}, &reply)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, id)
	if lacksService(err) {
		s.withoutService[id] = true
		s.log.WithFields(logrus.Fields{"event": "parts_not_known", "to": m.ID}).Info("peer is of a build that does not hold prompt parts; it gets no reports on them")
		return
	}
	if err != nil {
		s.lastFailure[id] = time.Now()
		s.log.WithError(err).WithFields(logrus.Fields{"event": "suspects_not_told", "to": m.ID, "notices": len(batch)}).Info("could not send crash reports to peer")
		return
	}
	if s.sent[id] == nil {
		s.sent[id] = map[uint64]summary{}
	}
	byRequest := map[uint64][]CrashReport{}
	for _, r := range batch {
		byRequest[r.Fingerprint] = append(byRequest[r.Fingerprint], r)
	}
	for fingerprint, reports := range byRequest {
		s.sent[id][fingerprint] = summarize(reports)
	}
	s.apply(m.ID, reply.Notices)
}

// lacksService reports whether a call failed because the peer does not have the service.
func lacksService(err error) bool {
	var answered rpc.ServerError
	return errors.As(err, &answered) && strings.HasPrefix(string(answered), "rpc: can't find service")
}

// apply records reports from another VM. from is its ID, or "table" if they were read from the platform's table.
func (s *Syncer) apply(from string, reports []CrashReport) {
	now := time.Now()
	changed := false
	for _, r := range reports {
		before := s.summaryOf(now, r.Fingerprint)
		s.table.Record(now, r)
		after := s.summaryOf(now, r.Fingerprint)
		if after == before {
			continue
		}
		changed = true
		s.logReport(from, r, after)
	}
	if changed {
		s.Wake()
	}
}

// logReport logs a report of another VM that has changed the state of a request or of a part.
func (s *Syncer) logReport(from string, r CrashReport, after summary) {
	fields := logrus.Fields{
		"event": "suspect_told", "from": from, "fingerprint": FormatFingerprint(r.Fingerprint), "account": r.Account,
		"crash": r.Crash, "cleared": r.Cleared, "crashes": after.crashes, "age": r.Age.Round(time.Millisecond),
	}
	if r.Part == "" {
		s.log.WithFields(fields).Info("crash report changed the state of a request")
		return
	}
	fields["event"], fields["part"], fields["seen_by"] = "part_reported", r.Part, r.SeenBy
	fields["served_before"], fields["trials"] = after.servedBefore, after.trials
	s.log.WithFields(fields).Info("crash report changed the state of a prompt part")
}

// summaryOf returns the state of a request; it is empty if nothing is known of it.
func (s *Syncer) summaryOf(now time.Time, fingerprint uint64) summary {
	if held := s.table.ReportsOf(now, fingerprint); len(held) > 0 {
		return summarize(held)
	}
	return summary{}
}

// forgetDeparted discards what was sent to VM incarnations that no longer exist.
func (s *Syncer) forgetDeparted(members []membership.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	live := map[peerIncarnation]bool{}
	for _, m := range members {
		live[peerIncarnation{m.ID, m.Incarnation}] = true
	}
	maps.DeleteFunc(s.sent, func(id peerIncarnation, _ map[uint64]summary) bool { return !live[id] })
	maps.DeleteFunc(s.withoutService, func(id peerIncarnation, _ bool) bool { return !live[id] })
	maps.DeleteFunc(s.lastFailure, func(id peerIncarnation, _ time.Time) bool { return !live[id] })
}

// SyncService is the net/rpc service by which VMs that dispatch directly exchange crash reports.
type SyncService struct{ syncer *Syncer }

// Service returns the service to register with net/rpc under ServiceName.
func (s *Syncer) Service() *SyncService { return &SyncService{s} }

// Tell records the reports of another VM, and returns this VM's reports on the same requests.
func (s *SyncService) Tell(args *ReportArgs, reply *ListReply) error {
	s.syncer.apply(args.From, args.Notices)
	now := time.Now()
	seen := map[uint64]bool{}
	for _, r := range args.Notices {
		if !seen[r.Fingerprint] {
			seen[r.Fingerprint] = true
			reply.Notices = append(reply.Notices, s.syncer.table.ReportsOf(now, r.Fingerprint)...)
		}
	}
	return nil
}

// TrialArgs asks the home of a held part whether one request with it may run.
type TrialArgs struct{ Fingerprint uint64 }

// TrialReply is the reply to TrialArgs.
type TrialReply struct{ Granted bool }

// requestTrial reports whether this VM may run one request with a held part, as the part's first home decides.
func (s *Syncer) requestTrial(ctx context.Context, fingerprint uint64) bool {
	members := s.members()
	homes := homesOf(members, fingerprint)
	if len(homes) == 0 || homes[0] == s.self {
		return s.grantTrial(fingerprint)
	}
	home := members[slices.IndexFunc(members, func(m membership.Member) bool { return m.ID == homes[0] })]
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	var reply TrialReply
	if err := s.peerClient.Call(ctx, home.PeerAddress, s.service+".Trial", &TrialArgs{fingerprint}, &reply); err != nil {
		s.log.WithError(err).WithFields(logrus.Fields{"event": "trial_not_asked", "to": home.ID, "fingerprint": FormatFingerprint(fingerprint)}).Info("could not ask for a trial of a held prompt part")
		return false
	}
	if parts, ok := s.table.(*PartTable); ok && reply.Granted {
		parts.RecordTrial(time.Now(), fingerprint)
	}
	return reply.Granted
}

// grantTrial grants a trial of a part if one is due.
func (s *Syncer) grantTrial(fingerprint uint64) bool {
	parts, ok := s.table.(*PartTable)
	if !ok || !parts.AllowTrial(time.Now(), fingerprint) {
		return false
	}
	s.Wake()
	return true
}

// Trial decides on a trial that another VM asks for.
func (s *SyncService) Trial(args *TrialArgs, reply *TrialReply) error {
	homes := homesOf(s.syncer.members(), args.Fingerprint)
	reply.Granted = len(homes) > 0 && homes[0] == s.syncer.self && s.syncer.grantTrial(args.Fingerprint)
	return nil
}
