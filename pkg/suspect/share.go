package suspect

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/membership"
	"github.com/mallowlink/mallowlink/pkg/peer"
)

const (
	// homeCount is the number of VMs that count the crashes of one request for all others.
	homeCount = 2
	// spreadFrom is the number of crashes from which every VM hears of a request. Innocent requests hardly ever have as
	// many, so that the end of an endpoint costs a few calls, however many VMs there are.
	spreadFrom = 2
	// shareTimeout bounds a call, shareRetry is the time after which one that has failed is made again.
	shareTimeout = 500 * time.Millisecond
	shareRetry   = 300 * time.Millisecond
	// endTimeout bounds a call that tells of an end.
	endTimeout = 200 * time.Millisecond
	// sharePause bounds the rate of rounds in a storm of crashes.
	sharePause = 20 * time.Millisecond
	// sharePoll is the time between two looks for VMs that have come, or have come back.
	sharePoll = 500 * time.Millisecond
	// shareBatch bounds the notices of one call.
	shareBatch = 512
	// sweepPause is the time between two passes over what is no longer held against requests.
	sweepPause = 5 * time.Second
)

// Share tells other VMs what a Watch has found. The first VMs by rendezvous hash are a request's homes and count for all;
// they tell everybody of a request with several crashes. What has been told is kept for each run of a VM, and what could
// not be told is told once it can: to VMs that were cut off, have started, or stood still.
type Share struct {
	self    string
	table   *Table
	watch   *Watch
	caller  peer.Caller
	members func() []membership.Member
	log     logrus.FieldLogger
	wake    chan struct{}

	mu sync.Mutex
	// told holds, for each run of a VM, what it has been told last of each request; guarded by mu.
	told map[listener]map[uint64]state
	// failed holds when a call to a VM failed last, busy the VMs to which one is under way; guarded by mu.
	failed map[listener]time.Time
	busy   map[listener]bool
	// ends maps the ends of endpoints' runs of which this VM is a home to when they were seen first, guarded by mu.
	ends map[string]time.Time
	// slots bounds the calls under way.
	slots chan struct{}
}

// listener is one run of a VM.
type listener struct{ vm, incarnation string }

// state sums up what is known of a request.
type state struct {
	crashes int
	cleared bool
}

// NewShare returns the Share of the VM self. members returns all VMs known.
func NewShare(self string, table *Table, caller peer.Caller, members func() []membership.Member, log logrus.FieldLogger) *Share {
	return &Share{
		self: self, table: table, caller: caller, members: members, log: log, wake: make(chan struct{}, 1),
		told: map[listener]map[uint64]state{}, failed: map[listener]time.Time{}, busy: map[listener]bool{}, ends: map[string]time.Time{},
		slots: make(chan struct{}, announceParallel),
	}
}

// Follow makes s pass on what w has found, and the first home of a request decide on its trials. It is called before Run.
func (s *Share) Follow(w *Watch) {
	s.watch = w
	w.tries = func(fingerprint uint64) bool {
		homes := homesOf(s.members(), fingerprint)
		return len(homes) > 0 && homes[0] == s.self
	}
	w.firstSeen = s.firstSeen
}

// Wake says that there may be something to tell.
func (s *Share) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run tells other VMs until ctx ends.
func (s *Share) Run(ctx context.Context) {
	go clock.Every(ctx, sweepPause, s.watch.Sweep)
	ticker := time.NewTicker(sharePoll)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-s.wake:
		case <-ticker.C:
		}
		if s.table.Empty() {
			s.forget()
			continue
		}
		s.round(ctx)
		clock.Sleep(ctx, sharePause)
	}
}

// forget drops what was told, once nothing is held against any request.
func (s *Share) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.told)
	clear(s.failed)
}

