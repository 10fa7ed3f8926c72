package dispatch

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mallowlink/mallowlink/pkg/gateway"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

const (
	// extraHomesHalfLife is the time in which the number of extra homes of an adapter halves while none is
	// added. It is about the time in which demand moves to other adapters.
	extraHomesHalfLife = 5 * time.Second
	// minExtraHomes is the number of extra homes below which an adapter counts as having none.
	minExtraHomes = 0.5
)

// hotKeys tracks the home keys (see homeKey) with more requests than their default homes can serve, and gives
// them extra homes. It is safe for concurrent use.
type hotKeys struct {
	mu    sync.Mutex
	extra map[string]extraHomes // by home key, guarded by mu
}

// extraHomes is the number of homes beyond the default ones at a given time. It decays exponentially.
type extraHomes struct {
	count float64
	at    time.Time
}

func newHotKeys() *hotKeys { return &hotKeys{extra: map[string]extraHomes{}} }

// countAt returns the number of extra homes at now.
func (s extraHomes) countAt(now time.Time) float64 {
	return s.count * math.Exp2(-now.Sub(s.at).Seconds()/extraHomesHalfLife.Seconds())
}

// homeCount returns the number of homes of a key.
func (s *hotKeys) homeCount(key string, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return defaultHomeCount + int(math.Round(s.extra[key].countAt(now)))
}

// addHome adds a home to a key.
func (s *hotKeys) addHome(key string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extra[key] = extraHomes{count: s.extra[key].countAt(now) + 1, at: now}
}

// sweep discards the keys whose extra homes have decayed.
func (s *hotKeys) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, homes := range s.extra {
		if homes.countAt(now) < minExtraHomes {
			delete(s.extra, key)
		}
	}
}

// chooseHomes returns the homes to ask for a request: the first ones by rank. If there are more homes than the
// default number, it chooses among them by the request's session, so that the session's prompts are found where
// they are cached.
func chooseHomes(req gateway.Request, ranked []roster.Endpoint, homeCount int) []roster.Endpoint {
	homeCount = min(homeCount, len(ranked))
	if homeCount <= defaultHomeCount {
		return ranked[:homeCount]
	}
	start := int(xxhash.Sum64String(sessionKey(req)) % uint64(homeCount))
	chosen := make([]roster.Endpoint, defaultHomeCount)
	for i := range chosen {
		chosen[i] = ranked[(start+i)%homeCount]
	}
	return chosen
}

// sessionKey returns the key that the requests of a session share: the last part of the prompt.
func sessionKey(req gateway.Request) string {
	if n := len(req.Terms.Prompt); n > 0 {
		return req.Terms.Prompt[n-1].ID
	}
	return req.ID
}
