package suspect

import (
	"context"
	"sync"
	"time"

	"github.com/mallowlink/mallowlink/pkg/membership"
	"github.com/mallowlink/mallowlink/pkg/peer"
)

// ServiceName is the name under which Service is registered with net/rpc.
const ServiceName = "Suspect"

const (
	announceTimeout = 2 * time.Second
	// announceParallel bounds the calls to peers that one announcement makes at once.
	announceParallel = 16
	// announceQueue bounds the crashes that wait to be announced; more are dropped, as peers also
	// learn of them from the owner's refusals.
	announceQueue = 256
)

// Announcer tells the other VMs of a crash.
type Announcer interface {
	Announce(notice Notice)
}

// Guard is an entry's table of suspects, kept in step with those of its peers.
type Guard struct {
	table     *Table
	announcer Announcer
}

// NewGuard returns a Guard. announcer may be nil.
func NewGuard(table *Table, announcer Announcer) *Guard {
	return &Guard{table: table, announcer: announcer}
}

// Admit decides whether a request may be dispatched.
func (g *Guard) Admit(fingerprint uint64) (Decision, time.Duration) {
	return g.table.Admit(time.Now(), fingerprint)
}

// CrashSeen holds a crash against the request and tells the peers.
func (g *Guard) CrashSeen(fingerprint uint64, crash string) {
	g.table.CrashSeen(time.Now(), fingerprint, crash)
	if g.announcer != nil {
		g.announcer.Announce(Notice{Fingerprint: fingerprint, Crash: crash})
	}
}

// Cleared drops what is held against a request that was answered whole.
func (g *Guard) Cleared(fingerprint uint64) { g.table.Cleared(time.Now(), fingerprint) }

// NoticeArgs carries crashes to another VM.
type NoticeArgs struct {
	// From is the VM that tells.
	From    string
	Notices []Notice
}

// NoticeReply answers NoticeArgs.
type NoticeReply struct{}

// ListArgs asks for every crash that a VM knows.
type ListArgs struct{}

// ListReply answers ListArgs.
type ListReply struct {
	Notices []Notice
}

// Service is the net/rpc service by which VMs tell each other of crashes.
type Service struct {
	table *Table
}

// NewService returns the service of table.
func NewService(table *Table) *Service { return &Service{table: table} }

// Crashed takes in crashes that another VM saw.
func (s *Service) Crashed(args *NoticeArgs, _ *NoticeReply) error {
	absorb(s.table, args.Notices)
	return nil
}

// List returns every crash that this VM knows.
func (s *Service) List(_ *ListArgs, reply *ListReply) error {
	reply.Notices = s.table.Notices(time.Now())
	return nil
}

func absorb(table *Table, notices []Notice) {
	now := time.Now()
	for _, n := range notices {
		table.CrashSeen(now.Add(-max(0, n.Age)), n.Fingerprint, n.Crash)
	}
}

// PeerAnnouncer is the Announcer that calls every other VM.
type PeerAnnouncer struct {
	caller peer.Caller
	view   membership.View
	queue  chan Notice
}

// NewPeerAnnouncer returns a PeerAnnouncer. Run must be called for it to work.
func NewPeerAnnouncer(caller peer.Caller, view membership.View) *PeerAnnouncer {
	return &PeerAnnouncer{caller: caller, view: view, queue: make(chan Notice, announceQueue)}
}

// Announce queues the notice. It does not block.
func (a *PeerAnnouncer) Announce(notice Notice) {
	select {
	case a.queue <- notice:
	default:
	}
}

// Run tells the peers of crashes until ctx ends.
func (a *PeerAnnouncer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case notice := <-a.queue:
			a.tell(ctx, a.gather(notice))
		}
	}
}

// gather returns first and the notices that wait behind it.
func (a *PeerAnnouncer) gather(first Notice) []Notice {
	notices := []Notice{first}
	for len(a.queue) > 0 {
		notices = append(notices, <-a.queue)
	}
	return notices
}

func (a *PeerAnnouncer) tell(ctx context.Context, notices []Notice) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	self := a.view.Self().ID
	slots := make(chan struct{}, announceParallel)
	var wg sync.WaitGroup
	for _, member := range a.view.Members() {
		if member.ID == self || member.Gone {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			// A peer that misses the call learns of the suspect from its owner's refusals.
			_ = a.caller.Call(ctx, member.PeerAddress, ServiceName+".Crashed", &NoticeArgs{Notices: notices}, &NoticeReply{})
		})
	}
	wg.Wait()
}

// Fetch takes over what one live peer knows, for a VM that has just started.
func (a *PeerAnnouncer) Fetch(ctx context.Context, table *Table) error {
	self := a.view.Self().ID
	var last error
	for _, member := range a.view.Live() {
		if member.ID == self {
			continue
		}
		var reply ListReply
		last = a.caller.Call(ctx, member.PeerAddress, ServiceName+".List", &ListArgs{}, &reply)
		if last == nil {
			absorb(table, reply.Notices)
			return nil
		}
	}
	return last
}
