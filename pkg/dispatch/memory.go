package dispatch

import (
	"sync"
	"time"

	"github.com/mallowlink/mallowlink/pkg/residency"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

// rememberFor is how long an engine is taken to hold an adapter that a request was sent there for.
const rememberFor = 15 * time.Second

// memory remembers at which engines requests have found their adapters.
type memory struct {
	mu    sync.Mutex
	found map[residency.Key]map[roster.Incarnation]finding // guarded by mu
}

// finding is a version of an adapter that was found at that time.
type finding struct {
	version int
	at      time.Time
}

func newMemory() *memory {
	return &memory{found: map[residency.Key]map[roster.Incarnation]finding{}}
}

// note remembers that an engine holds an adapter.
func (m *memory) note(key residency.Key, id roster.Incarnation, version int, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.found[key] == nil {
		m.found[key] = map[roster.Incarnation]finding{}
	}
	m.found[key][id] = finding{version: version, at: now}
}

// forget forgets that an engine holds an adapter.
func (m *memory) forget(key residency.Key, id roster.Incarnation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.found[key], id)
}

// version returns the version of an adapter that an engine is taken to hold; false if it is not.
func (m *memory) version(key residency.Key, id roster.Incarnation, now time.Time) (int, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f, ok := m.found[key][id]
	return f.version, ok && now.Sub(f.at) < rememberFor
}

// sweep forgets what was found long ago.
func (m *memory) sweep(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, engines := range m.found {
		for id, f := range engines {
			if now.Sub(f.at) >= rememberFor {
				delete(engines, id)
			}
		}
		if len(engines) == 0 {
			delete(m.found, key)
		}
	}
}
