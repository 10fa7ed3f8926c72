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

// fencingStep is the distance between two fencing numbers that the table gives. The numbers between
// are for takeovers without the table, one for each rank of successor.
const fencingStep = 1024

// maxFencing bounds the numbers in rows, so that the next one can be formed.
const maxFencing = 1 << 62

// maxSuccessors bounds the successors that a row names.
const maxSuccessors = 4

// sessionRow is a VM's proof of life in the table. Its renewal renews all leases of the VM.
type sessionRow struct {
	VM          string        `json:"vm"`
	Incarnation string        `json:"incarnation"`
	Address     string        `json:"address"`
	Counter     uint64        `json:"counter"`
	Duration    time.Duration `json:"duration_ns"`
	// Seen is the highest table version among the session rows that the VM had listed.
	Seen uint64 `json:"seen"`
	// Capacity says how much work the VM can bear, compared with others.
	Capacity float64 `json:"capacity,omitempty"`
	// Able says that the VM could claim a lease that is handed over to it.
	Able     bool `json:"able,omitempty"`
	Draining bool `json:"draining,omitempty"`
	// Ended is set by a claimant, Closed by the VM itself when it stops for good.
	Ended  bool `json:"ended,omitempty"`
	Closed bool `json:"closed,omitempty"`
	// malformed says that the row could not be read; nothing is concluded from it.
	malformed bool
}

func (s sessionRow) over() bool { return s.Ended || s.Closed }

// leaseRow is one lease. Holder is empty after a handover until a successor has claimed it.
type leaseRow struct {
	Holder      string      `json:"holder,omitempty"`
	Incarnation string      `json:"incarnation,omitempty"`
	Address     string      `json:"address,omitempty"`
	Fencing     uint64      `json:"fencing"`
	Successors  []successor `json:"successors,omitempty"`
	// Recent are the VMs that have held the lease, the last one first.
	Recent []string `json:"recent,omitempty"`
	// For is the VM that a lease without a holder is meant for, which claims it at once.
	For string `json:"for,omitempty"`
	// Lingering are the earlier holders that have neither handed over nor been proven gone, so that
	// orders of theirs may still arrive.
	Lingering []successor `json:"lingering,omitempty"`
	// State is what the last holder passed on when it handed the lease over.
	State []byte `json:"state,omitempty"`
	// malformed says that the row could not be read; nobody may claim it.
	malformed bool
}

// successor is a VM that may take the lease over without the table. A later incarnation may not.
type successor struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
}

// seenAt holds when this VM has had replies that show a row. All times are those of the replies.
type seenAt struct {
	// since is the first reply that showed this version, shown the last one, and before the last
	// one that showed the version before it, zero if none did.
	since, shown, before time.Time
}

// next returns the times for a row shown at now, of the same version as before or of another.
func (t seenAt) next(now time.Time, same bool) seenAt {
	if same {
		return seenAt{since: t.since, shown: now, before: t.before}
	}
	return seenAt{since: now, shown: now, before: t.shown}
}

// maxRecent bounds the VMs in Recent.
const maxRecent = 4

// remember returns the VMs that have held the lease once its holder has it no more.
func (l leaseRow) remember() []string {
	if l.Holder == "" {
		return l.Recent
	}
	recent := []string{l.Holder}
	for _, vm := range l.Recent {
		if vm != l.Holder && len(recent) < maxRecent {
			recent = append(recent, vm)
		}
	}
	return recent
}

// session is a sessionRow as read.
type session struct {
	sessionRow
	seenAt
	version uint64
	attempt string
}

// lease is a leaseRow as read.
type lease struct {
	leaseRow
	seenAt
	version uint64
}

func decodeSession(row platform.Row) (sessionRow, error) {
	var s sessionRow
	if err := json.Unmarshal(row.Value, &s); err != nil {
		return s, errors.Wrapf(err, "row %s", row.Key)
	}
	return s, nil
}

func decodeLease(row platform.Row) (leaseRow, error) {
	var l leaseRow
	if err := json.Unmarshal(row.Value, &l); err != nil {
		return l, errors.Wrapf(err, "row %s", row.Key)
	}
	if l.Fencing > maxFencing {
		return l, errors.Errorf("row %s: fencing number %d", row.Key, l.Fencing)
	}
	return l, nil
}

// encode marshals one of the row types of this package, which cannot fail.
func encode(row any) []byte {
	data, err := json.Marshal(row)
	if err != nil {
		panic(err)
	}
	return data
}

func nextFencing(f uint64) uint64 { return (f/fencingStep + 1) * fencingStep }

// provisionalFencing returns the number of a takeover without the table: by the VM that the row
// names itself for rank 0, by the successor of that rank counted from 1 otherwise. It is below the
// next number that the table gives, and a later successor's is above an earlier one's.
func provisionalFencing(f uint64, rank int) uint64 { return f + 1 + uint64(rank) }
