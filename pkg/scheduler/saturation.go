package scheduler

import (
	"time"

	"github.com/mallowlink/mallowlink/pkg/result"
)

// saturation tracks whether the load budget is spent and how long loads take.
type saturation struct {
	loads    meter
	deniedAt time.Time
	// shortestLoad is the duration of the shortest load so far, or 0 before the first.
	shortestLoad time.Duration
}

// saturationHold is how long the load budget counts as spent after a permit was denied.
const saturationHold = time.Second

func (v *saturation) recordLoad(now time.Time, took time.Duration) {
	v.loads.add(now, 1)
	if v.shortestLoad == 0 || took < v.shortestLoad {
		v.shortestLoad = took
	}
}

// backlog estimates how long the pending loads will take. It returns 0 while the budget is not spent.
func (v *saturation) backlog(now time.Time, waiting int) time.Duration {
	rate := v.loads.perSecond(now)
	if v.deniedAt.IsZero() || now.Sub(v.deniedAt) > saturationHold || rate <= 0 {
		return 0
	}
	return time.Duration(float64(waiting) / rate * float64(time.Second))
}

// refuseUnmeetableDeadline refuses the queued request r at once if its adapter cannot be loaded
// before its deadline. That is the case if even half the shortest load so far takes longer, or, for
// an account over its share, if the pending loads take longer.
func (s *scheduler) refuseUnmeetableDeadline(now time.Time, r *request) {
	l := r.lane
	if r.Deadline.IsZero() || l.loadIndex < 0 || l.loadRank != rankInteractive {
		return
	}
	backlog := s.loadBudget.backlog(now, len(s.pendingLoads[rankInteractive]))
	left := r.Deadline.Sub(now)
	if left < s.loadBudget.shortestLoad/2 || r.loadTag.After(now) && backlog > left {
		s.refuse(r, refusal(result.DeadlineTooNear, "the adapter cannot be loaded before the deadline", max(backlog, queueFullRetry)))
	}
}

// retryAfter returns the delay after which a caller refused because of load should retry.
func (s *scheduler) retryAfter(now time.Time) time.Duration {
	return max(s.loadBudget.backlog(now, len(s.pendingLoads[rankInteractive])), queueFullRetry)
}
