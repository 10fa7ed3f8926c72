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
	return e.stated.limited() && started <= e.blockedStarted && now.Before(e.blockedUntil)
}

// Take asks whether a request may be sent to an endpoint now. It calls the home of the endpoint if that states a limit.
// Every request that is sent must have been granted.
func (l *Limiter) Take(id roster.Incarnation) Decision {
	now := time.Now()
	l.mu.Lock()
	e := l.endpoint(id.ID)
	if !e.stated.limited() {
		e.unasked.add(now)
		l.mu.Unlock()
		return Decision{Granted: true}
	}
	known, ask := e.stated, !now.Before(e.homeBackoffUntil)
	blocked, until := e.blocked(id.Started, now), e.blockedUntil
	recent := e.unasked.recent(now)
	l.mu.Unlock()
	d := Decision{Limit: known.rate, Started: known.started, Age: now.Sub(known.received)}
	if blocked {
		d.By, d.RetryAfter = ByBlocked, until.Sub(now)
		return d
	}
	if ask && l.askHome(id, known, recent, &d) {
		return l.decided(id, d)
	}
	l.useShare(id.ID, &d)
	return l.decided(id, d)
}

// decided records that a request was refused, if it was.
func (l *Limiter) decided(id roster.Incarnation, d Decision) Decision {
	if d.Granted {
		return d
	}
	l.withheld.Inc(1)
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
)

// askHome asks the home of an endpoint, which may be this VM, and fills in its decision. It reports false if the home
// has not decided.
func (l *Limiter) askHome(id roster.Incarnation, known statement, recent []int, d *Decision) bool {
	holder, ok := l.cfg.Leases.HolderOf(l.cfg.LeaseOf(id.ID))
	if !ok {
		l.recordHome(id.ID, errNoHome)
		return false
	}
	sent := time.Now()
	var reply TakeReply
	args := &TakeArgs{VM: l.cfg.Self, Started: id.Started, Stated: known.message(id.ID, sent)}
	if holder.VM == l.cfg.Self {
		reply = l.grant(args, known)
	} else {
		args.Recent = recent
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
	l.recordHome(id.ID, nil)
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
	case !e.stated.limited():
		d.Granted = true
	case l.maxVMs <= 1:
		d.By, d.RetryAfter = ByNoHome, noHomeRetryAfter
	default:
		d.By, d.VMs = ByShare, l.maxVMs
		d.Granted, d.RetryAfter = e.share.take(e.stated.rate, l.maxVMs, l.phase, now)
	}
	if d.Granted {
		e.unasked.add(now)
	}
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
	total := 0.0
	for _, id := range endpoints {
		if e := l.endpoints[id]; e != nil && e.stated.limited() {
			total += effectiveRate(e.stated.rate)
		}
	}
	if total == 0 {
		return 0
	}
	return time.Duration(float64(max(l.maxVMs, 1)) / total * float64(time.Second))
}

// State is the limit of an endpoint as this VM knows it.
type State struct {
	// Limit is the number of requests per second for all VMs together; nil if there is no limit.
	Limit *float64 `json:"limit"`
	// LimitAge is the time since the limit was last stated; empty if there is none.
	LimitAge string `json:"limit_age"`
}

// State returns the limit of an endpoint.
func (l *Limiter) State(endpoint string) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.endpoints[endpoint]
	if e == nil || !e.stated.limited() {
		return State{}
	}
	rate := e.stated.rate
	return State{Limit: &rate, LimitAge: time.Since(e.stated.received).Round(time.Millisecond).String()}
}
