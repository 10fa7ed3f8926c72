package residency

import (
	"slices"
	"time"
)

// Use is how an adapter was used, as one holder of the orders tells the next.
type Use struct {
	Key Key
	// Idle is the time since its last use.
	Idle time.Duration
	// Users counts the requests that may be using it.
	Users int
}

// Habits are what the books know beyond what an engine reports.
type Habits struct {
	Uses []Use
	// Warm lists the adapters evicted last, the latest first.
	Warm []Key
}

// Habits returns what to tell the next holder of the orders.
func (b *Books) Habits(now time.Time) Habits {
	var h Habits
	for key, s := range b.slots {
		h.Uses = append(h.Uses, Use{Key: key, Idle: now.Sub(s.lastUse), Users: s.users})
	}
	for e := b.warm.order.Front(); e != nil; e = e.Next() {
		h.Warm = append(h.Warm, e.Value.(Key))
	}
	return h
}

// Adopt takes in what an earlier holder of the orders has told.
func (b *Books) Adopt(h Habits, now time.Time) {
	for _, u := range h.Uses {
		if s := b.slots[u.Key]; s != nil && s.lastUse.IsZero() {
			s.lastUse = now.Add(-u.Idle)
		}
	}
	for _, key := range slices.Backward(h.Warm) {
		if b.slots[key] == nil {
			b.warm.add(key)
		}
	}
}
