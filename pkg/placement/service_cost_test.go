package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/roster"
)

// pickCounts returns how often each of the services is picked.
func pickCounts(s *Services, list []roster.Endpoint, outstanding func(roster.Endpoint) int, now time.Time) map[string]int {
	rng := rand.New(rand.NewPCG(1, 1))
	counts := map[string]int{}
	for range 300 {
		e, _ := s.Pick(list, outstanding, "", 150*time.Millisecond, rng.IntN, now)
		counts[e.ID]++
	}
	return counts
}

func idle(roster.Endpoint) int { return 0 }

// Guards against a slow service getting as many requests as the others, and against it never being tried again.
func TestSlowServiceIsAvoidedForAWhile(t *testing.T) {
	s, list := NewServices(), endpoints("a", "b", "c")
	require.Len(t, pickCounts(s, list, idle, start), 3, "nothing is known")
	for i := range 10 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		s.Served(list[0], 80*time.Millisecond, now)
		s.Served(list[1], 20*time.Millisecond, now)
		s.Served(list[2], 20*time.Millisecond, now)
	}
	require.Zero(t, pickCounts(s, list, idle, start.Add(time.Second))["a"])
	require.Positive(t, pickCounts(s, list, idle, start.Add(time.Minute))["a"])
	s.Sweep(start.Add(2 * time.Minute))
	require.Empty(t, s.speeds)
}

// A service that refuses requests as full has a queue, and one with more of this VM's requests has more of others, too.
func TestServiceWithAQueueIsAvoided(t *testing.T) {
	s, list := NewServices(), endpoints("a", "b")
	s.Full(list[0], start)
	require.Zero(t, pickCounts(s, list, idle, start.Add(10*time.Millisecond))["a"])
	require.Positive(t, pickCounts(s, list, idle, start.Add(3*time.Second))["a"])
	full := func(e roster.Endpoint) int {
		if e.ID == "b" {
			return 3
		}
		return 2
	}
	require.Zero(t, pickCounts(s, list, full, start.Add(time.Minute))["b"])
}

// Guards against traffic between failure domains, which is expensive, for a small gain.
func TestServiceOfAnotherDomainMustBeMuchSooner(t *testing.T) {
	s, list := NewServices(), endpoints("far", "near")
	list[0].FailureDomain = "other"
	for range 10 {
		s.Served(list[1], 40*time.Millisecond, start)
		s.Served(list[0], 10*time.Millisecond, start)
	}
	require.Zero(t, pickCounts(s, list, idle, start)["far"])
	for range 20 {
		s.Served(list[1], 120*time.Millisecond, start)
	}
	require.Zero(t, pickCounts(s, list, idle, start)["near"])
}
