package ratelimit

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/mallowlink/mallowlink/pkg/membership"
)

const (
	// maxAnnouncements is the number of VMs to which limits are announced at the same time.
	maxAnnouncements = 16
	// announceInterval is the interval between two checks to which VMs limits have to be announced.
	announceInterval = time.Second
	// announceTolerance is the share of a limit that VMs know down to which a fall of the limit is not announced:
	// it matters only to those that cannot reach the home.
	announceTolerance = 0.8
	// maxSilence is how long a VM may have been silent for limits to be announced to it. It gets them once it responds
	// again.
	maxSilence = 2 * time.Second
)

// errMalformed says that a message of another VM has fields out of range.
var errMalformed = errors.New("malformed statement of a rate limit")

// Service handles calls from other VMs over net/rpc.
type Service struct{ limiter *Limiter }

// Service returns the service to register with net/rpc under ServiceName.
func (l *Limiter) Service() *Service { return &Service{limiter: l} }

// Take grants or refuses a request to an endpoint whose home this VM is.
func (s *Service) Take(args *TakeArgs, reply *TakeReply) error {
	if !args.Stated.valid() {
		return errMalformed
	}
	now := time.Now()
	*reply = s.limiter.grant(args, args.Stated.statement(now.Add(-callTimeout), now))
	return nil
}

// Announce records what an endpoint has stated, as another VM knows it.
func (s *Service) Announce(args *AnnounceArgs, reply *AnnounceReply) error {
	if !args.Stated.valid() {
		return errMalformed
	}
	now := time.Now()
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	s.limiter.learn(args.Stated.Endpoint, args.Stated.statement(now.Add(-callTimeout), now), args.VM)
	s.limiter.learnColdFrom(args.VM, args.Stated.Endpoint, args.Cold, now.Add(-callTimeout), now)
	e := s.limiter.endpoint(args.Stated.Endpoint)
	e.recordReport(args.VM, args.Recent, now)
	reply.Recent = e.unasked.recent(now)
	return nil
}

// learnColdFrom records the cold time of a message that another VM wrote between from and to. l.mu is held.
func (l *Limiter) learnColdFrom(vm, id string, m ColdStated, from, to time.Time) {
	if m.valid() {
		l.learnCold(id, m.statement(from, to), m.Rate, vm)
	}
}

// isHome reports whether this VM is the home of an endpoint now.
func (l *Limiter) isHome(endpoint string) bool {
	_, held := l.cfg.Leases.Held(l.cfg.LeaseOf(endpoint))
	return held
}

