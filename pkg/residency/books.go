// Package residency keeps the books on the adapters that one engine holds, and decides which to load
// and which to evict. It needs no network and no clock: times and replies are passed in.
package residency

import (
	"cmp"
	"slices"
	"time"

	"github.com/mallowlink/mallowlink/pkg/engine"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

// Key names an adapter in any version.
type Key struct {
	Model string
	Name  string
}

// compare orders keys, so that equals are always chosen from in the same way.
func (k Key) compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Model, other.Model), cmp.Compare(k.Name, other.Name))
}

// KeyOf returns the key of an adapter.
func KeyOf(a roster.Adapter) Key { return Key{Model: a.Model, Name: a.Name} }

// Config holds what the books go by.
type Config struct {
	// Model is the base model that the engine has to hold.
	Model string
	// ModelLoad is how long the base model takes to load.
	ModelLoad time.Duration
	// Places is the number of adapters that the engine holds at once, those on their way included.
	Places int
	// MaxLoading bounds the loads under way at once.
	MaxLoading int
	// WarmCount is the number of adapters evicted last that the engine is taken to load quickly.
	WarmCount int
	// Newest returns the newest version of an adapter that the operator has declared; 0 if none.
	Newest func(Key) int
}

const (
	// DefaultMaxLoading is below what engines take at once: more loads at once than the weight store
	// serves at full speed make each of them slower.
	DefaultMaxLoading = 3
	// DefaultWarmCount is about the number of adapters that an engine's memory keeps.
	DefaultWarmCount = 80
	// firstCold and firstWarm are the load times expected before one was seen.
	firstCold = 250 * time.Millisecond
	firstWarm = 25 * time.Millisecond
	// pollStep is the least time between two questions whether a load has ended; overdueStep is the part
	// of the time that it has lasted after which the next one follows.
	pollStep    = 8 * time.Millisecond
	overdueStep = 0.08
	// earlyPoll is the part of the expected time of a load after which the first question follows.
	earlyPoll = 0.92
	// settle is how long an engine's report may lag behind its orders, with a margin: reports are
	// some hundred milliseconds old.
	settle = 300 * time.Millisecond
	// loadRounding is added to the number of loads that may be under way before it is cut to a whole one.
	loadRounding = 0.25
	// learnRate is the weight of a new load time in the average.
	learnRate = 0.2
)

// state is the state of an adapter at the engine, by the books.
type state int

const (
	absent state = iota
	loading
	loaded
	leaving
)

// slot is an adapter that takes a place.
type slot struct {
	state   state
	version int
	// users counts the requests that may be using the adapter.
	users   int
	lastUse time.Time
	// ordered is when the order under way was given, poll when to ask for its end.
	ordered time.Time
	poll    time.Time
	warm    bool
	// unsure says that the order got no answer, expected is the count that it expected.
	unsure   bool
	expected int64
	// asked is when the last question for the end of the order was answered, zero if none was.
	asked time.Time
}

// postpone sets the next question for the end of the order.
func (s *slot) postpone(now time.Time) {
	s.asked = now
	s.poll = now.Add(max(pollStep, time.Duration(overdueStep*float64(now.Sub(s.ordered)))))
}

// noOrder stands for the count that no order expected.
const noOrder = -1

// want is an adapter that requests wait for.
type want struct {
	waiters int
	// urgency is that of the most urgent waiter, since when the first one came.
	urgency int
	since   time.Time
}

// Books are the books on one engine. They are not safe for concurrent use.
type Books struct {
	cfg Config
	// accepted is the engine's count of orders. It may be less than the engine's, but never more: an order
	// that expects a count that the engine has yet to reach could be carried out then. perhaps says that it
	// may be one less.
	accepted int64
	perhaps  bool
	// unanswered is the highest count that an order without an answer expected since the last report; noOrder
	// if there was none. The engine's count is one more at most.
	unanswered int64
	// synced says that a report was read. doubted says that the books have proved wrong since: no order
	// is given before the next report, but what is held is still used.
	synced, doubted bool
	// strays says that orders from before the last report may still be carried out: none has been accepted
	// since.
	strays bool
	// syncAt is when a report may be read that shows all orders.
	syncAt time.Time
	// base is the engine's base model.
	base  slot
	slots map[Key]*slot
	wants map[Key]*want
	warm  warmList
	// cold and quick are the load times to expect, fastest the least time of a cold load.
	cold, quick, fastest time.Duration
}

// New returns books that know nothing of the engine yet.
func New(cfg Config) *Books {
	return &Books{
		cfg: cfg, slots: map[Key]*slot{}, wants: map[Key]*want{}, warm: newWarmList(cfg.WarmCount),
		cold: firstCold, quick: firstWarm, fastest: firstCold, unanswered: noOrder,
	}
}

