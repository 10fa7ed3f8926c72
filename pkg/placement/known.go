package placement

import (
	"sync"
	"time"

	"github.com/mallowlink/mallowlink/pkg/roster"
)

const (
	// knownTTL is how long what an owner has said of an engine is used.
	knownTTL = 500 * time.Millisecond
	// knownRetention is the age at which it is discarded.
	knownRetention = 10 * time.Second
)

// Spare is one of the least loaded engines of an owner.
type Spare struct {
	roster.Incarnation
	// Queue is the expected time until a request of the same urgency would begin there.
	Queue time.Duration
	// Load is the expected wait for the request's adapter; 0 if the engine holds it.
	Load time.Duration
}

// KnownEngines are the least loaded engines of each group, as far as owners have named them to this VM. It is safe for
// concurrent use.
type KnownEngines struct {
	mu     sync.Mutex
	groups map[string]map[roster.Incarnation]knownQueue // guarded by mu
}

type knownQueue struct {
	queue time.Duration
	at    time.Time
}

// NewKnownEngines returns an empty table.
func NewKnownEngines() *KnownEngines {
	return &KnownEngines{groups: map[string]map[roster.Incarnation]knownQueue{}}
}

// Record records the engines that an owner has named.
func (k *KnownEngines) Record(group string, spares []Spare, now time.Time) {
	if len(spares) == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.groups[group] == nil {
		k.groups[group] = map[roster.Incarnation]knownQueue{}
	}
	for _, s := range spares {
		k.groups[group][s.Incarnation] = knownQueue{s.Queue, now}
	}
}

// queues returns the queues of the engines of which something recent is known.
func (k *KnownEngines) queues(group string, now time.Time) map[roster.Incarnation]time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	recent := make(map[roster.Incarnation]time.Duration, len(k.groups[group]))
	for id, q := range k.groups[group] {
		if now.Sub(q.at) < knownTTL {
			recent[id] = q.queue
		}
	}
	return recent
}

// lengthen adds to the known queue of an engine, so that the requests of this VM do not all choose the same one until
// the owner names it again.
func (k *KnownEngines) lengthen(group string, id roster.Incarnation, work time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if q, ok := k.groups[group][id]; ok {
		q.queue += work
		k.groups[group][id] = q
	}
}

// Sweep discards what is out of date.
func (k *KnownEngines) Sweep(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for group, engines := range k.groups {
		for id, q := range engines {
			if now.Sub(q.at) > knownRetention {
				delete(engines, id)
			}
		}
		if len(engines) == 0 {
			delete(k.groups, group)
		}
	}
}
