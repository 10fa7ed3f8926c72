// Package residency tracks which adapters one engine holds and plans the loads and evictions to order from
// it. The package uses neither the network nor a clock: times and the engine's replies are passed in.
//
// An engine counts the orders that it accepts, and accepts an order only if the order names the current
// count. An order that got no reply can therefore still take effect until the engine accepts another one. The
// VM whose lease lets it send orders to an engine is the engine's owner.
package residency

import (
	"cmp"
	"slices"
	"time"

	"github.com/mallowlink/mallowlink/pkg/engine"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

// Key identifies an adapter regardless of its version.
type Key struct {
	Model string
	Name  string
}

// compare orders keys, so that ties between adapters are always broken in the same way.
func (k Key) compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Model, other.Model), cmp.Compare(k.Name, other.Name))
}

// KeyOf returns the key of an adapter.
func KeyOf(a roster.Adapter) Key { return Key{Model: a.Model, Name: a.Name} }

// Config configures a Planner.
type Config struct {
	// Model is the base model that the engine must hold.
	Model string
	// ModelLoad is the time that the base model takes to load.
	ModelLoad time.Duration
	// Slots is the number of adapters that the engine can hold at once, including those being loaded.
	Slots int
	// MaxLoading limits the loads in progress at once.
	MaxLoading int
	// WarmCount is the number of most recently evicted adapters that the engine is assumed to reload quickly,
	// from its own memory.
	WarmCount int
	// Newest returns the newest version of an adapter that the operator has declared, or 0 if there is none.
	Newest func(Key) int
}

const (
	// DefaultMaxLoading is lower than the number of loads that engines accept at once: when there are more
	// loads than the weight store can serve at full speed, each of them slows down.
	DefaultMaxLoading = 3
	// DefaultWarmCount is about the number of adapters that an engine keeps in its memory.
	DefaultWarmCount = 80
	// initialColdLoad and initialWarmLoad are the load times assumed before any load has been measured.
	initialColdLoad = 250 * time.Millisecond
	initialWarmLoad = 25 * time.Millisecond
	// minPollInterval is the shortest time between two polls for the end of an order. The interval grows with
	// the time since the order was sent: it is pollIntervalShare of that time.
	minPollInterval   = 8 * time.Millisecond
	pollIntervalShare = 0.08
	// firstPollShare is the fraction of the expected load time after which the first poll is sent.
	firstPollShare = 0.92
	// maxReportLag is how far an engine's report may lag behind the orders that it has accepted. Reports are
	// some hundred milliseconds old; the value includes a margin.
	maxReportLag = 300 * time.Millisecond
	// loadRounding is added to the computed load limit before it is truncated to an integer.
	loadRounding = 0.25
	// loadTimeWeight is the weight of a new measurement in the moving average of load times.
	loadTimeWeight = 0.2
)

// state is the state of an adapter at the engine, as far as the planner knows.
type state int

const (
	absent state = iota
	loading
	loaded
	evicting
)

// slot is one of the engine's adapter slots, taken by an adapter that is loading, loaded or being evicted.
type slot struct {
	state   state
	version int
	// users counts the requests that may be using the adapter.
	users   int
	lastUse time.Time
	// orderedAt is when the order in progress was sent, and pollAt when to poll for its end.
	orderedAt time.Time
	pollAt    time.Time
	warm      bool
	// outcomeUnknown is set if the order got no reply; expectedCount is the order count that it named.
	outcomeUnknown bool
	expectedCount  int64
	// polledAt is when the last poll for the end of the order got a reply, or zero if none has.
	polledAt time.Time
}

// schedulePoll schedules the next poll for the end of the order, after one has got a reply at now.
func (s *slot) schedulePoll(now time.Time) {
	s.polledAt = now
	s.pollAt = now.Add(max(minPollInterval, time.Duration(pollIntervalShare*float64(now.Sub(s.orderedAt)))))
}

