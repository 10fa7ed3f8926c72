package placement

import (
	"math"
	"time"
)

// maxOvertaking bounds the share of an engine's time that is expected to go to more urgent requests that arrive later.
const maxOvertaking = 0.8

// costLoad is the part of a Load that forecasts by cost: only work that is at least as urgent as a request is ahead of
// it, and the speed is the one observed at the engine.
type costLoad struct {
	speed    engineSpeed
	capacity int
	// unread is the work of permits without a first token, memory that of all permits.
	unread, memory byRank
	// waiting is the number of permits without a first token.
	waiting [ranks]int
	// arrivals are the requests of each rank and their prompt tokens that have arrived, decayed with engineHalfLife.
	arrivals [ranks]arrivals
	at       time.Time
}

type arrivals struct{ requests, tokens float64 }

// NewCostLoad returns the load of an engine without permits that makes forecasts by cost. The engine runs that many
// requests at once, and its cache holds capacity tokens. group is the speed of the engine's group.
func NewCostLoad(slots, capacity int, group *GroupSpeed) Load {
	l := NewLoad(slots, capacity)
	l.cost = &costLoad{speed: engineSpeed{group: group}, capacity: capacity}
	return l
}

// forecast returns the expected course of a request at an engine that runs that many requests in slots.
func (c *costLoad) forecast(w Work, running, slots int, now time.Time) Forecast {
	s := c.speed.at(now)
	ahead, _ := c.unread.upTo(w)
	own := s.first(w.Unread)
	later := c.laterArrivals(w, now)
	other := c.slotWait(w, running, slots, s, later) + c.memoryWait(w, s)
	other += prolonged(time.Duration(ahead+w.Unread)*s.Token, later.tokens*s.Token.Seconds())
	first := own + time.Duration(ahead)*s.Token + other
	all, _ := c.unread.upTo(Work{Urgency: ranks - 1})
	run := s.Run
	if w.Events > 0 {
		run = time.Duration(w.Events) * s.Event
	}
	return Forecast{First: first, Own: own, Full: s.first(max(w.Prompt, w.Unread)), Run: run, Displaced: time.Duration(all-ahead) * s.Token, other: other}
}

// laterArrivals returns what more urgent requests are expected to arrive a second and overtake the request.
func (c *costLoad) laterArrivals(w Work, now time.Time) arrivals {
	var sum arrivals
	for _, a := range c.arrivals[:w.rank()] {
		sum.requests += a.requests
		sum.tokens += a.tokens
	}
	// A constant rate of r a second adds up to r * halfLife / ln 2.
	perSecond := c.decay(now) * math.Ln2 / engineHalfLife.Seconds()
	return arrivals{sum.requests * perSecond, sum.tokens * perSecond}
}

// prolonged returns by how much a wait grows if a share of the engine's time goes to requests that arrive later.
func prolonged(wait time.Duration, share float64) time.Duration {
	share = min(share, maxOvertaking)
	return time.Duration(float64(wait) * share / (1 - share))
}

// decay returns the share that is left of the arrivals.
func (c *costLoad) decay(now time.Time) float64 {
	return math.Exp2(-max(now.Sub(c.at).Seconds(), 0) / engineHalfLife.Seconds())
}

// arrived counts the prompt tokens of a request.
func (c *costLoad) arrived(w Work, now time.Time) {
	left := c.decay(now)
	for i := range c.arrivals {
		c.arrivals[i].requests *= left
		c.arrivals[i].tokens *= left
	}
	c.arrivals[w.rank()].requests++
	c.arrivals[w.rank()].tokens += float64(w.Unread)
	c.at = now
}

// slotWait returns the time until the request gets a slot. An engine gives a free slot to the most urgent request that
// waits for one.
func (c *costLoad) slotWait(w Work, running, slots int, s Speed, later arrivals) time.Duration {
	if slots == 0 || running < slots {
		return 0
	}
	ahead := 0
	for _, n := range c.waiting[:w.rank()+1] {
		ahead += n
	}
	perSlot := s.Run / time.Duration(slots)
	wait := perSlot * time.Duration(min(running-slots, ahead)+1)
	return wait + prolonged(wait, later.requests*perSlot.Seconds())
}

// memoryWait returns the time until the request fits into the cache beside the requests that are at least as urgent.
// The engine preempts less urgent ones.
func (c *costLoad) memoryWait(w Work, s Speed) time.Duration {
	_, held := c.memory.upTo(w)
	excess := held + w.Memory - c.capacity
	if c.capacity == 0 || excess <= 0 || held == 0 {
		return 0
	}
	return time.Duration(float64(s.Run) * float64(excess) / float64(held))
}

// add adds the work of a permit, and returns the number of prompt tokens up to its end.
func (c *costLoad) add(w Work, now time.Time) (queued int) {
	c.arrived(w, now)
	c.waiting[w.rank()]++
	c.unread.add(w)
	c.memory.add(w)
	queued, _ = c.unread.upTo(w)
	return queued
}

// started records the first token of a request.
func (c *costLoad) started(p *permit, after time.Duration, now time.Time) {
	c.unread.remove(p.work)
	c.waiting[p.work.rank()]--
	c.speed.firstEvent(after-p.otherWait, p.queued, now)
}

// remove removes the work of a permit.
func (c *costLoad) remove(w Work, started bool) {
	c.memory.remove(w)
	if !started {
		c.unread.remove(w)
		c.waiting[w.rank()]--
	}
}
