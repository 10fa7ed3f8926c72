package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Snapshot implements Scheduler.
func (s *scheduler) Snapshot(now time.Time) Snapshot {
	snapshot := Snapshot{Queued: s.queueStates(now)}
	for _, e := range s.endpoints {
		snapshot.Endpoints = append(snapshot.Endpoints, s.endpointState(now, e))
	}
	return snapshot
}

func (s *scheduler) queueStates(now time.Time) []QueueState {
	var states []QueueState
	for _, a := range s.accounts {
		for class := range classCount {
			if a.waiting[class] == 0 {
				continue
			}
			states = append(states, QueueState{
				Account: a.name,
				Class:   className(class),
				Items:   a.waiting[class],
				Tokens:  a.tokens[class],
				Oldest:  s.oldest(now, a, class),
			})
		}
	}
	slices.SortFunc(states, func(a, b QueueState) int {
		return cmp.Or(strings.Compare(a.Account, b.Account), strings.Compare(string(a.Class), string(b.Class)))
	})
	return states
}

// oldest returns how long the oldest queued item of the account and class has waited.
func (s *scheduler) oldest(now time.Time, a *account, class int) time.Duration {
	var oldest time.Duration
	for _, ad := range s.waitingAdapters {
		for _, l := range ad.lanes {
			if l.account == a && l.class == class {
				oldest = max(oldest, now.Sub(l.head.enqueued))
			}
		}
	}
	return oldest
}

func (s *scheduler) endpointState(now time.Time, e *endpointView) EndpointState {
	state := EndpointState{
		Name:        e.spec.Name,
		State:       string(e.state),
		Incarnation: e.incarnation,
		Running:     e.running,
		Slots:       e.spec.Slots,
	}
	for _, p := range e.placements {
		state.Adapters = append(state.Adapters, AdapterState{
			Adapter: p.adapter.version.String(),
			State:   string(p.state),
			Running: p.running,
			Rate:    p.adapter.rateAt(now, s.cfg.RateHalfLife) / s.cfg.RateHalfLife.Seconds(),
		})
	}
	slices.SortFunc(state.Adapters, func(a, b AdapterState) int { return strings.Compare(a.Adapter, b.Adapter) })
	return state
}
