package ratelimit

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/roster"
)

// Decision says whether a request may be sent to an endpoint now, and why.
type Decision struct {
	Granted bool
	// RetryAfter is the time after which the endpoint may take a request, if this one is not granted.
	RetryAfter time.Duration
	// By says who has decided: a VM as the home of the endpoint, or one of the constants below. It is empty if the
	// endpoint states no limit.
	By string
	// Limit, Started and Age are the limit in requests per second, the incarnation of the endpoint that has stated
	// it, and the time since it was last stated.
	Limit   float64
	Started int64
	Age     time.Duration
	// Cold says that the endpoint is cold.
	Cold bool
	// VMs is the number of VMs by which the share of this VM was computed; 0 if the home has decided.
	VMs int
}

// Values of Decision.By other than the home.
const (
	// ByBlocked says that an earlier request was refused until a later time.
	ByBlocked = "blocked"
	// ByShare says that the home could not be reached and this VM used its share, or had used it up.
	ByShare = "share"
	// ByNoHome says that the home could not be reached and the number of VMs is not known.
	ByNoHome = "no_home"
)

// LogFields returns the decision as fields of a log line; none if the endpoint states no limit.
func (d Decision) LogFields() logrus.Fields {
	if d.By == "" {
		return nil
	}
	return logrus.Fields{
		"limit": d.Limit, "limit_started": d.Started, "limit_age": d.Age.Round(time.Millisecond), "limit_by": d.By, "limit_vms": d.VMs,
		"cold": d.Cold,
	}
}

// BlockedUntil returns until when this VM must not send requests to an endpoint; zero if it may, as far as is known
// without asking the home.
func (l *Limiter) BlockedUntil(id roster.Incarnation, now time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.endpoints[id.ID]
	if e == nil || !e.blocked(id.Started, now) {
		return time.Time{}
	}
	return e.blockedUntil
}

// Unblocked removes the endpoints from a list to which BlockedUntil allows no requests now. It changes the list.
func (l *Limiter) Unblocked(list []roster.Endpoint, now time.Time) []roster.Endpoint {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(list, func(e roster.Endpoint) bool {
		known := l.endpoints[e.ID]
		return known != nil && known.blocked(e.Started, now)
	})
}

// blocked reports whether no request may be sent to an incarnation of the endpoint now.
func (e *endpoint) blocked(started int64, now time.Time) bool {
	return e.limited(now) && started <= e.blockedStarted && now.Before(e.blockedUntil)
}

// Take asks whether a request may be sent to an endpoint now. It calls the home of the endpoint if that states a limit or
// is cold.
// Every request that is sent must have been granted.
func (l *Limiter) Take(id roster.Incarnation) Decision {
	now := time.Now()
	l.mu.Lock()
	e := l.endpoint(id.ID)
	if !e.limited(now) {
		e.unasked.add(now)
		l.mu.Unlock()
		return Decision{Granted: true}
	}
	known, ask := e.stated, !now.Before(e.homeBackoffUntil)
	args := &TakeArgs{VM: l.cfg.Self, Started: id.Started, Stated: known.message(id.ID, now), Cold: e.cold.message(now)}
	d := e.decision(now)
	blocked, until := e.blocked(id.Started, now), e.blockedUntil
	args.Recent = e.unasked.recent(now)
	l.mu.Unlock()
	if blocked {
		d.By, d.RetryAfter = ByBlocked, until.Sub(now)
		return d
	}
	if ask && l.askHome(id, known, args, &d) {
		return l.decided(id, d)
	}
	l.useShare(id.ID, &d)
	return l.decided(id, d)
}

// decision returns a decision with the limit of the endpoint, which is limited.
func (e *endpoint) decision(now time.Time) Decision {
	if e.cold.active(now) && e.cold.rate <= e.stated.rate {
		return Decision{Limit: e.cold.rate, Started: e.cold.stated.started, Age: now.Sub(e.cold.stated.received), Cold: true}
	}
	return Decision{Limit: e.stated.rate, Started: e.stated.started, Age: now.Sub(e.stated.received), Cold: e.cold.active(now)}
}