// noneUnanswered is the value of highestUnanswered when no order is unanswered. It is below every order
// count.
const noneUnanswered = -1

// demand describes an adapter that requests are waiting for.
type demand struct {
	waiters int
	// urgency is that of the most urgent waiter (0 is the most urgent), and since is when the first one
	// arrived.
	urgency int
	since   time.Time
}

// Planner tracks the adapters of one engine and plans the next order to it. It is not safe for concurrent
// use.
type Planner struct {
	cfg Config
	// accepted is the planner's view of the engine's order count. It may be lower than the real count but
	// never higher, because an order naming a count that the engine has yet to reach could be carried out
	// once the engine reaches it. maybeBehind is set if the real count may be one higher.
	accepted    int64
	maybeBehind bool
	// highestUnanswered is the highest count that an order without a reply has named since the last report,
	// or noneUnanswered. As far as those orders go, the engine's count is at most one higher.
	highestUnanswered int64
	// synced is set once a report has been applied. needsReport is set if the planner's view has proved wrong
	// since: no order is sent before the next report, but adapters known to be loaded stay in use.
	synced, needsReport bool
	// lateOrdersPossible is set while orders sent before the last report may still be carried out, which is
	// until the engine has accepted another order.
	lateOrdersPossible bool
	// reportFrom is the earliest time at which a report is certain to reflect all orders sent so far.
	reportFrom time.Time
	// baseModel is the slot of the engine's base model, which takes none of the adapter slots.
	baseModel slot
	slots     map[Key]*slot
	demands   map[Key]*demand
	warm      warmList
	// coldLoad and warmLoad are the expected load times, and fastestColdLoad is the shortest cold load seen.
	coldLoad, warmLoad, fastestColdLoad time.Duration
}

// New returns a planner that does not know the engine's state yet; it first needs a report.
func New(cfg Config) *Planner {
	return &Planner{
		cfg: cfg, slots: map[Key]*slot{}, demands: map[Key]*demand{}, warm: newWarmList(cfg.WarmCount),
		coldLoad: initialColdLoad, warmLoad: initialWarmLoad, fastestColdLoad: initialColdLoad, highestUnanswered: noneUnanswered,
	}
}

// Sync replaces the planner's view of the engine with a report that was read at now. No order may have been
// sent for the longest time that a report can lag behind (see maxReportLag).
func (p *Planner) Sync(r engine.Report, now time.Time) {
	old := p.slots
	p.slots = map[Key]*slot{}
	for _, a := range r.Loaded {
		p.addReported(a, loaded, old, now)
	}
	for _, a := range r.Pending {
		p.addReported(a, loading, old, now)
	}
	p.baseModel = slot{state: absent}
	if slices.Contains(r.Models, p.cfg.Model) {
		p.baseModel.state = loaded
	}
	p.accepted, p.maybeBehind, p.highestUnanswered = r.Accepted, false, noneUnanswered
	p.synced, p.needsReport, p.lateOrdersPossible = true, false, true
}

func (p *Planner) addReported(a roster.Adapter, st state, old map[Key]*slot, now time.Time) {
	s := &slot{state: st, version: a.Version, orderedAt: now, pollAt: now.Add(minPollInterval)}
	if before := old[KeyOf(a)]; before != nil {
		s.users, s.lastUse = before.users, before.lastUse
	}
	p.slots[KeyOf(a)] = s
}

// Synced reports whether a report of the engine has been applied.
func (p *Planner) Synced() bool { return p.synced }

// Ready reports whether the engine can run requests.
func (p *Planner) Ready() bool { return p.synced && p.baseModel.state == loaded }

// RequireReport makes the planner wait for a report before it plans the next order. Adapters known to be
// loaded stay in use meanwhile.
func (p *Planner) RequireReport(now time.Time) {
	p.needsReport = true
	p.reportFrom = now.Add(maxReportLag)
}

