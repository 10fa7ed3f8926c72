package relay

import "time"

// Timing holds the intervals and limits that keep the age of updates within a bound at every VM that reaches the store.
//
// With u, a twentieth of the bound, a VM whose source is healthy has updates that are at most 7u old: 4u between two reads of
// the store and 3u until the next pull returns. At 11u the VM reads the store for itself, whatever its sources do. One lost call to
// the store, with the delay before it is repeated, ends at 16u. docs/design/update-age.md adds up the chains.
type Timing struct {
	// ReadInterval is the time between two reads of the endpoint list, and how long one call waits for a change of the
	// operator's rows.
	ReadInterval time.Duration
	// PullWait is how long a pull waits at the source for updates that the requesting VM does not have yet.
	PullWait time.Duration
	// SourceAge is the age above which the updates of a source count as too old: it has lost more than one call.
	SourceAge time.Duration
	// ReadAge is the age of its updates at which a VM begins to read the store for itself.
	ReadAge time.Duration
	// CallTimeout bounds a call to the store, in addition to the time that the call waits for a change.
	CallTimeout time.Duration
	// WorstAge is the greatest age of updates at a VM that reaches the store if one of its calls is lost.
	WorstAge time.Duration
}

// Parts of a twentieth of the bound, see Timing.
const (
	boundParts        = 20
	readIntervalParts = 4
	pullWaitParts     = 3
	sourceAgeParts    = 8
	readAgeParts      = 11
	callTimeoutParts  = 3
	worstAgeParts     = 16
)

// minBound is the smallest bound that is kept: below it, the delays of the network and of busy VMs do not fit in.
const minBound = time.Second

// NewTiming returns the timing that keeps the age of updates within the bound.
func NewTiming(bound time.Duration) Timing {
	u := max(bound, minBound) / boundParts
	return Timing{
		ReadInterval: readIntervalParts * u,
		PullWait:     min(pullWaitParts*u, maxPullWait),
		SourceAge:    sourceAgeParts * u,
		ReadAge:      readAgeParts * u,
		CallTimeout:  callTimeoutParts * u,
		WorstAge:     worstAgeParts * u,
	}
}