// decided records that a request was refused, if it was.
func (l *Limiter) decided(id roster.Incarnation, d Decision) Decision {
	if d.Granted {
		return d
	}
	l.withheld.Inc(1)
	if d.Cold {
		l.coldWithheld.Inc(1)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.endpoint(id.ID)
	e.blockedStarted, e.blockedUntil = id.Started, time.Now().Add(d.RetryAfter)
	return d
}

// Reasons why no home of an endpoint has decided.
var (
	errNoHome  = errors.New("no VM is known to hold the lease of the endpoint")
	errNotHome = errors.New("the called VM does not hold the lease of the endpoint")
	// errNoCold says that the home is of a build that knows no cold endpoints, and has not limited the request.
	errNoCold = errors.New("the home knows no cold endpoints")
)

// askHome asks the home of an endpoint, which may be this VM, and fills in its decision. known is the limit as this VM knows
// it. It reports false if the home has not decided.
func (l *Limiter) askHome(id roster.Incarnation, known statement, args *TakeArgs, d *Decision) bool {
	holder, ok := l.cfg.Leases.HolderOf(l.cfg.LeaseOf(id.ID))
	if !ok {
		l.recordHome(id.ID, errNoHome)
		return false
	}
	sent := time.Now()
	var reply TakeReply
	if holder.VM == l.cfg.Self {
		args.Recent = nil
		reply = l.grant(args, known)
	} else {
		ctx, cancel := context.WithTimeout(l.ctx, takeTimeout)
		defer cancel()
		if err := l.cfg.PeerClient.Call(ctx, holder.Address, takeMethod, args, &reply); err != nil {
			l.recordHome(id.ID, err)
			return false
		}
	}
	if reply.NotHome {
		l.recordHome(id.ID, errNotHome)
		return false
	}
	if d.Cold && reply.Granted && !reply.Cold.Known {
		l.recordHome(id.ID, errNoCold)
		return false
	}
	l.recordHome(id.ID, nil)
	if holder.VM != l.cfg.Self {
		l.mu.Lock()
		l.learnColdFrom(holder.VM, id.ID, reply.Cold, sent, time.Now())
		l.mu.Unlock()
	}
	if reply.Stated.valid() && holder.VM != l.cfg.Self {
		l.mu.Lock()
		l.learn(id.ID, reply.Stated.statement(sent, time.Now()), holder.VM)
		l.mu.Unlock()
	}
	d.Granted, d.RetryAfter, d.By = reply.Granted, reply.RetryAfter, holder.VM
	return true
}

// recordHome records whether the home of an endpoint has decided, and logs when that has changed.
func (l *Limiter) recordHome(id string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.endpoints[id]
	if e == nil {
		return
	}
	if err != nil {
		e.homeBackoffUntil = time.Now().Add(homeBackoff)
	}
	if lost := err != nil; lost == e.homeLost {
		return
	}
	e.homeLost = err != nil
	entry := l.cfg.Log.WithField("endpoint", id)
	if e.homeLost {
		entry.WithError(err).WithField("event", "endpoint_home_lost").Warn("home of the endpoint's rate limit is unreachable")
		return
	}
	entry.WithField("event", "endpoint_home_back").Info("home of the endpoint's rate limit is reachable again")
}

// useShare decides by the share of this VM.
func (l *Limiter) useShare(id string, d *Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.countVMs()
	e, now := l.endpoint(id), time.Now()
	switch {
	case !e.limited(now):
		d.Granted = true
	case l.maxVMs <= 1:
		d.By, d.RetryAfter = ByNoHome, noHomeRetryAfter
	default:
		d.By, d.VMs = ByShare, l.maxVMs
		rate, longest := l.shareRate(e, now)
		d.Granted, d.RetryAfter = e.share.take(rate, longest, l.maxVMs, l.phase, now)
	}
	if d.Granted {
		e.unasked.add(now)
		l.countCold(e, now)
	}
}

// shareRate returns the rate of requests to a limited endpoint that all VMs together may send without its home, and how
// long one of them may use its turn. l.mu is held.
func (l *Limiter) shareRate(e *endpoint, now time.Time) (rate float64, longest time.Duration) {
	stated := shareOfLimit * effectiveRate(e.stated.rate)
	if !e.cold.active(now) {
		return stated, maxTurn
	}
	return min(stated, l.cfg.ColdBounds.policy(e.cold.rate).shares), maxColdTurn
}

// phase returns when this VM's first turn begins, as a part of the period: VMs that lose the home at the same time have
// their turns in the order of their IDs. l.mu is held.
func (l *Limiter) phase() float64 {
	before := 0
	for _, m := range l.cfg.Fleet.Members() {
		if m.ID < l.cfg.Self {
			before++
		}
	}
	return (float64(before) + rand.Float64()) / float64(max(l.maxVMs, before+1))
}

// countVMs updates the greatest number of VMs that this process has known. l.mu is held.
func (l *Limiter) countVMs() { l.maxVMs = max(l.maxVMs, l.cfg.FleetSize()) }

// Interval returns the time between two requests for which the limits of the given endpoints leave this VM room, if all
// VMs send as many; 0 if none of the endpoints states a limit.
func (l *Limiter) Interval(endpoints []string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	total, now := 0.0, time.Now()
	for _, id := range endpoints {
		if e := l.endpoints[id]; e != nil && e.limited(now) {
			total += effectiveRate(e.limit(now))
		}
	}
	if total == 0 {
		return 0
	}
	return time.Duration(float64(max(l.maxVMs, 1)) / total * float64(time.Second))
}

// State is the limit of an endpoint as this VM knows it.
type State struct {
	// Limit is the number of requests per second for all VMs together that the endpoint states; nil if there is none.
	Limit *float64 `json:"limit"`
	// LimitAge is the time since the limit was last stated; empty if there is none.
	LimitAge string `json:"limit_age"`
	// Cold is the cold time of the endpoint; nil if it is not known to have been cold.
	Cold *ColdTime `json:"cold,omitempty"`
}

// ColdTime is the present or last cold time of an endpoint as this VM knows it.
type ColdTime struct {
	Cold bool `json:"cold"`
	// Rate is the number of requests per second for all VMs together while the endpoint is cold.
	Rate float64 `json:"rate"`
	// For is how long the endpoint has been cold, and Left how long it stays cold; empty if it is not cold.
	For  string `json:"for,omitempty"`
	Left string `json:"left,omitempty"`
	// Granted is the number of requests that this VM granted to itself or others during the cold time.
	Granted int `json:"granted"`
	// Source says from what this VM learned that the endpoint is cold.
	Source string `json:"source"`
}

// State returns the limit of an endpoint.
func (l *Limiter) State(endpoint string) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.endpoints[endpoint]
	if e == nil {
		return State{}
	}
	now := time.Now()
	s := State{Cold: e.cold.time(now)}
	if e.stated.limited() {
		rate := e.stated.rate
		s.Limit, s.LimitAge = &rate, now.Sub(e.stated.received).Round(time.Millisecond).String()
	}
	return s
}

// time returns the cold time for the dump of the state; nil if there is none.
func (c *coldState) time(now time.Time) *ColdTime {
	if c.since.IsZero() {
		return nil
	}
	t := &ColdTime{Cold: c.active(now), Rate: c.rate, Granted: c.granted, Source: c.source}
	if t.Cold {
		t.For, t.Left = now.Sub(c.since).Round(time.Millisecond).String(), c.stated.until.Sub(now).Round(time.Millisecond).String()
	}
	return t
}
