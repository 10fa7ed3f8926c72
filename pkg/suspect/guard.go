package suspect

import (
	"context"
	"sync"
	"time"

	"github.com/mallowlink/mallowlink/pkg/membership"
	"github.com/mallowlink/mallowlink/pkg/peer"
)

// ServiceName is the name under which Service, or the service of VMs that dispatch directly, is registered with net/rpc.
const ServiceName = "Suspect"

// PartServiceName is the name under which VMs that dispatch directly register the service for crashes held against parts of
// prompts.
const PartServiceName = "SuspectPart"

const (
	// announceTimeout bounds one announcement to all peers.
	announceTimeout = 2 * time.Second
	// maxParallelCalls bounds the calls to peers that are in flight at once.
	maxParallelCalls = 16
	// announceQueueLen bounds the crashes that wait to be announced. Further ones are dropped, since peers also
	// learn of them from the owner's refusals.
	announceQueueLen = 256
)

// Announcer reports crashes to the other VMs.
type Announcer interface {
	Announce(report CrashReport)
}

// Guard applies an entry VM's Table to its requests, and reports the crashes it sees to the other VMs.
type Guard struct {
	table     *Table
	announcer Announcer
}

// NewGuard returns a Guard for table. announcer may be nil: crashes are then not reported to other VMs.
func NewGuard(table *Table, announcer Announcer) *Guard {
	return &Guard{table: table, announcer: announcer}
}

// Admit decides whether a request may be dispatched. See Table.Admit.
func (g *Guard) Admit(fingerprint uint64) (Decision, time.Duration) {
	return g.table.Admit(time.Now(), fingerprint)
}

// CrashSeen records a crash against the request and reports it to the other VMs.
func (g *Guard) CrashSeen(fingerprint uint64, crash string) {
	g.table.CrashSeen(time.Now(), fingerprint, crash)
	if g.announcer != nil {
		g.announcer.Announce(CrashReport{Fingerprint: fingerprint, Crash: crash})
	}
}

// Cleared removes the crashes held against a request that received a complete response, unless it is refused already.
func (g *Guard) Cleared(fingerprint uint64) { g.table.ClearUnlessRefused(time.Now(), fingerprint) }

// ReportArgs carries crash reports to another VM.
type ReportArgs struct {
	// From is the ID of the VM that sends the reports. Only VMs that dispatch directly set it.
	From    string
	Notices []CrashReport
}

// ReportReply is the empty reply to ReportArgs.
type ReportReply struct{}

// ListArgs requests the crash reports that a VM holds.
type ListArgs struct{}

// ListReply carries the crash reports that a VM holds.
type ListReply struct {
	Notices []CrashReport
}

// Service is the net/rpc service by which entry VMs report crashes to each other.
type Service struct {
	table *Table
}

// NewService returns a Service that records reports in table and serves the reports that table holds.
func NewService(table *Table) *Service { return &Service{table: table} }

// Crashed records crashes that another VM has seen.
func (s *Service) Crashed(args *ReportArgs, _ *ReportReply) error {
	applyReports(s.table, args.Notices)
	return nil
}

// List returns reports of all crashes that this VM holds against requests.
func (s *Service) List(_ *ListArgs, reply *ListReply) error {
	reply.Notices = s.table.Reports(time.Now())
	return nil
}

// applyReports records the crashes of reports in table, dated back by their age.
func applyReports(table *Table, reports []CrashReport) {
	now := time.Now()
	for _, r := range reports {
		table.CrashSeen(now.Add(-max(0, r.Age)), r.Fingerprint, r.Crash)
	}
}

// PeerAnnouncer is an Announcer that calls all other VMs, in the background.
type PeerAnnouncer struct {
	peerClient peer.Client
	view       membership.View
	queue      chan CrashReport
}

// NewPeerAnnouncer returns a PeerAnnouncer, which announces nothing until Run is called.
func NewPeerAnnouncer(peerClient peer.Client, view membership.View) *PeerAnnouncer {
	return &PeerAnnouncer{peerClient: peerClient, view: view, queue: make(chan CrashReport, announceQueueLen)}
}

// Announce queues a report and does not block. If the queue is full, the report is dropped.
func (a *PeerAnnouncer) Announce(report CrashReport) {
	select {
	case a.queue <- report:
	default:
	}
}

// Run sends queued reports to the other VMs until ctx ends.
func (a *PeerAnnouncer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case report := <-a.queue:
			a.broadcast(ctx, a.drainQueue(report))
		}
	}
}

// drainQueue returns first and the reports queued behind it.
func (a *PeerAnnouncer) drainQueue(first CrashReport) []CrashReport {
	reports := []CrashReport{first}
	for len(a.queue) > 0 {
		reports = append(reports, <-a.queue)
	}
	return reports
}

// broadcast sends the reports to all other VMs.
func (a *PeerAnnouncer) broadcast(ctx context.Context, reports []CrashReport) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	self := a.view.Self().ID
	slots := make(chan struct{}, maxParallelCalls)
	var wg sync.WaitGroup
	for _, member := range a.view.Members() {
		if member.ID == self || member.Gone {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			// A failed call is not repeated: the peer learns of the suspect from the owner's refusals.
			_ = a.peerClient.Call(ctx, member.PeerAddress, ServiceName+".Crashed", &ReportArgs{Notices: reports}, &ReportReply{})
		})
	}
	wg.Wait()
}

// Fetch records in table the crashes that one live peer knows of, for a VM that has just started. It tries the peers in
// turn, and returns the last error if all of them fail.
func (a *PeerAnnouncer) Fetch(ctx context.Context, table *Table) error {
	self := a.view.Self().ID
	var lastErr error
	for _, member := range a.view.Live() {
		if member.ID == self {
			continue
		}
		var reply ListReply
		lastErr = a.peerClient.Call(ctx, member.PeerAddress, ServiceName+".List", &ListArgs{}, &reply)
		if lastErr == nil {
			applyReports(table, reply.Notices)
			return nil
		}
	}
	return lastErr
}