// Sync takes in a report that was read at now, when no order had been given for as long as a report may lag
// behind.
func (b *Books) Sync(r engine.Report, now time.Time) {
	old := b.slots
	b.slots = map[Key]*slot{}
	for _, a := range r.Loaded {
		b.adopt(a, loaded, old, now)
	}
	for _, a := range r.Pending {
		b.adopt(a, loading, old, now)
	}
	b.base = slot{state: absent}
	if slices.Contains(r.Models, b.cfg.Model) {
		b.base.state = loaded
	}
	b.accepted, b.perhaps, b.unanswered = r.Accepted, false, noOrder
	b.synced, b.doubted, b.strays = true, false, true
}

func (b *Books) adopt(a roster.Adapter, st state, old map[Key]*slot, now time.Time) {
	s := &slot{state: st, version: a.Version, ordered: now, poll: now.Add(pollStep)}
	if before := old[KeyOf(a)]; before != nil {
		s.users, s.lastUse = before.users, before.lastUse
	}
	b.slots[KeyOf(a)] = s
}

// Synced reports whether the books know what the engine holds.
func (b *Books) Synced() bool { return b.synced }

// Ready reports whether the engine can run requests.
func (b *Books) Ready() bool { return b.synced && b.base.state == loaded }

// Doubt makes the books wait for a report before the next order. What the engine is known to hold is used
// meanwhile.
func (b *Books) Doubt(now time.Time) {
	b.doubted = true
	b.syncAt = now.Add(settle)
}

// Hold lets one request use the adapter, if the engine holds it in the newest version. It returns the
// version to ask for.
func (b *Books) Hold(key Key, now time.Time) (int, bool) {
	s := b.slots[key]
	if !b.Ready() || s == nil || s.state != loaded || b.stale(key, s) {
		return 0, false
	}
	s.users++
	s.lastUse = now
	return s.version, true
}

// stale reports whether the operator has declared a newer version.
func (b *Books) stale(key Key, s *slot) bool { return s.version < b.cfg.Newest(key) }

// Release ends one request's use of the adapter.
func (b *Books) Release(key Key, now time.Time) {
	if s := b.slots[key]; s != nil && s.users > 0 {
		s.users--
		s.lastUse = now
	}
}

// Want asks for the adapter on behalf of one waiting request.
func (b *Books) Want(key Key, urgency int, now time.Time) {
	w := b.wants[key]
	if w == nil {
		w = &want{urgency: urgency, since: now}
		b.wants[key] = w
	}
	w.waiters++
	w.urgency = min(w.urgency, urgency)
}

// Unwant ends the wait of one request.
func (b *Books) Unwant(key Key) {
	w := b.wants[key]
	if w == nil {
		return
	}
	w.waiters--
	if w.waiters <= 0 {
		delete(b.wants, key)
	}
}

// Missing takes in that the engine has rejected a request for an adapter that the books say it holds.
func (b *Books) Missing(key Key, now time.Time) {
	if s := b.slots[key]; s != nil && s.state == loaded {
		delete(b.slots, key)
		b.Doubt(now)
	}
}

// Loaded reports whether the adapter can be used now.
func (b *Books) Loaded(key Key) bool {
	s := b.slots[key]
	return b.Ready() && s != nil && s.state == loaded && !b.stale(key, s)
}

// Delay returns how long a request for the adapter would have to wait for it.
func (b *Books) Delay(key Key, now time.Time) time.Duration {
	if b.Loaded(key) {
		return 0
	}
	if !b.synced {
		return settle + b.cold
	}
	if b.synced && b.base.state != loaded {
		return max(b.cfg.ModelLoad-now.Sub(b.base.ordered), pollStep) + b.cold
	}
	if s := b.slots[key]; s != nil && s.state == loading {
		return max(s.ordered.Add(b.expected(s.warm)).Sub(now), pollStep)
	}
	ahead := 0
	for other := range b.wants {
		if other != key && b.missing(other) {
			ahead++
		}
	}
	if b.loading() >= b.loadLimit() {
		ahead++
	}
	return b.expected(b.warm.has(key)) + b.cold*time.Duration(ahead)/time.Duration(b.loadLimit())
}

// expected returns the time that a load takes.
func (b *Books) expected(warm bool) time.Duration {
	if warm {
		return b.quick
	}
	return b.cold
}

// Count returns the adapters held and those on their way.
func (b *Books) Count() (held, underWay int) {
	s := b.Summary()
	return s.Held, s.Loading
}

// Summary is the state of the books in numbers.
type Summary struct {
	// Held are the adapters that the engine holds, InUse those of them that requests use; Loading are on
	// their way, Wanted those that requests wait for.
	Held, InUse, Loading, Wanted int
	// Cold is the time that a load takes.
	Cold time.Duration
}

// Summary returns the state of the books in numbers.
func (b *Books) Summary() Summary {
	sum := Summary{Wanted: len(b.wants), Cold: b.cold}
	for _, s := range b.slots {
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