// round tells each VM what it has not been told.
func (s *Share) round(ctx context.Context) {
	members := s.members()
	known := s.known()
	homes := make(map[uint64][]string, len(known))
	for fingerprint := range known {
		homes[fingerprint] = homesOf(members, fingerprint)
	}
	for _, m := range members {
		if batch := s.news(m, known, homes); len(batch) > 0 {
			select {
			case s.slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			go func() {
				defer func() { <-s.slots }()
				s.tell(ctx, m, batch)
			}()
		}
	}
	s.keep(members)
}

// news returns what a VM has to be told, and marks it as being told. One call at a time is made to a VM.
func (s *Share) news(to membership.Member, known map[uint64][]Notice, homes map[uint64][]string) []Notice {
	l := listener{to.ID, to.Incarnation}
	s.mu.Lock()
	defer s.mu.Unlock()
	if to.ID == s.self || to.Gone || s.busy[l] || time.Since(s.failed[l]) < shareRetry {
		return nil
	}
	var batch []Notice
	for fingerprint, notices := range known {
		now := stateOf(notices)
		before, told := s.told[l][fingerprint]
		if told && before == now || !s.concerns(to.ID, homes[fingerprint], notices) {
			continue
		}
		if batch = append(batch, notices...); len(batch) >= shareBatch {
			break
		}
	}
	s.busy[l] = len(batch) > 0
	return batch
}

// known returns what may be told, by request.
func (s *Share) known() map[uint64][]Notice {
	byRequest := map[uint64][]Notice{}
	// What is in question is looked up first: what is taken back once that is decided must not be told.
	open := s.watch.inQuestion()
	for _, n := range s.table.Notices(time.Now()) {
		if n.Cleared || !open[n.Crash] {
			byRequest[n.Fingerprint] = append(byRequest[n.Fingerprint], n)
		}
	}
	return byRequest
}

func stateOf(notices []Notice) state {
	if notices[0].Cleared {
		return state{cleared: true}
	}
	return state{crashes: len(notices)}
}

// concerns reports whether a VM is to hear of a request from this one. Homes hear of it from those that have seen
// something themselves, and from each other.
func (s *Share) concerns(vm string, homes []string, notices []Notice) bool {
	now, home := stateOf(notices), slices.Contains(homes, s.self)
	if slices.Contains(homes, vm) && (home || notices[0].Witnessed) {
		return true
	}
	return home && (now.cleared || now.crashes >= spreadFrom)
}

// homesOf returns the VMs that count a request's crashes, by rendezvous hash, the first one first.
func homesOf(members []membership.Member, fingerprint uint64) []string {
	var best [homeCount]uint64
	homes := make([]string, 0, homeCount)
	text := Text(fingerprint)
	for _, m := range members {
		if m.Gone {
			continue
		}
		score := xxhash.Sum64String(m.ID + text)
		at := 0
		for at < len(homes) && best[at] >= score {
			at++
		}
		if at == homeCount {
			continue
		}
		homes = slices.Insert(homes, at, m.ID)[:min(len(homes)+1, homeCount)]
		copy(best[at+1:], best[at:])
		best[at] = score
	}
	return homes
}

// tell makes one call, and takes in what the other VM knows of the same requests.
func (s *Share) tell(ctx context.Context, m membership.Member, batch []Notice) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	l := listener{m.ID, m.Incarnation}
	var reply ListReply
	err := s.caller.Call(ctx, m.PeerAddress, ServiceName+".Tell", &NoticeArgs{From: s.self, Notices: batch}, &reply)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy, l)
	if err != nil {
		s.failed[l] = time.Now()
		s.log.WithError(err).WithFields(logrus.Fields{"event": "suspects_not_told", "to": m.ID, "notices": len(batch)}).Info()
		return
	}
	if s.told[l] == nil {
		s.told[l] = map[uint64]state{}
	}
	byRequest := map[uint64][]Notice{}
	for _, n := range batch {
		byRequest[n.Fingerprint] = append(byRequest[n.Fingerprint], n)
	}
	for fingerprint, notices := range byRequest {
		s.told[l][fingerprint] = stateOf(notices)
	}
	s.take(m.ID, reply.Notices)
}

// take takes in notices of another VM.
func (s *Share) take(from string, notices []Notice) {
	now := time.Now()
	changed := false
	for _, n := range notices {
		at := now.Add(-max(0, n.Age))
		before := s.stateOf(now, n.Fingerprint)
		switch {
		case n.Cleared:
			s.table.Acquit(at, n.Fingerprint)
		case s.watch.served.lately(n.Fingerprint, now):
			s.table.Exonerate(now, n.Account, n.Fingerprint)
		default:
			s.table.Accuse(at, n.Account, n.Fingerprint, n.Crash)
		}
		after := s.stateOf(now, n.Fingerprint)
		if after == before {
			continue
		}
		changed = true
		s.log.WithFields(logrus.Fields{
			"event": "suspect_told", "from": from, "fingerprint": Text(n.Fingerprint), "account": n.Account,
			"crash": n.Crash, "cleared": n.Cleared, "crashes": after.crashes, "age": n.Age.Round(time.Millisecond),
		}).Info()
	}
	if changed {
		s.Wake()
	}
}

// stateOf sums up what is known of a request.
func (s *Share) stateOf(now time.Time, fingerprint uint64) state {
	if held := s.table.Of(now, fingerprint); len(held) > 0 {
		return stateOf(held)
	}
	return state{}
}

// keep drops what was told to VMs that are no more.
func (s *Share) keep(members []membership.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	live := map[listener]bool{}
	for _, m := range members {
		live[listener{m.ID, m.Incarnation}] = true
	}
	maps.DeleteFunc(s.told, func(l listener, _ map[uint64]state) bool { return !live[l] })
	maps.DeleteFunc(s.failed, func(l listener, _ time.Time) bool { return !live[l] })
}

// ShareService is the net/rpc service by which VMs that dispatch directly tell each other of crashes.
type ShareService struct{ share *Share }

// Service returns the service to register with net/rpc under ServiceName.
func (s *Share) Service() *ShareService { return &ShareService{s} }

// Tell takes in what another VM knows, and answers with what this one knows of the same requests.
func (s *ShareService) Tell(args *NoticeArgs, reply *ListReply) error {
	s.share.take(args.From, args.Notices)
	now := time.Now()
	seen := map[uint64]bool{}
	for _, n := range args.Notices {
		if !seen[n.Fingerprint] {
			seen[n.Fingerprint] = true
			reply.Notices = append(reply.Notices, s.share.table.Of(now, n.Fingerprint)...)
		}
	}
	return nil
}
