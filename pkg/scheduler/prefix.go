package scheduler

import (
	"time"

	"github.com/mallowlink/mallowlink/pkg/endpoint"
)

// maxPrefixes is the maximum number of cached prefixes recorded for one endpoint.
const maxPrefixes = 4096

// prefixView is the set of prefixes that an endpoint probably has cached. It influences only the
// choice between endpoints that could all run the item, so errors in it are harmless.
type prefixView map[uint64]struct{}

// apply records cache events. After a gap, the earlier records no longer hold.
func (v prefixView) apply(events []endpoint.CacheEvent, gap bool) {
	if gap {
		clear(v)
	}
	for _, event := range events {
		if !event.Stored {
			delete(v, event.Prefix)
			continue
		}
		if len(v) >= maxPrefixes {
			clear(v)
		}
		v[event.Prefix] = struct{}{}
	}
}

func (v prefixView) has(prefix uint64) bool {
	if prefix == 0 {
		return false
	}
	_, ok := v[prefix]
	return ok
}

// CacheEvents implements Scheduler.
func (s *scheduler) CacheEvents(_ time.Time, name string, events []endpoint.CacheEvent, gap bool) {
	if e := s.endpoint(name); e != nil {
		e.prefixes.apply(events, gap)
	}
}
