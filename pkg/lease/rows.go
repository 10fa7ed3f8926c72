package lease

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/mallowlink/mallowlink/pkg/platform"
)

// Key prefixes of the rows in the table.
const (
	rowPrefix     = "lease/"
	sessionPrefix = rowPrefix + "session/"
	leasePrefix   = rowPrefix + "name/"
	notePrefix    = rowPrefix + "note/"
)

// fencingStep is the distance between the fencing numbers of two successive claims in the table. The
// numbers in between are for takeovers without the table, one for each successor rank.
const fencingStep = 1024

// maxFencing bounds the fencing numbers in rows, so that the next one can be computed without overflow.
const maxFencing = 1 << 62

// generationShift is the number of bits below the generation of the table service in a fencing number. So the numbers of a
// generation are above those of all earlier ones, also of claims that the service has lost.
const generationShift = 36

// maxSuccessors is the maximum number of successors in a lease row.
const maxSuccessors = 4

// sessionRow is a VM's session in the table. By renewing its session the VM shows that it is alive, and
// renews all its leases.
type sessionRow struct {
	VM          string        `json:"vm"`
	Incarnation string        `json:"incarnation"`
	Address     string        `json:"address"`
	Counter     uint64        `json:"counter"`
	Duration    time.Duration `json:"duration_ns"`
	// SessionVersionSeen is the highest table version among the session rows that the VM had listed when it
	// wrote this row.
	SessionVersionSeen uint64 `json:"seen"`
	// SettledGeneration is the highest generation of the table service that has settled, as far as the VM knows: no VM
	// uses a right of an earlier generation any more.
	SettledGeneration uint64 `json:"settled,omitempty"`
	// Capacity is the VM's relative capacity for work, compared with other VMs.
	Capacity float64 `json:"capacity,omitempty"`
	// CanClaim says that the VM could claim a lease that is handed over to it.
	CanClaim bool `json:"able,omitempty"`
	Draining bool `json:"draining,omitempty"`
	// Ended is set by another VM, which claims the leases of this one or cleans up its lapsed session. Closed is
	// set by the VM itself at the end of a drain.
	Ended  bool `json:"ended,omitempty"`
	Closed bool `json:"closed,omitempty"`
	// Lapsed says that the session had not been renewed for its duration when another VM ended it.
	Lapsed bool `json:"lapsed,omitempty"`
	// malformed says that the row could not be decoded; no conclusion about the VM may be drawn from it.
	malformed bool
}

// over reports whether the session has ended, by whatever means.
func (s sessionRow) over() bool { return s.Ended || s.Closed }

// leaseRow is the row of one lease. Holder is empty from a handover until another VM has claimed the lease.
type leaseRow struct {
	Holder      string `json:"holder,omitempty"`
	Incarnation string `json:"incarnation,omitempty"`
	Address     string `json:"address,omitempty"`
	Fencing     uint64 `json:"fencing"`
	// Successors are the VMs that may take the lease over without the table, in this order.
	Successors []vmIncarnation `json:"successors,omitempty"`
	// Recent lists the VMs that held the lease before, most recent first.
	Recent []string `json:"recent,omitempty"`
	// IntendedHolder is the VM that a lease without a holder was handed over to. That VM claims it without delay.
	IntendedHolder string `json:"for,omitempty"`
	// LingeringHolders are the earlier holders that have neither handed over nor been proven gone, so that
	// their orders may still arrive at an endpoint.
	LingeringHolders []vmIncarnation `json:"lingering,omitempty"`
	// State is the data that the last holder passed on when it handed the lease over.
	State []byte `json:"state,omitempty"`
	// malformed says that the row could not be decoded; no VM may claim the lease.
	malformed bool
}

// vmIncarnation identifies one incarnation of a VM. Only the incarnation that a row names as a successor may take
// the lease over without the table, not a later one of the same VM.
type vmIncarnation struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
}

// rowTimes records when this VM received listings that contain a row. All times are those at which the
// response of the table arrived.
type rowTimes struct {
	// firstSeen and lastSeen are the first and last times at which this version of the row was listed.
	// previousLastSeen is the last time at which an earlier version was listed; zero if none was.
	firstSeen, lastSeen, previousLastSeen time.Time
}

// updated returns the times after a listing at now. sameVersion says that the version of the row has not
// changed since the previous listing.
func (t rowTimes) updated(now time.Time, sameVersion bool) rowTimes {
	if sameVersion {
		return rowTimes{firstSeen: t.firstSeen, lastSeen: now, previousLastSeen: t.previousLastSeen}
	}
	return rowTimes{firstSeen: now, lastSeen: now, previousLastSeen: t.lastSeen}
}

// maxRecentHolders is the maximum number of VMs in leaseRow.Recent.
const maxRecentHolders = 4

// recentHolders returns the value of Recent for a row that no longer names the current holder: that holder,
// if there is one, followed by the earlier ones.
func (l leaseRow) recentHolders() []string {
	if l.Holder == "" {
		return l.Recent
	}
	recent := []string{l.Holder}
	for _, vm := range l.Recent {
		if vm != l.Holder && len(recent) < maxRecentHolders {
			recent = append(recent, vm)
		}
	}
	return recent
}

// session is a sessionRow as last listed or written.
type session struct {
	sessionRow
	rowTimes
	version uint64
	attempt string
}

// lease is a leaseRow as last listed or written.
type lease struct {
	leaseRow
	rowTimes
	version uint64
}

func decodeSession(row platform.Row) (sessionRow, error) {
	var s sessionRow
	if err := json.Unmarshal(row.Value, &s); err != nil {
		return s, errors.Wrapf(err, "decode session row %s", row.Key)
	}
	return s, nil
}

func decodeLease(row platform.Row) (leaseRow, error) {
	var l leaseRow
	if err := json.Unmarshal(row.Value, &l); err != nil {
		return l, errors.Wrapf(err, "decode lease row %s", row.Key)
	}
	if l.Fencing > maxFencing {
		return l, errors.Errorf("row %s: fencing number %d exceeds the maximum", row.Key, l.Fencing)
	}
	return l, nil
}

// encode marshals one of the row types of this package, for which marshalling cannot fail.
func encode(row any) []byte {
	data, err := json.Marshal(row)
	if err != nil {
		panic(err)
	}
	return data
}

// nextFencing returns the fencing number of the next claim in the table, in the given generation of the table service, if
// the row has the fencing number f.
func nextFencing(f, generation uint64) uint64 {
	return (max(f, generation<<generationShift)/fencingStep + 1) * fencingStep
}

// claimedInGeneration reports whether a fencing number was given in this generation of the table service, or in a service
// without generations.
func claimedInGeneration(f, generation uint64) bool { return f>>generationShift >= generation }

// provisionalFencing returns the fencing number of a takeover without the table. Rank 0 is the holder that
// the row names; the successors have ranks from 1 on. The number is below that of the next claim in the
// table, and a successor of a higher rank gets a higher number.
func provisionalFencing(f, generation uint64, rank int) uint64 {
	return max(f, generation<<generationShift) + 1 + uint64(rank)
}
