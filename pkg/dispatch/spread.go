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
	// spreadHalfLife is the time in which the homes that an adapter has beyond the usual ones halve while none
	// is added: about the time in which demand moves to other adapters.
	spreadHalfLife = 5 * time.Second
	// spreadForgotten is the number of further homes from which on an adapter counts as having none.
	spreadForgotten = 0.5
)

// spreads knows the adapters whose usual homes are too few for their requests.
type spreads struct {
	mu    sync.Mutex
	extra map[string]spread // by home key, guarded by mu
}

// spread is the number of homes beyond the usual ones at that time.
type spread struct {
	homes float64
	at    time.Time
}

func newSpreads() *spreads { return &spreads{extra: map[string]spread{}} }

// now returns the number of further homes at now.
func (s spread) now(now time.Time) float64 {
	return s.homes * math.Exp2(-now.Sub(s.at).Seconds()/spreadHalfLife.Seconds())
}

// width returns the number of homes that requests with the key have.
func (s *spreads) width(key string, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return homes + int(math.Round(s.extra[key].now(now)))
}

// grow adds a home.
func (s *spreads) grow(key string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extra[key] = spread{homes: s.extra[key].now(now) + 1, at: now}
}

// sweep forgets the adapters whose further homes have gone.
func (s *spreads) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, sp := range s.extra {
		if sp.now(now) < spreadForgotten {
			delete(s.extra, key)
		}
	}
}

// chooseHomes returns the homes to ask for a request: the first ones by rank, or, where there are more homes
// than usual, some of them by the request's session, so that its prompt is found where it was kept.
func chooseHomes(w gateway.Work, ranked []roster.Endpoint, width int) []roster.Endpoint {
	width = min(width, len(ranked))
	if width <= homes {
		return ranked[:width]
	}
	start := int(xxhash.Sum64String(sessionKey(w)) % uint64(width))
	chosen := make([]roster.Endpoint, homes)
	for i := range chosen {
		chosen[i] = ranked[(start+i)%width]
	}
	return chosen
}

// sessionKey names what a request shares with others of its session: the last part of its prompt.
func sessionKey(w gateway.Work) string {
	if n := len(w.Terms.Prompt); n > 0 {
		return w.Terms.Prompt[n-1].ID
	}
	return w.ID
}