// grant grants or refuses a request of a VM to an endpoint, if this VM is the home of the endpoint. s is the limit as
// the VM knows it.
func (l *Limiter) grant(args *TakeArgs, s statement) TakeReply {
	id := args.Stated.Endpoint
	if !l.isHome(id) {
		return TakeReply{NotHome: true}
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.learn(id, s, args.VM)
	if args.VM != l.cfg.Self {
		l.learnColdFrom(args.VM, id, args.Cold, now.Add(-callTimeout), now)
	}
	e := l.endpoint(id)
	e.recordReport(args.VM, args.Recent, now)
	granted, retryAfter := l.grantTo(e, args.Started, now)
	return TakeReply{Granted: granted, RetryAfter: retryAfter, Stated: e.stated.message(id, now), Cold: e.cold.message(now)}
}

// grantTo grants or refuses a request to an endpoint within its stated limit and, while it is cold, within the rate for
// cold endpoints. l.mu is held.
func (l *Limiter) grantTo(e *endpoint, started int64, now time.Time) (granted bool, retryAfter time.Duration) {
	cold := e.cold.active(now)
	if cold {
		if wait := e.coldWait(l.cfg.ColdBounds.policy(e.cold.rate), l.maxVMs, now); wait > 0 {
			return false, wait
		}
	}
	if e.stated.limited() {
		if granted, retryAfter = e.grant(started, now); !granted {
			return false, retryAfter
		}
	} else {
		e.granted.add(now)
	}
	if cold {
		e.cold.bucket.tokens--
	}
	l.countCold(e, now)
	return true, 0
}

// grant grants or refuses a request to an endpoint that states a limit.
func (e *endpoint) grant(started int64, now time.Time) (granted bool, retryAfter time.Duration) {
	for ahead := time.Duration(0); ahead <= window; ahead += binWidth {
		if !roomInWindow(e.stated.rate, e.inWindow(now.Add(ahead))) {
			continue
		}
		if ahead > 0 {
			return false, min(ahead, maxRetryAfter)
		}
		granted, retryAfter = e.bucket.take(e.stated.rate, started, now)
		if granted {
			e.granted.add(now)
		}
		return granted, retryAfter
	}
	return false, maxRetryAfter
}

// inWindow returns the number of the requests known now that are within the window at a time.
func (e *endpoint) inWindow(at time.Time) int {
	total := e.granted.sum(at) + e.unasked.sum(at)
	for _, c := range e.reports {
		total += c.sum(at)
	}
	return total
}

// recordReport records the requests that another VM has sent without asking a home.
func (e *endpoint) recordReport(vm string, recent []int, now time.Time) {
	if recent == nil {
		return
	}
	if e.reports == nil {
		e.reports = map[string]counts{}
	}
	if c := countsOf(recent, now); c.sum(now) > 0 {
		e.reports[vm] = c
	} else {
		delete(e.reports, vm)
	}
}

// announced is the limit of an endpoint that was last announced to a VM.
type announced struct {
	incarnation string
	rate        float64
	// coldSince is the beginning of the cold time that was announced; zero if none was.
	coldSince time.Time
}

// enough reports whether a limit need not be announced to the process of a VM after this.
func (a announced) enough(incarnation string, limit float64) bool {
	return a.incarnation == incarnation && a.rate*announceTolerance <= limit
}

// announceAll announces the limits of the endpoints whose home this VM is to all VMs, so that VMs that have had no
// response with the limit keep to it as well: VMs that have just started or were cut off. The end of a limit is not
// announced: a VM learns of it when it next asks the home.
func (l *Limiter) announceAll() {
	var homeOf []string
	for _, id := range l.limitedEndpoints() {
		if l.isHome(id) {
			homeOf = append(homeOf, id)
		} else {
			l.forgetHome(id)
		}
	}
	if len(homeOf) == 0 {
		return
	}
	var calls errgroup.Group
	calls.SetLimit(maxAnnouncements)
	members := l.cfg.Fleet.Members()
	for _, id := range homeOf {
		for _, m := range members {
			if args := l.announcement(id, m); args != nil {
				calls.Go(func() error { return l.announceTo(m, args) })
			}
		}
	}
	if err := calls.Wait(); err != nil {
		l.cfg.Log.WithError(err).WithFields(logrus.Fields{"event": "endpoint_limit_not_announced", "endpoints": len(homeOf), "vms": len(members)}).
			Info("rate limits of endpoints could not be announced to all VMs")
	}
}

// limitedEndpoints returns the IDs of the endpoints that state limits or are cold.
func (l *Limiter) limitedEndpoints() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []string
	now := time.Now()
	for id, e := range l.endpoints {
		if e.limited(now) {
			ids = append(ids, id)
		}
	}
	return ids
}

// forgetHome forgets what was announced about an endpoint that has another home now, and the burst that this VM might have
// granted: the other home may just have granted one.
func (l *Limiter) forgetHome(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.endpoints[id]; e != nil {
		clear(e.announced)
		e.cold.bucket = bucket{}
	}
}

// announcement returns what has to be announced to a VM about the limit of an endpoint; nil for nothing.
func (l *Limiter) announcement(id string, m membership.Member) *AnnounceArgs {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, now := l.endpoints[id], time.Now()
	if e == nil || m.ID == l.cfg.Self || m.Gone || m.SilentFor > maxSilence {
		return nil
	}
	last, ok := e.announced[m.ID]
	limit := e.stated.limited() && !(ok && last.enough(m.Incarnation, e.stated.rate))
	cold := e.coldAnnounceable(now) && !(ok && last.incarnation == m.Incarnation && last.coldSince.Equal(e.cold.since))
	if !limit && !cold {
		return nil
	}
	return &AnnounceArgs{VM: l.cfg.Self, Stated: e.stated.message(id, now), Cold: e.cold.message(now)}
}

// announceTo announces a limit to one VM.
func (l *Limiter) announceTo(m membership.Member, args *AnnounceArgs) error {
	ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
	defer cancel()
	var reply AnnounceReply
	if err := l.cfg.PeerClient.Call(ctx, m.PeerAddress, announceMethod, args, &reply); err != nil {
		return errors.Wrapf(err, "announce to %s", m.ID)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.endpoint(args.Stated.Endpoint)
	e.recordReport(m.ID, reply.Recent, time.Now())
	if e.announced == nil {
		e.announced = map[string]announced{}
	}
	e.announced[m.ID] = announced{incarnation: m.Incarnation, rate: args.Stated.announcedRate(), coldSince: e.cold.since}
	return nil
}
