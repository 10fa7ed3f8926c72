package residency

import (
	"cmp"
	"time"

	"github.com/mallowlink/mallowlink/pkg/engine"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

// Kind is what an action is.
type Kind int

// Kinds of action.
const (
	// Report reads the engine's report, for Sync.
	Report Kind = iota
	// Load orders a load, and Confirm repeats the order to learn whether the load has ended.
	Load
	Confirm
	// Evict orders an adapter unloaded, and ConfirmEvict repeats the order.
	Evict
	ConfirmEvict
)

// String names the kind.
func (k Kind) String() string {
	return [...]string{"report", "load", "confirm", "evict", "confirm_evict"}[k]
}

// Action is the next call to make to the engine.
type Action struct {
	Kind    Kind
	Adapter roster.Adapter
	// Expected is the engine's count of orders that the call depends on.
	Expected int64
}

// Next returns the next call to make. If there is none, it returns when there may be one, zero if
// only a new request can bring one.
func (b *Books) Next(now time.Time) (Action, bool, time.Time) {
	if !b.synced || b.doubted {
		if now.Before(b.syncAt) {
			return Action{}, false, b.syncAt
		}
		return Action{Kind: Report}, true, time.Time{}
	}
	if b.base.state != loaded {
		return b.nextBase(now)
	}
	if a, ok := b.nextPoll(now); ok {
		return a, true, time.Time{}
	}
	if a, ok := b.nextLoad(now); ok {
		return a, true, time.Time{}
	}
	return Action{}, false, b.nextDue()
}

// nextBase returns the next call for the engine's base model, without which it holds no adapter.
func (b *Books) nextBase(now time.Time) (Action, bool, time.Time) {
	if b.base.state == absent {
		return b.action(Load, Key{Model: b.cfg.Model}, 0), true, time.Time{}
	}
	if now.Before(b.base.poll) {
		return Action{}, false, b.base.poll
	}
	return b.action(Confirm, Key{Model: b.cfg.Model}, 0), true, time.Time{}
}

// slot returns the slot of an adapter, or of the base model for a key without a name; nil if there is
// none.
func (b *Books) slot(key Key) *slot {
	if key.Name == "" {
		return &b.base
	}
	return b.slots[key]
}

// nextPoll returns the most overdue question for the end of an order.
func (b *Books) nextPoll(now time.Time) (Action, bool) {
	var best Key
	var found *slot
	for key, s := range b.slots {
		if s.state == loaded || s.poll.After(now) {
			continue
		}
		if found == nil || cmp.Or(s.poll.Compare(found.poll), key.compare(best)) < 0 {
			best, found = key, s
		}
	}
	if found == nil {
		return Action{}, false
	}
	kind := Confirm
	if found.state == leaving {
		kind = ConfirmEvict
	}
	return b.action(kind, best, found.version), true
}

func (b *Books) action(kind Kind, key Key, version int) Action {
	return Action{
		Kind:     kind,
		Adapter:  roster.Adapter{Model: key.Model, Name: key.Name, Version: version},
		Expected: b.accepted,
	}
}

// nextLoad returns the load that is wanted most, or the eviction that makes room for it.
func (b *Books) nextLoad(now time.Time) (Action, bool) {
	if b.loading() >= b.loadLimit() {
		return Action{}, false
	}
	key, ok := b.mostWanted()
	if !ok {
		return Action{}, false
	}
	newest := b.cfg.Newest(key)
	if b.slots[key] != nil || len(b.slots) < b.cfg.Places {
		return b.action(Load, key, newest), true
	}
	victim, ok := b.victim(now)
	if !ok {
		return Action{}, false
	}
	return b.action(Evict, victim, 0), true
}

func (b *Books) loading() int {
	n := 0
	for _, s := range b.slots {
		if s.state == loading {
			n++
		}
	}
	return n
}

// loadLimit returns how many loads may be under way: fewer when loads take longer than they have, because
// then the weight store serves more of them at once than it can at full speed.
func (b *Books) loadLimit() int {
	slowdown := float64(b.cold) / float64(max(b.fastest, 1))
	return max(int(float64(b.cfg.MaxLoading)/max(slowdown, 1)+loadRounding), 1)
}

// mostWanted returns the adapter to load next: the one with the most urgent waiter, then the one that most
// requests wait for, then the one waited for longest.
func (b *Books) mostWanted() (Key, bool) {
	var best Key
	var found *want
	for key, w := range b.wants {
		if !b.missing(key) {
			continue
		}
		if found == nil || cmp.Or(w.compare(found), key.compare(best)) < 0 {
			best, found = key, w
		}
	}
	return best, found != nil
}

// missing reports whether the adapter has to be loaded, and no order for it is under way.
func (b *Books) missing(key Key) bool {
	s := b.slots[key]
	return key.Name != "" && (s == nil || s.state == loaded && b.stale(key, s))
}

// compare orders wants by which adapter is to be loaded first.
func (w *want) compare(other *want) int {
	return cmp.Or(
		cmp.Compare(w.urgency, other.urgency),
		cmp.Compare(other.waiters, w.waiters),
		w.since.Compare(other.since),
	)
}

// victim returns the idle adapter that was used least recently.
func (b *Books) victim(now time.Time) (Key, bool) {
	var best Key
	var found *slot
	for key, s := range b.slots {
		if s.state != loaded || s.users > 0 || b.wants[key] != nil {
			continue
		}
		if found == nil || cmp.Or(s.lastUse.Compare(found.lastUse), key.compare(best)) < 0 {
			best, found = key, s
		}
	}
	return best, found != nil
}

// nextDue returns when the next question for the end of an order is due.
func (b *Books) nextDue() time.Time {
	var due time.Time
	for _, s := range b.slots {
		if s.state != loaded && (due.IsZero() || s.poll.Before(due)) {
			due = s.poll
		}
	}
	return due
}

// Took takes in the engine's reply to an action other than Report.
func (b *Books) Took(a Action, reply engine.Reply, now time.Time) {
	switch reply {
	case engine.Accepted:
		b.accept(a, now)
	case engine.Holds:
		b.holds(a, now)
	case engine.Conflict:
		b.conflict(a, now)
	case engine.Busy:
		b.postpone(a, now)
	default:
		b.Doubt(now)
	}
}

// accept takes in that the engine carries the order out.
func (b *Books) accept(a Action, now time.Time) {
	key := KeyOf(a.Adapter)
	s := b.slot(key)
	switch a.Kind {
	case Load:
		b.counted(a)
		b.begin(key, a, now)
	case Confirm:
		// An engine answers so to the repeated order while the load lasts, and to the order itself if
		// it had not arrived before.
		if s == nil {
			return
		}
		if s.unsure {
			b.countedOnce(a, s)
			b.begin(key, a, now)
			return
		}
		s.postpone(now)
	case Evict, ConfirmEvict:
		if s == nil {
			return
		}
		if a.Kind == Evict {
			b.counted(a)
			s.ordered = now
		} else if s.unsure {
			b.countedOnce(a, s)
		}
		s.state, s.unsure = leaving, false
		s.postpone(now)
	}
}

// counted takes in that the engine has accepted the order. It carries out no order any more that expects the
// count of before.
func (b *Books) counted(a Action) {
	b.accepted, b.perhaps, b.strays = a.Expected+1, false, false
}

// begin notes a load that has been ordered.
func (b *Books) begin(key Key, a Action, now time.Time) {
	s := b.slot(key)
	if s == nil {
		s = &slot{}
		b.slots[key] = s
	}
	s.state, s.version, s.unsure, s.asked = loading, max(a.Adapter.Version, 1), false, time.Time{}
	s.ordered, s.warm = now, b.warm.has(key)
	s.poll = now.Add(b.firstPoll(key, s))
}

// firstPoll returns how long after an order the first question for its end follows.
func (b *Books) firstPoll(key Key, s *slot) time.Duration {
	// The average may lag behind: a load can be as fast as the fastest has been.
	expected := b.fastest
	switch {
	case key.Name == "":
		expected = b.cfg.ModelLoad
	case s.warm:
		expected = min(b.quick, firstWarm)
	}
	return time.Duration(earlyPoll * float64(expected))
}

// countedOnce takes in that the engine has accepted either the order that got no answer or the one that
// repeats it. If both expect the same count, the engine's count is one more.
func (b *Books) countedOnce(repeated Action, s *slot) {
	if repeated.Expected == s.expected {
		b.counted(repeated)
		return
	}
	b.perhaps = true
}

// holds takes in that what the order asks for is so.
func (b *Books) holds(a Action, now time.Time) {
	key := KeyOf(a.Adapter)
	s := b.slot(key)
	switch a.Kind {
	case Load:
		b.begin(key, a, now)
		b.slot(key).state = loaded
	case Confirm:
		if s != nil {
			b.perhaps = b.perhaps || s.unsure
			b.learn(key, s, now)
			s.state, s.unsure, s.lastUse = loaded, false, now
			b.warm.drop(key)
		}
	case Evict, ConfirmEvict:
		// An idle adapter is unloaded at once, which counts as an order. After an order without an answer
		// either of the two may have unloaded it.
		if a.Kind == Evict {
			b.counted(a)
		} else if s != nil && s.unsure {
			b.countedOnce(a, s)
		}
		delete(b.slots, key)
		b.warm.add(key)
	}
}

// learn takes a load's time into the average, if it is known well: the question before found the load
// under way, or this one was the first and came early.
func (b *Books) learn(key Key, s *slot, now time.Time) {
	if s.unsure || key.Name == "" {
		return
	}
	took := now.Sub(s.ordered)
	if !s.warm && took < b.fastest/2 {
		// The engine had kept the adapter from a time before these books.
		return
	}
	average := &b.cold
	if s.warm {
		average = &b.quick
	}
	if s.asked.IsZero() && took > *average {
		return
	}
	*average += time.Duration(learnRate * float64(took-*average))
	if !s.warm {
		b.fastest = min(b.fastest, took)
	}
}

// conflict takes in that the engine's count is not the expected one. If orders without an answer explain
// that, the count is one more at least. If not, or if an order from before the last report can have been
// carried out, a report has to tell: also when no order without an answer can have brought the engine beyond
// the expected count, because then the books are ahead of it.
func (b *Books) conflict(a Action, now time.Time) {
	if a.Adapter.Name == "" || b.strays || a.Expected > b.unanswered || !b.perhaps && !b.unsure() {
		b.Doubt(now)
		return
	}
	b.accepted, b.perhaps = a.Expected+1, false
	if s := b.slot(KeyOf(a.Adapter)); s != nil {
		s.poll = now
	}
}

// unsure reports whether an order without an answer may have been accepted.
func (b *Books) unsure() bool {
	for _, s := range b.slots {
		if s.unsure {
			return true
		}
	}
	return false
}

// postpone asks again a little later.
func (b *Books) postpone(a Action, now time.Time) {
	if s := b.slot(KeyOf(a.Adapter)); s != nil {
		s.poll = now.Add(pollStep)
	}
}

// Lost takes in that an action got no answer. An order may have been accepted, or may be carried out
// later as long as the engine's count is the one that it expects: until another order is accepted its
// place counts as taken.
func (b *Books) Lost(a Action, now time.Time) {
	key := KeyOf(a.Adapter)
	if a.Kind != Report {
		b.unanswered = max(b.unanswered, a.Expected)
	}
	switch a.Kind {
	case Report:
		b.syncAt = now.Add(settle)
		return
	case Load:
		b.begin(key, a, now)
		s := b.slot(key)
		s.unsure, s.expected = true, a.Expected
	case Evict:
		if s := b.slot(key); s != nil {
			s.state, s.unsure, s.expected, s.ordered = leaving, true, a.Expected, now
		}
	}
	if s := b.slot(key); s != nil {
		s.poll = now
	}
}

// NotSent takes in that an action has not reached the engine.
func (b *Books) NotSent(a Action, now time.Time) {
	if a.Kind == Report {
		b.syncAt = now.Add(settle)
		return
	}
	b.postpone(a, now)
}