// Acquire starts one request's use of the adapter, if the engine holds the newest version of it. The caller
// must end the use with Release. Acquire returns the version to name in the request.
func (p *Planner) Acquire(key Key, now time.Time) (int, bool) {
	s := p.slots[key]
	if !p.Ready() || s == nil || s.state != loaded || p.stale(key, s) {
		return 0, false
	}
	s.users++
	s.lastUse = now
	return s.version, true
}

// stale reports whether the operator has declared a newer version than the one in the slot.
func (p *Planner) stale(key Key, s *slot) bool { return s.version < p.cfg.Newest(key) }

// Release ends one request's use of the adapter.
func (p *Planner) Release(key Key, now time.Time) {
	if s := p.slots[key]; s != nil && s.users > 0 {
		s.users--
		s.lastUse = now
	}
}

// AddWaiter registers a request that waits for the adapter. The caller must call RemoveWaiter when the wait
// ends.
func (p *Planner) AddWaiter(key Key, urgency int, now time.Time) {
	d := p.demands[key]
	if d == nil {
		d = &demand{urgency: urgency, since: now}
		p.demands[key] = d
	}
	d.waiters++
	d.urgency = min(d.urgency, urgency)
}

// RemoveWaiter removes one waiting request.
func (p *Planner) RemoveWaiter(key Key) {
	d := p.demands[key]
	if d == nil {
		return
	}
	d.waiters--
	if d.waiters <= 0 {
		delete(p.demands, key)
	}
}

// MarkMissing records that the engine has rejected a request because it does not hold the adapter, although
// the planner has the adapter as loaded.
func (p *Planner) MarkMissing(key Key, now time.Time) {
	if s := p.slots[key]; s != nil && s.state == loaded {
		delete(p.slots, key)
		p.RequireReport(now)
	}
}

// Usable reports whether requests for the adapter can run now: the engine is ready and holds the newest
// version.
func (p *Planner) Usable(key Key) bool {
	s := p.slots[key]
	return p.Ready() && s != nil && s.state == loaded && !p.stale(key, s)
}

// Delay returns the expected time until the adapter is usable.
func (p *Planner) Delay(key Key, now time.Time) time.Duration {
	if p.Usable(key) {
		return 0
	}
	if !p.synced {
		return maxReportLag + p.coldLoad
	}
	if p.synced && p.baseModel.state != loaded {
		return max(p.cfg.ModelLoad-now.Sub(p.baseModel.orderedAt), minPollInterval) + p.coldLoad
	}
	if s := p.slots[key]; s != nil && s.state == loading {
		return max(s.orderedAt.Add(p.loadTime(s.warm)).Sub(now), minPollInterval)
	}
	ahead := 0
	for other := range p.demands {
		if other != key && p.needsLoad(other) {
			ahead++
		}
	}
	if p.loadsInProgress() >= p.loadLimit() {
		ahead++
	}
	return p.loadTime(p.warm.has(key)) + p.coldLoad*time.Duration(ahead)/time.Duration(p.loadLimit())
}

// loadTime returns the expected time of a cold or a warm load.
func (p *Planner) loadTime(warm bool) time.Duration {
	if warm {
		return p.warmLoad
	}
	return p.coldLoad
}

// Count returns the number of adapters held, and of those being loaded.
func (p *Planner) Count() (held, underWay int) {
	s := p.Summary()
	return s.Held, s.Loading
}

// Summary is the planner's state in numbers.
type Summary struct {
	// Held counts the adapters that the engine holds, InUse those of them in use by requests, Loading those
	// being loaded, and Wanted those that requests are waiting for.
	Held, InUse, Loading, Wanted int
	// LoadTime is the expected time of a cold load.
	LoadTime time.Duration
}

// Summary returns the planner's state in numbers.
func (p *Planner) Summary() Summary {
	sum := Summary{Wanted: len(p.demands), LoadTime: p.coldLoad}
	for _, s := range p.slots {
		if s.state == loading {
			sum.Loading++
			continue
		}
		sum.Held++
		if s.users > 0 {
			sum.InUse++
		}
	}
	return sum
}
