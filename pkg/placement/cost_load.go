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
	// arrivals are the prompt tokens of each rank that have arrived, at engineHalfLife.
	arrivals [ranks]float64
	at       time.Time
}

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
	own := s.Event + time.Duration(w.Unread)*s.Token
	other := c.slotWait(running, slots, s) + c.memoryWait(w, s)
	other += time.Duration(float64(time.Duration(ahead+w.Unread)*s.Token) * c.overtaking(w, s, now))
	first := own + time.Duration(ahead)*s.Token + other
	all, _ := c.unread.upTo(Work{Urgency: ranks - 1})
	run := s.Run
	if w.Events > 0 {
		run = time.Duration(w.Events) * s.Event
	}
	return Forecast{First: first, Own: own, Run: run, Displaced: time.Duration(all-ahead) * s.Token, other: other}
}

// overtaking returns by what share more urgent requests that arrive later prolong the reading of a prompt.
func (c *costLoad) overtaking(w Work, s Speed, now time.Time) float64 {
	tokens := 0.0
	for _, arrived := range c.arrivals[:w.rank()] {
		tokens += arrived
	}
	// A constant rate of r tokens a second adds up to r * halfLife / ln 2.
	perSecond := tokens * c.decay(now) * math.Ln2 / engineHalfLife.Seconds()
	busy := min(perSecond*s.Token.Seconds(), maxOvertaking)
	return busy / (1 - busy)
}

// decay returns the share that is left of the arrivals.
func (c *costLoad) decay(now time.Time) float64 {
	return math.Exp2(-max(now.Sub(c.at).Seconds(), 0) / engineHalfLife.Seconds())
}

// arrived counts the prompt tokens of a request.
func (c *costLoad) arrived(w Work, now time.Time) {
	left := c.decay(now)
	for i := range c.arrivals {
		c.arrivals[i] *= left
	}
	c.arrivals[w.rank()] += float64(w.Unread)
	c.at = now
}

// slotWait returns the time until a request slot is free. An engine gives a free slot to the most urgent request, so
// that one waits for the next slot only.
func (c *costLoad) slotWait(running, slots int, s Speed) time.Duration {
	if slots == 0 || running < slots {
		return 0
	}
	return s.Run * time.Duration(running-slots+1) / time.Duration(slots)
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
	c.unread.add(w)
	c.memory.add(w)
	queued, _ = c.unread.upTo(w)
	return queued
}

// started records the first token of a request.
func (c *costLoad) started(p *permit, after time.Duration, now time.Time) {
	c.unread.remove(p.work)
	c.speed.firstEvent(after-p.otherWait, p.queued, now)
}

// remove removes the work of a permit.
func (c *costLoad) remove(w Work, started bool) {
	c.memory.remove(w)
	if !started {
		c.unread.remove(w)
	}
}
