package dispatch

import (
	"sync"
	"time"

	"github.com/mallowlink/mallowlink/pkg/residency"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

// locationTTL is how long an engine is assumed to hold an adapter after a request was sent there for it or the
// engine reported it.
const locationTTL = 15 * time.Second

// adapterLocations records the engines at which adapters were found recently, by requests or in reports of the
// engines. It is safe for concurrent use.
type adapterLocations struct {
	mu        sync.Mutex
	byAdapter map[residency.Key]map[roster.Incarnation]location // guarded by mu
}

// location is the version of an adapter that an engine held at a given time.
type location struct {
	version    int
	recordedAt time.Time
}

func newAdapterLocations() *adapterLocations {
	return &adapterLocations{byAdapter: map[residency.Key]map[roster.Incarnation]location{}}
}

// record records that an engine holds an adapter.
func (l *adapterLocations) record(key residency.Key, id roster.Incarnation, version int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byAdapter[key] == nil {
		l.byAdapter[key] = map[roster.Incarnation]location{}
	}
	l.byAdapter[key][id] = location{version: version, recordedAt: now}
}

// remove discards the record that an engine holds an adapter.
func (l *adapterLocations) remove(key residency.Key, id roster.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.byAdapter[key], id)
}

// version returns the version of an adapter that an engine is assumed to hold; false if none.
func (l *adapterLocations) version(key residency.Key, id roster.Incarnation, now time.Time) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	loc, ok := l.byAdapter[key][id]
	return loc.version, ok && now.Sub(loc.recordedAt) < locationTTL
}

// sweep discards records older than locationTTL.
func (l *adapterLocations) sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, engines := range l.byAdapter {
		for id, loc := range engines {
			if now.Sub(loc.recordedAt) >= locationTTL {
				delete(engines, id)
			}
		}
		if len(engines) == 0 {
			delete(l.byAdapter, key)
		}
	}
}
