package placement

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mallowlink/mallowlink/pkg/dialect"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

const (
	// extraHomesHalfLife is the time in which the number of extra homes of an adapter halves while none is
	// added. It is about the time in which demand moves to other adapters.
	extraHomesHalfLife = 5 * time.Second
	// minExtraHomes is the number of extra homes below which an adapter counts as having none.
	minExtraHomes = 0.5
)

// HotKeys tracks the home keys (see HomeKey) with more requests than their default homes can serve, and gives
// them extra homes. It is safe for concurrent use.
type HotKeys struct {
	mu    sync.Mutex
	extra map[string]extraHomes // by home key, guarded by mu
}

// extraHomes is the number of homes beyond the default ones at a given time. It decays exponentially.
type extraHomes struct {
	count float64
	at    time.Time
}

// NewHotKeys returns a table without extra homes.
func NewHotKeys() *HotKeys { return &HotKeys{extra: map[string]extraHomes{}} }

// countAt returns the number of extra homes at now.
func (s extraHomes) countAt(now time.Time) float64 {
	return s.count * math.Exp2(-now.Sub(s.at).Seconds()/extraHomesHalfLife.Seconds())
}

// HomeCount returns the number of homes of a key.
func (s *HotKeys) HomeCount(key string, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return DefaultHomeCount + int(math.Round(s.extra[key].countAt(now)))
}

// AddHome adds a home to a key.
func (s *HotKeys) AddHome(key string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extra[key] = extraHomes{count: s.extra[key].countAt(now) + 1, at: now}
}

// Sweep discards the keys whose extra homes have decayed.
func (s *HotKeys) Sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, homes := range s.extra {
		if homes.countAt(now) < minExtraHomes {
			delete(s.extra, key)
		}
	}
}

// ChooseHomes returns the homes to ask for a request: the first ones by rank. If there are more homes than the
// default number, it chooses among them by the request's session, so that the session's prompts are found where
// they are cached.
func ChooseHomes(session string, ranked []roster.Endpoint, homeCount int) []roster.Endpoint {
	homeCount = min(homeCount, len(ranked))
	if homeCount <= DefaultHomeCount {
		return ranked[:homeCount]
	}
	start := int(xxhash.Sum64String(session) % uint64(homeCount))
	chosen := make([]roster.Endpoint, DefaultHomeCount)
	for i := range chosen {
		chosen[i] = ranked[(start+i)%homeCount]
	}
	return chosen
}

// SessionKey returns the key that the requests of a session share: the last part of the prompt, or the request's
// ID if its prompt has no parts.
func SessionKey(id string, terms dialect.RequestInfo) string {
	if n := len(terms.Prompt); n > 0 {
		return terms.Prompt[n-1].ID
	}
	return id
}
