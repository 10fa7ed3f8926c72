package residency

import (
	"slices"
	"time"
)

// AdapterUse describes the use of one adapter. The owner of an engine passes it on to the next owner.
type AdapterUse struct {
	Key Key
	// Idle is the time since the adapter was last used.
	Idle time.Duration
	// Users is the number of requests that may be using the adapter.
	Users int
}

// Handover is what the planner knows of an engine beyond the engine's own report.
type Handover struct {
	Uses []AdapterUse
	// Warm lists the most recently evicted adapters, the latest first.
	Warm []Key
}

// Handover returns what the next owner of the engine needs to know.
func (p *Planner) Handover(now time.Time) Handover {
	var h Handover
	for key, s := range p.slots {
		h.Uses = append(h.Uses, AdapterUse{Key: key, Idle: now.Sub(s.lastUse), Users: s.users})
	}
	for e := p.warm.order.Front(); e != nil; e = e.Next() {
		h.Warm = append(h.Warm, e.Value.(Key))
	}
	return h
}

// ApplyHandover applies what the previous owner of the engine knew.
func (p *Planner) ApplyHandover(h Handover, now time.Time) {
	for _, u := range h.Uses {
		if s := p.slots[u.Key]; s != nil && s.lastUse.IsZero() {
			s.lastUse = now.Add(-u.Idle)
		}
	}
	for _, key := range slices.Backward(h.Warm) {
		if p.slots[key] == nil {
			p.warm.add(key)
		}
	}
}
