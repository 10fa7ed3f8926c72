package residency

import (
	"cmp"
	"time"

	"github.com/mallowlink/mallowlink/pkg/engine"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

// Kind is the kind of an action.
type Kind int

// Kinds of action.
const (
	// Report reads the engine's report, to be passed to Planner.Sync.
	Report Kind = iota
	// Load orders a load. ConfirmLoad repeats the order to find out whether the load has finished.
	Load
	ConfirmLoad
	// Evict orders an eviction. ConfirmEvict repeats the order to find out whether the adapter is gone.
	Evict
	ConfirmEvict
)

// String returns the name of the kind as it is logged.
func (k Kind) String() string {
	return [...]string{"report", "load", "confirm", "evict", "confirm_evict"}[k]
}

// Action is the next call to make to the engine.
type Action struct {
	Kind    Kind
	Adapter roster.Adapter
	// Expected is the order count that the engine must have for the order to be accepted.
	Expected int64
}

// Next returns the next call to make to the engine. If there is none, Next returns the time at which there
// may be one, or the zero time if only a new request can lead to one.
func (p *Planner) Next(now time.Time) (Action, bool, time.Time) {
	if !p.synced || p.needsReport {
		if now.Before(p.reportFrom) {
			return Action{}, false, p.reportFrom
		}
		return Action{Kind: Report}, true, time.Time{}
	}
	if p.baseModel.state != loaded {
		return p.nextBaseModelAction(now)
	}
	if a, ok := p.nextPoll(now); ok {
		return a, true, time.Time{}
	}
	if a, ok := p.nextLoad(now); ok {
		return a, true, time.Time{}
	}
	return Action{}, false, p.nextPollAt()
}

// nextBaseModelAction returns the next call for the base model, which must be loaded before any adapter.
func (p *Planner) nextBaseModelAction(now time.Time) (Action, bool, time.Time) {
	if p.baseModel.state == absent {
		return p.newAction(Load, Key{Model: p.cfg.Model}, 0), true, time.Time{}
	}
	if now.Before(p.baseModel.pollAt) {
		return Action{}, false, p.baseModel.pollAt
	}
	return p.newAction(ConfirmLoad, Key{Model: p.cfg.Model}, 0), true, time.Time{}
}

// slotFor returns the slot of an adapter, or that of the base model for a key without a name. It returns nil
// if the adapter takes no slot.
func (p *Planner) slotFor(key Key) *slot {
	if key.Name == "" {
		return &p.baseModel
	}
	return p.slots[key]
}

// nextPoll returns the poll that is most overdue, if any is due.
func (p *Planner) nextPoll(now time.Time) (Action, bool) {
	var best Key
	var found *slot
	for key, s := range p.slots {
		if s.state == loaded || s.pollAt.After(now) {
			continue
		}
		if found == nil || cmp.Or(s.pollAt.Compare(found.pollAt), key.compare(best)) < 0 {
			best, found = key, s
		}
	}
	if found == nil {
		return Action{}, false
	}
	kind := ConfirmLoad
	if found.state == evicting {
		kind = ConfirmEvict
	}
	return p.newAction(kind, best, found.version), true
}

func (p *Planner) newAction(kind Kind, key Key, version int) Action {
	return Action{
		Kind:     kind,
		Adapter:  roster.Adapter{Model: key.Model, Name: key.Name, Version: version},
		Expected: p.accepted,
	}
}

// nextLoad returns the load to order next, or the eviction that frees a slot for it.
func (p *Planner) nextLoad(now time.Time) (Action, bool) {
	if p.loadsInProgress() >= p.loadLimit() {
		return Action{}, false
	}
	key, ok := p.nextToLoad()
	if !ok {
		return Action{}, false
	}
	newest := p.cfg.Newest(key)
	if p.slots[key] != nil || len(p.slots) < p.cfg.Slots {
		return p.newAction(Load, key, newest), true
	}
	victim, ok := p.evictionCandidate(now)
	if !ok {
		return Action{}, false
	}
	return p.newAction(Evict, victim, 0), true
}

func (p *Planner) loadsInProgress() int {
	n := 0
	for _, s := range p.slots {
		if s.state == loading {
			n++
		}
	}
	return n
}

// loadLimit returns how many loads may be in progress at once. The limit falls as loads get slower than the
// fastest one seen, because then the weight store is serving more loads than it can at full speed.
func (p *Planner) loadLimit() int {
	slowdown := float64(p.coldLoad) / float64(max(p.fastestColdLoad, 1))
	return max(int(float64(p.cfg.MaxLoading)/max(slowdown, 1)+loadRounding), 1)
}

// nextToLoad returns the adapter to load next: the one with the most urgent waiter, then the one with the
// most waiters, then the one with the longest wait.
func (p *Planner) nextToLoad() (Key, bool) {
	var best Key
	var found *demand
	for key, d := range p.demands {
		if !p.needsLoad(key) {
			continue
		}
		if found == nil || cmp.Or(d.compare(found), key.compare(best)) < 0 {
			best, found = key, d
		}
	}
	return best, found != nil
}

// needsLoad reports whether the adapter has to be loaded and no order for it is in progress.
func (p *Planner) needsLoad(key Key) bool {
	s := p.slots[key]
	return key.Name != "" && (s == nil || s.state == loaded && p.stale(key, s))
}

// compare sorts first the adapter that is to be loaded first.
func (d *demand) compare(other *demand) int {
	return cmp.Or(
		cmp.Compare(d.urgency, other.urgency),
		cmp.Compare(other.waiters, d.waiters),
		d.since.Compare(other.since),
	)
}

// evictionCandidate returns the least recently used adapter that is neither in use nor waited for.
func (p *Planner) evictionCandidate(now time.Time) (Key, bool) {
	var best Key
	var found *slot
	for key, s := range p.slots {
		if s.state != loaded || s.users > 0 || p.demands[key] != nil {
			continue
		}
		if found == nil || cmp.Or(s.lastUse.Compare(found.lastUse), key.compare(best)) < 0 {
			best, found = key, s
		}
	}
	return best, found != nil
}

// nextPollAt returns when the next poll is due, or the zero time if no order is in progress.
func (p *Planner) nextPollAt() time.Time {
	var due time.Time
	for _, s := range p.slots {
		if s.state != loaded && (due.IsZero() || s.pollAt.Before(due)) {
			due = s.pollAt
		}
	}
	return due
}

// HandleReply records the engine's reply to an action other than Report.
func (p *Planner) HandleReply(a Action, reply engine.Reply, now time.Time) {
	switch reply {
	case engine.Accepted:
		p.handleAccepted(a, now)
	case engine.Holds:
		p.handleHolds(a, now)
	case engine.Conflict:
		p.handleConflict(a, now)
	case engine.Busy:
		p.postponePoll(a, now)
	default:
		p.RequireReport(now)
	}
}

// handleAccepted records that the engine is carrying out the order.
func (p *Planner) handleAccepted(a Action, now time.Time) {
	key := KeyOf(a.Adapter)
	s := p.slotFor(key)
	switch a.Kind {
	case Load:
		p.countAccepted(a)
		p.startLoad(key, a, now)
	case ConfirmLoad:
		// The engine replies Accepted to a repeated order while the load is in progress, and also if the
		// first copy never arrived and the repetition started the load.
		if s == nil {
			return
		}
		if s.outcomeUnknown {
			p.countAcceptedOnce(a, s)
			p.startLoad(key, a, now)
			return
		}
		s.schedulePoll(now)
	case Evict, ConfirmEvict:
		if s == nil {
			return
		}
		if a.Kind == Evict {
			p.countAccepted(a)
			s.orderedAt = now
		} else if s.outcomeUnknown {
			p.countAcceptedOnce(a, s)
		}
		s.state, s.outcomeUnknown = evicting, false
		s.schedulePoll(now)
	}
}

// countAccepted records that the engine has accepted the order. From now on the engine rejects every order
// that names an earlier count.
func (p *Planner) countAccepted(a Action) {
	p.accepted, p.maybeBehind, p.lateOrdersPossible = a.Expected+1, false, false
}

// startLoad records that a load has been ordered.
func (p *Planner) startLoad(key Key, a Action, now time.Time) {
	s := p.slotFor(key)
	if s == nil {
		s = &slot{}
		p.slots[key] = s
	}
	s.state, s.version, s.outcomeUnknown, s.polledAt = loading, max(a.Adapter.Version, 1), false, time.Time{}
	s.orderedAt, s.warm = now, p.warm.has(key)
	s.pollAt = now.Add(p.firstPollDelay(key, s))
}

// firstPollDelay returns the time from an order to the first poll for its end.
func (p *Planner) firstPollDelay(key Key, s *slot) time.Duration {
	// The average may lag behind: the load can be as fast as the fastest cold load seen.
	expected := p.fastestColdLoad
	switch {
	case key.Name == "":
		expected = p.cfg.ModelLoad
	case s.warm:
		expected = min(p.warmLoad, initialWarmLoad)
	}
	return time.Duration(firstPollShare * float64(expected))
}

// countAcceptedOnce records that the engine has accepted either an order that got no reply or its repetition.
// If both name the same count, the engine's count is now one higher than that. Otherwise it is uncertain which
// of the two was counted, and the engine's count may be one higher than the planner's.
func (p *Planner) countAcceptedOnce(repeated Action, s *slot) {
	if repeated.Expected == s.expectedCount {
		p.countAccepted(repeated)
		return
	}
	p.maybeBehind = true
}

// handleHolds records that the engine is already in the state that the order asks for.
func (p *Planner) handleHolds(a Action, now time.Time) {
	key := KeyOf(a.Adapter)
	s := p.slotFor(key)
	switch a.Kind {
	case Load:
		p.startLoad(key, a, now)
		p.slotFor(key).state = loaded
	case ConfirmLoad:
		if s != nil {
			p.maybeBehind = p.maybeBehind || s.outcomeUnknown
			p.recordLoadTime(key, s, now)
			s.state, s.outcomeUnknown, s.lastUse = loaded, false, now
			p.warm.remove(key)
		}
	case Evict, ConfirmEvict:
		// An idle adapter is unloaded at once, which counts as an order. If the first order got no reply,
		// either that one or its repetition may have unloaded the adapter.
		if a.Kind == Evict {
			p.countAccepted(a)
		} else if s != nil && s.outcomeUnknown {
			p.countAcceptedOnce(a, s)
		}
		delete(p.slots, key)
		p.warm.add(key)
	}
}

// recordLoadTime adds the duration of a finished load to the average if the duration is accurate: either the
// previous poll found the load in progress, or this was the first poll and the load took no longer than the
// average.
func (p *Planner) recordLoadTime(key Key, s *slot, now time.Time) {
	if s.outcomeUnknown || key.Name == "" {
		return
	}
	took := now.Sub(s.orderedAt)
	if !s.warm && took < p.fastestColdLoad/2 {
		// The engine still had the adapter in memory from before this planner existed, so this was not a cold
		// load.
		return
	}
	average := &p.coldLoad
	if s.warm {
		average = &p.warmLoad
	}
	if s.polledAt.IsZero() && took > *average {
		return
	}
	*average += time.Duration(loadTimeWeight * float64(took-*average))
	if !s.warm {
		p.fastestColdLoad = min(p.fastestColdLoad, took)
	}
}

// handleConflict records that the engine's order count is not the one that the order named. If orders with an
// unknown outcome explain this, the count is at least one higher, and the order is tried again with that
// count. Otherwise a report is needed. A report is also needed if an order sent before the last report may
// have been carried out, and if no unanswered order can have raised the engine's count above the one named,
// because then the planner's count is ahead of the engine's.
func (p *Planner) handleConflict(a Action, now time.Time) {
	if a.Adapter.Name == "" || p.lateOrdersPossible || a.Expected > p.highestUnanswered || !p.maybeBehind && !p.anyOutcomeUnknown() {
		p.RequireReport(now)
		return
	}
	p.accepted, p.maybeBehind = a.Expected+1, false
	if s := p.slotFor(KeyOf(a.Adapter)); s != nil {
		s.pollAt = now
	}
}

// anyOutcomeUnknown reports whether the engine may have accepted an order that got no reply.
func (p *Planner) anyOutcomeUnknown() bool {
	for _, s := range p.slots {
		if s.outcomeUnknown {
			return true
		}
	}
	return false
}

// postponePoll schedules the next poll one minimum interval from now.
func (p *Planner) postponePoll(a Action, now time.Time) {
	if s := p.slotFor(KeyOf(a.Adapter)); s != nil {
		s.pollAt = now.Add(minPollInterval)
	}
}

// HandleLost records that an action got no reply. The engine may have accepted the order, or may still carry
// it out while its count is the one that the order names. The adapter's slot therefore counts as taken until
// another order is accepted.
func (p *Planner) HandleLost(a Action, now time.Time) {
	key := KeyOf(a.Adapter)
	if a.Kind != Report {
		p.highestUnanswered = max(p.highestUnanswered, a.Expected)
	}
	switch a.Kind {
	case Report:
		p.reportFrom = now.Add(maxReportLag)
		return
	case Load:
		p.startLoad(key, a, now)
		s := p.slotFor(key)
		s.outcomeUnknown, s.expectedCount = true, a.Expected
	case Evict:
		if s := p.slotFor(key); s != nil {
			s.state, s.outcomeUnknown, s.expectedCount, s.orderedAt = evicting, true, a.Expected, now
		}
	}
	if s := p.slotFor(key); s != nil {
		s.pollAt = now
	}
}

// HandleNotSent records that an action did not reach the engine.
func (p *Planner) HandleNotSent(a Action, now time.Time) {
	if a.Kind == Report {
		p.reportFrom = now.Add(maxReportLag)
		return
	}
	p.postponePoll(a, now)
}
