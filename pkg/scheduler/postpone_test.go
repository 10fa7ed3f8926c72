package scheduler

import (
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/endpoint"
	"github.com/mallowlink/mallowlink/pkg/work"
)

type alwaysPermit struct{}

func (alwaysPermit) TryTake(time.Time) bool { return true }

// TestPostponedReplicaEndsDecide guards against an endless loop in Decide. An item that excludes an
// endpoint needs a replica, and no endpoint can load it because every slot holds an adapter in use.
// Decide must postpone the load rather than retry it at once.
func TestPostponedReplicaEndsDecide(t *testing.T) {
	now := time.Unix(0, 0)
	s := New(DefaultConfig(), rand.New(rand.NewSource(1)), alwaysPermit{})
	s.SetEndpoints(now, []EndpointSpec{{Name: "e1", Slots: 1, MaxRunning: 1}, {Name: "e2", Slots: 1, MaxRunning: 1}})
	versions := map[string]endpoint.AdapterVersion{
		"e1": {Adapter: "hot", Version: "v1"},
		"e2": {Adapter: "other", Version: "v1"},
	}
	for name, version := range versions {
		s.Report(now, name, endpoint.LoadReport{
			Incarnation: "one",
			Slots:       1,
			Loaded:      []endpoint.LoadedAdapter{{AdapterVersion: version}},
		})
	}
	item := func(id, adapter string, exclude ...string) Item {
		return Item{
			ID: work.AttemptID{Request: id}, Account: "a", Weight: 1, Class: bundle.Interactive, Tokens: 1,
			Adapter:  endpoint.AdapterVersion{Adapter: adapter, Version: "v1"},
			Deadline: now.Add(time.Minute), Exclude: exclude,
		}
	}
	require.Nil(t, s.Enqueue(now, item("runs-1", "hot")))
	require.Nil(t, s.Enqueue(now, item("runs-2", "other")))
	require.Len(t, s.Decide(now), 2)
	require.Nil(t, s.Enqueue(now, item("waits", "hot", "e3")))
	later := now.Add(2 * time.Second)
	require.Empty(t, s.Decide(later))
	require.True(t, s.NextWake().After(later))
}
