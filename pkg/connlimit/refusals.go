package connlimit

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

// Reasons for which a caller's connection is refused or closed. Each is the name of a counter.
const (
	ReasonHeadTooLarge = "entry.refused_heads_too_large"
	ReasonHeadMemory   = "entry.refused_heads_no_memory"
	ReasonHeadTimeout  = "entry.closed_slow_heads"
)

// maxAddresses is the number of addresses that Refusals counts separately between two log lines. Others are counted together.
const maxAddresses = 16

// Refusals counts the connections that are refused or closed, and logs from where they came. A nil *Refusals records nothing. It is
// safe for concurrent use.
type Refusals struct {
	registry metrics.Registry

	mu        sync.Mutex
	reasons   map[string]int // guarded by mu
	addresses map[string]int // by host, guarded by mu
}

// NewRefusals returns Refusals whose counters are in the registry.
func NewRefusals(registry metrics.Registry) *Refusals {
	return &Refusals{registry: registry, reasons: map[string]int{}, addresses: map[string]int{}}
}

// Add counts a connection that is refused or closed.
func (r *Refusals) Add(reason string, from net.Addr) {
	if r == nil {
		return
	}
	metrics.GetOrRegisterCounter(reason, r.registry).Inc(1)
	r.record(reason, from)
}

// record keeps for the next log line that a connection is refused or closed.
func (r *Refusals) record(reason string, from net.Addr) {
	if r == nil {
		return
	}
	host, _, err := net.SplitHostPort(from.String())
	if err != nil {
		host = from.String()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reasons[reason]++
	if _, known := r.addresses[host]; !known && len(r.addresses) >= maxAddresses {
		host = "others"
	}
	r.addresses[host]++
}

// Log logs one line on the connections counted since the last call, if there are any.
func (r *Refusals) Log(log logrus.FieldLogger) {
	r.mu.Lock()
	reasons, addresses := r.reasons, r.addresses
	r.reasons, r.addresses = map[string]int{}, map[string]int{}
	r.mu.Unlock()
	if len(reasons) == 0 {
		return
	}
	log.WithFields(logrus.Fields{"event": "callers_refused", "reasons": listed(reasons), "addresses": listed(addresses)}).
		Warn("connections of callers refused or closed")
}

// listed returns the counts as text, largest first.
func listed(counts map[string]int) string {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		if counts[a] != counts[b] {
			return counts[b] - counts[a]
		}
		return strings.Compare(a, b)
	})
	for i, name := range names {
		names[i] = fmt.Sprintf("%s:%d", strings.TrimPrefix(name, "entry."), counts[name])
	}
	return strings.Join(names, " ")
}
