package ratelimit

import (
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/dialect"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

const (
	// maxCold bounds the time for which an endpoint is taken to be cold without a new statement.
	maxCold = time.Hour
	// defaultColdDuration is how long an endpoint that has started is taken to be cold if neither its entry nor the
	// configuration says so: entries are written about every 1.2 s, so that several say whether it is.
	defaultColdDuration = 5 * time.Second
	// coldTolerance is the difference between two ends of a cold time that may come from the delay of a call. Without it,
	// two VMs that pass the same end to each other would move it on with each call.
	coldTolerance = 2 * callTimeout
	// maxListDelay is the time by which an entry of the list may have been written after the time at which the list is
	// confirmed to have been current: a call to the store takes so long at most while it responds.
	maxListDelay = 2 * time.Second
	// coldAnnouncePeriod is how long a cold time that did not begin with a start is announced to other VMs. After that
	// they have it from their list of endpoints.
	coldAnnouncePeriod = 1500 * time.Millisecond
	// maxListAge is the age of the list of endpoints from which on it may lack a restart of some seconds ago: entries take
	// about 2.6 s from the endpoint to all VMs.
	maxListAge = 3 * time.Second
	// coldRetention is how long the end of a cold time is remembered: until then, another VM may still pass on that the
	// endpoint is cold.
	coldRetention = time.Minute
)

// Names of the gauge of endpoints that are cold, and of the counters of requests to cold endpoints that this VM has granted
// to itself or others, and that were withheld from this VM's own requests.
const (
	metricCold         = "ratelimit.cold"
	metricColdGranted  = "ratelimit.cold_granted"
	metricColdWithheld = "ratelimit.cold_withheld"
)

// Sources of a cold time in logs, other than sourceResponse and VMs.
const (
	// sourceStart says that a new incarnation was listed, sourceEntry that an entry of the list states the time,
	// sourceCaller that TreatAsCold was called, and sourceRefused that the endpoint's host refused a connection.
	sourceStart   = "start"
	sourceEntry   = "entry"
	sourceCaller  = "returned"
	sourceRefused = "refused"
	// sourceLost says that the endpoint closed a connection while the list was out of date.
	sourceLost = "connection_lost"
	// sourceAlive says that the process which was thought to have ended has responded.
	sourceAlive = "alive"
)

// ColdLimit is the limit of the cold endpoints of a group.
type ColdLimit struct {
	// Rate is the number of requests per second that a cold endpoint accepts from all VMs together.
	Rate float64
	// Duration is how long an endpoint is cold after it has started.
	Duration time.Duration
}

// duration returns how long an endpoint is taken to be cold that has not said how long it is.
func (c ColdLimit) duration() time.Duration {
	if c.Duration <= 0 {
		return defaultColdDuration
	}
	return min(c.Duration, maxCold)
}

// coldStatement says until when an endpoint is cold.
type coldStatement struct {
	started int64
	// until is when the endpoint stops being cold, on the clock of this process.
	until time.Time
	// The endpoint wrote the statement between sent and received.
	sent, received time.Time
}

// known reports whether the statement has been made.
func (s coldStatement) known() bool { return !s.received.IsZero() }

// supersedes reports whether the statement replaces the one that is known. Of two statements whose order is not certain,
// the one with the later end counts.
func (s coldStatement) supersedes(k coldStatement) bool {
	switch {
	case !k.known(), s.started > k.started, !s.sent.Before(k.received):
		return true
	case s.started < k.started:
		return false
	}
	return s.until.After(k.until.Add(coldTolerance)) && s.received.After(k.sent)
}

// coldState is what this VM knows about the cold time of one endpoint.
type coldState struct {
	stated coldStatement
	rate   float64
	source string
	// on says that the endpoint was cold when this was last checked, since then since, and granted is the number of
	// requests that this VM has granted to itself or others meanwhile.
	on      bool
	since   time.Time
	granted int

	// The fields below are used while this VM is the home.

	bucket bucket
	// before counts the requests that this VM had granted before the endpoint became cold.
	before counts
}

// active reports whether the endpoint is cold.
func (c *coldState) active(now time.Time) bool { return c.rate > 0 && now.Before(c.stated.until) }

// outdated reports whether the cold time can be forgotten.
func (c *coldState) outdated(now time.Time) bool {
	return !c.stated.known() || clock.Elapsed(c.stated.received, now) > coldRetention && clock.Elapsed(c.stated.until, now) > coldRetention
}

// listEntry is what was last seen of an endpoint in the list of endpoints.
type listEntry struct {
	started int64
	cold    roster.Cold
	// seenAt is a time at which the entry was still in the list.
	seenAt time.Time
	// list is the number of the last list that contained the endpoint.
	list uint64
}

// same reports whether two entries of one incarnation may be the same one, read again. The version is known to VMs that
// read the list themselves, and to others while the endpoint is cold.
func (e listEntry) same(cold roster.Cold) bool {
	if e.cold.Stated != cold.Stated || e.cold.Left != cold.Left {
		return false
	}
	return e.cold.Version == cold.Version || e.cold.Version == 0 || cold.Version == 0
}

// Listed records what the list of endpoints says about cold endpoints. The list was current at the time confirmed. It must
// be called before requests are sent to endpoints that the list adds.
func (l *Limiter) Listed(list []roster.Endpoint, confirmed time.Time) {
	if l.cfg.Cold == nil {
		return
	}
	limits, now := l.cfg.Cold(), time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lists++
	for _, e := range list {
		limit := limits[e.Group]
		if limit.Rate <= 0 {
			continue
		}
		known, ok := l.listed[e.ID]
		entry := listEntry{started: e.Started, cold: e.Cold, seenAt: confirmed}
		switch {
		case ok && known.started == e.Started:
			entry = l.listedAgain(e, known, limit, confirmed, now)
		case ok || l.coldGroups[e.Group]:
			l.listedNew(e, ok, limit, confirmed, now)
		case e.Cold.Stated:
			// This VM does not know which endpoints are new. Their entries say whether they are cold.
			l.learnCold(e.ID, entryStatement(e, confirmed.Add(-retention), confirmed, now), limit.Rate, sourceEntry)
		}
		entry.list = l.lists
		l.listed[e.ID] = entry
	}
	maps.DeleteFunc(l.listed, func(_ string, e listEntry) bool { return e.list != l.lists })
	l.coldGroups = make(map[string]bool, len(limits))
	for group := range limits {
		l.coldGroups[group] = true
	}
}

// entryStatement returns what an entry says. It was written after the time sent, and read in a list that was current at the
// time confirmed.
func entryStatement(e roster.Endpoint, sent, confirmed, now time.Time) coldStatement {
	until := now
	if latest := confirmed.Add(maxListDelay); latest.Before(now) {
		until = latest
	}
	return coldStatement{started: e.Started, until: until.Add(min(e.Cold.Left, maxCold)), sent: sent, received: now}
}

// listedAgain records the entry of an incarnation that was listed before, and returns it. l.mu is held.
func (l *Limiter) listedAgain(e roster.Endpoint, known listEntry, limit ColdLimit, confirmed, now time.Time) listEntry {
	if known.same(e.Cold) {
		if e.Cold.Version == 0 {
			e.Cold.Version = known.cold.Version
		}
	} else if e.Cold.Stated {
		l.learnCold(e.ID, entryStatement(e, known.seenAt, confirmed, now), limit.Rate, sourceEntry)
	}
	if confirmed.Before(known.seenAt) {
		confirmed = known.seenAt
	}
	return listEntry{started: e.Started, cold: e.Cold, seenAt: confirmed}
}

// listedNew records the first entry of a new incarnation, of which an earlier one was listed if restarted is set. The
// endpoint is cold until a later entry says otherwise: the first one may have been written before it could know. At the
// first start of the whole deployment, endpoints start without traffic. l.mu is held.
func (l *Limiter) listedNew(e roster.Endpoint, restarted bool, limit ColdLimit, confirmed, now time.Time) {
	s := entryStatement(e, confirmed, confirmed, now)
	if e.Cold.Left > 0 || l.cfg.FirstStart && !restarted && e.Cold.Stated {
		l.learnCold(e.ID, s, limit.Rate, sourceEntry)
		return
	}
	s.until = now.Add(limit.duration())
	l.learnCold(e.ID, s, limit.Rate, sourceStart)
}

// TreatAsCold treats endpoints as cold from now on, because they return to service. They get rate requests per second from
// all VMs together until a statement of theirs that is certain to be newer than this call says otherwise, or the duration
// ends. A rate or duration of 0 has no effect.
func (l *Limiter) TreatAsCold(endpoints []roster.Endpoint, rate float64, duration time.Duration) {
	if rate <= 0 || duration <= 0 {
		return
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range endpoints {
		s := coldStatement{started: e.Started, until: now.Add(min(duration, maxCold)), sent: now, received: now}
		if known := l.endpoint(e.ID).cold.stated; known.started == e.Started && known.until.After(s.until) {
			s.until = known.until
		}
		l.learnCold(e.ID, s, rate, sourceCaller)
	}
}

// Refused records that an endpoint has refused a connection, or has ended a new one without a response. The process has ended, and a new one that is not
// listed yet may take requests at the same address: the endpoint is cold until a statement that is certain to be newer says
// otherwise. An entry of the same incarnation does if the process still runs.
func (l *Limiter) Refused(id roster.Incarnation) { l.mayHaveRestarted(id, sourceRefused) }

// ConnectionLost records that an endpoint has closed a connection. Endpoints that run may do that. It shows a restart only to
// VMs whose list of endpoints is out of date, since these learn of restarts in no other way.
func (l *Limiter) ConnectionLost(id roster.Incarnation) {
	if l.cfg.ListAge != nil && l.cfg.ListAge() > maxListAge {
		l.mayHaveRestarted(id, sourceLost)
	}
}

// ConnectionAlive records that an endpoint has responded to a request that was sent at a time, on a connection that was opened
// earlier. If both times are on different sides of a refused or lost connection, the process has not ended then: endpoints
// also reset connections beyond the number that they accept.
func (l *Limiter) ConnectionAlive(id roster.Incarnation, opened, sent time.Time) {
	l.mu.Lock()
	e := l.endpoints[id.ID]
	doubted := e != nil && e.cold.on && (e.cold.source == sourceRefused || e.cold.source == sourceLost) && opened.Before(e.cold.since) &&
		sent.After(e.cold.stated.received) && id.Started == e.cold.stated.started
	changed := false
	if doubted {
		now := time.Now()
		changed = l.learnCold(id.ID, coldStatement{started: id.Started, until: now, sent: sent, received: now}, e.cold.rate, sourceAlive)
	}
	l.mu.Unlock()
	if changed {
		go l.reportToHome(id.ID)
	}
}

// mayHaveRestarted treats an endpoint as cold because an incarnation that is not listed yet may have taken its place.
func (l *Limiter) mayHaveRestarted(id roster.Incarnation, source string) {
	now := time.Now()
	l.mu.Lock()
	limit := l.coldLimit(id.ID)
	s := coldStatement{started: id.Started, until: now.Add(limit.duration()), sent: now, received: now}
	changed := l.learnCold(id.ID, s, limit.Rate, source)
	l.mu.Unlock()
	if changed {
		go l.reportToHome(id.ID)
	}
}

// observeCold records what a response says about the cold time of an endpoint.
func (l *Limiter) observeCold(id roster.Incarnation, info dialect.ResponseInfo, sent time.Time) {
	if info.ColdText != "" {
		l.cfg.Log.WithFields(logrus.Fields{
			"event": "endpoint_cold_malformed", "endpoint": id.ID, "started": id.Started, "cold": info.ColdText,
		}).Warn("cold time stated by endpoint is out of range and is bounded or ignored")
	}
	if !info.HasColdLeft {
		return
	}
	now := time.Now()
	s := coldStatement{started: id.Started, until: now.Add(min(info.ColdLeft, maxCold)), sent: sent, received: now}
	l.mu.Lock()
	changed := l.learnCold(id.ID, s, l.coldLimit(id.ID).Rate, sourceResponse)
	l.mu.Unlock()
	if changed {
		go l.reportToHome(id.ID)
	}
}

// coldLimit returns the limit of a listed endpoint while it is cold; its rate is 0 if there is none. l.mu is held.
func (l *Limiter) coldLimit(id string) ColdLimit {
	if l.cfg.Cold == nil || l.cfg.GroupOf == nil {
		return ColdLimit{}
	}
	group, _ := l.cfg.GroupOf(id)
	return l.cfg.Cold()[group]
}

// learnCold records a statement about a cold time unless the known one counts. rate is the rate of requests while the
// endpoint is cold; endpoints without one are not limited. It reports whether the endpoint has become cold or has stopped
// being cold. l.mu is held.
func (l *Limiter) learnCold(id string, s coldStatement, rate float64, source string) bool {
	now := time.Now()
	if rate <= 0 || l.endpoints[id] == nil && !now.Before(s.until) {
		return false
	}
	e := l.endpoint(id)
	c := &e.cold
	if !s.supersedes(c.stated) {
		return false
	}
	restarted := c.stated.known() && s.started > c.stated.started
	c.stated, c.rate = s, rate
	if !c.active(now) {
		return l.endCold(id, e, source)
	}
	if c.on && !restarted {
		return false
	}
	c.on, c.since, c.granted, c.source = true, now, 0, source
	c.bucket, c.before = bucket{refilledAt: now}, e.granted
	l.cfg.Log.WithFields(logrus.Fields{
		"event": "endpoint_cold", "endpoint": id, "started": s.started, "rate": rate, "left": s.until.Sub(now).Round(time.Millisecond),
		"source": source,
	}).Info("endpoint is cold and gets a limited rate of requests")
	l.signal()
	return true
}

// endCold records that an endpoint is not cold, and reports whether it was. l.mu is held.
func (l *Limiter) endCold(id string, e *endpoint, source string) bool {
	c := &e.cold
	if !c.on {
		return false
	}
	c.on = false
	e.blockedUntil = time.Time{}
	l.cfg.Log.WithFields(logrus.Fields{
		"event": "endpoint_warm", "endpoint": id, "started": c.stated.started, "cold_for": time.Since(c.since).Round(time.Millisecond),
		"granted": c.granted, "source": source,
	}).Info("endpoint is no longer cold")
	return true
}

// sourceExpiry is the source, in logs, of the end of a cold time that no statement has ended before.
const sourceExpiry = "expiry"

// sweepCold records the cold times that have ended, and the number of endpoints that are cold. l.mu is held.
func (l *Limiter) sweepCold(now time.Time) {
	cold := int64(0)
	for id, e := range l.endpoints {
		switch {
		case e.cold.active(now):
			cold++
		case e.cold.on:
			l.endCold(id, e, sourceExpiry)
		}
	}
	l.cold.Update(cold)
}

// countCold counts a request to an endpoint that was granted, if the endpoint is cold. l.mu is held.
func (l *Limiter) countCold(e *endpoint, now time.Time) {
	if e.cold.active(now) {
		e.cold.granted++
		l.coldGranted.Inc(1)
	}
}

// coldAnnounceable reports whether other VMs may not know yet that the endpoint is cold: a start and a return to service
// they see themselves, and a later cold time is in their list after a while.
func (e *endpoint) coldAnnounceable(now time.Time) bool {
	c := &e.cold
	return c.on && c.active(now) && c.source != sourceStart && c.source != sourceCaller && now.Sub(c.since) < coldAnnouncePeriod
}
