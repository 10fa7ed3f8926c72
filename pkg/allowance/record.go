package allowance

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

// record is the usage of an account that its home stores with each renewal of its lease. It tells a later home
// what was spent, even if VMs that could have reported it have restarted since.
type record struct {
	// Spent is what all VMs have spent in each bin of the window, as far as they have reported it, the newest
	// bin first.
	Spent []int64 `json:"spent"`
	// Held is what all VMs held when the record was made.
	Held int64 `json:"held"`
	// At is when the record was made, by the system clock, in Unix milliseconds. If a clock was set back since and
	// At lies in the future, the record counts as new.
	At int64 `json:"at"`
}

const (
	// renewalBins is the number of bins between two renewals of a lease, rounded up; renewalInterval is the time
	// that they cover.
	renewalBins     = 3
	renewalInterval = renewalBins * binWidth
	// growthFactor bounds what VMs may have spent after their last report to the home that made the record: this
	// many times what they spent in the busiest renewalInterval on record, or what they held if that is more.
	growthFactor = 2
)

// newRecord returns the record of the account to store at now.
func (a *account) newRecord(now time.Time) record {
	bins := make([]float64, a.policy.Window/binWidth+1)
	held := int64(0)
	for _, u := range a.usage {
		held += u.possiblySpent(a.policy, now)
		for i, n := range u.spent.copyBins(now) {
			bins[i] += float64(n)
		}
	}
	absentPerBin := a.absentShare * a.policy.lendable(a.limit) / float64(len(bins))
	r := record{Spent: make([]int64, len(bins)), Held: held, At: now.UnixMilli()}
	for i := range bins {
		binEnd := now.Add(-time.Duration(i) * binWidth)
		assumed := a.assumedUsage(a.limit, binEnd.Add(-binWidth), now) - a.assumedUsage(a.limit, binEnd, now)
		r.Spent[i] = int64(bins[i] + absentPerBin + assumed)
	}
	a.carryOverRecord(r.Spent, now)
	return r
}

// carryOverRecord raises the bins from before this VM became the home, if the record of the previous home is still
// needed, so that no span that ends when this VM became the home counts less than by that record.
func (a *account) carryOverRecord(bins []int64, now time.Time) {
	first := int(now.Sub(a.gainedAt) / binWidth)
	if !a.needsRecord() || first >= len(bins) {
		return
	}
	known, raised := int64(0), int64(0)
	for i := first; i < len(bins); i++ {
		known += bins[i]
		past := a.estimateSpent(now.Add(-time.Duration(i+1)*binWidth), a.gainedAt)
		bins[i] = max(known, int64(past)) - raised
		raised += bins[i]
	}
}

func sum(bins []int64) int64 {
	total := int64(0)
	for _, n := range bins {
		total += n
	}
	return total
}

// needsRecord reports whether the record of the previous home still counts, because there is one and the VMs have
// not, or cannot have, reported all that they spent within the window.
func (a *account) needsRecord() bool {
	return a.recordedBins != nil && (a.absentShare > 0 || len(a.coveredSince) > 0)
}

// adoptRecord sets the record of the previous home. A record from the future counts as made when this VM became the
// home.
func (a *account) adoptRecord(r record) {
	a.recordedBins, a.recordedHeld = r.Spent, r.Held
	a.recordedAt = a.gainedAt
	if age := a.gainedAt.Sub(time.UnixMilli(r.At)); age > 0 {
		a.recordedAt = a.gainedAt.Add(-age)
	}
}

// recordAge returns the age of the previous home's record when this VM became the home; 0 without a record.
func (a *account) recordAge() time.Duration {
	if a.recordedBins == nil {
		return 0
	}
	return a.gainedAt.Sub(a.recordedAt)
}

// spentAfterRecord estimates the tokens that VMs may have spent between the record and until. atOnce may all have
// been spent at the very end of that time, as can happen between any two records. evenly is spread over the whole of it,
// and covers the time for which the next record was overdue.
func (a *account) spentAfterRecord(until time.Time) (atOnce, evenly float64) {
	busiest := int64(0)
	for i := range a.recordedBins {
		busiest = max(busiest, sum(a.recordedBins[i:min(i+renewalBins, len(a.recordedBins))]))
	}
	overdue := max(until.Sub(a.recordedAt)-renewalInterval, 0)
	missedRenewals := overdue.Seconds() / renewalInterval.Seconds()
	// A VM reports as soon as it has spent its balance down to refillShare, so it may have spent the other part of it
	// without a report. If records were overdue, it may have spent the rest too: it reported that to the previous home,
	// but no record says so.
	fromBalance := min(1-refillShare+refillShare*missedRenewals, 1) * float64(a.recordedHeld)
	// The oldest bins have left the window by then, and their tokens may have been lent again.
	expiredBins := renewalBins + int(overdue/binWidth)
	remaining := max(a.policy.lendable(a.limit)-float64(sum(a.recordedBins[:max(len(a.recordedBins)-expiredBins, 0)])), 0)
	atOnce = min(max(growthFactor*float64(busiest), fromBalance), remaining)
	return atOnce, min(missedRenewals*float64(busiest), remaining-atOnce)
}

// estimateSpent estimates what all VMs spent between from and until, by the record of the previous home. until is the
// time from which on VMs can report what they spent.
func (a *account) estimateSpent(from, until time.Time) float64 {
	if !until.After(from) {
		return 0
	}
	if a.recordedBins == nil {
		// Without a record, assume that all that may be lent was spent, evenly over time.
		span := a.policy.Window + binWidth
		return a.policy.lendable(a.limit) * min(until.Sub(from).Seconds()/span.Seconds(), 1)
	}
	total, evenly := a.spentAfterRecord(until)
	if span := until.Sub(a.recordedAt); span > 0 {
		total += evenly * min(until.Sub(from).Seconds()/span.Seconds(), 1)
	}
	for i, n := range a.recordedBins {
		if !a.recordedAt.Add(-time.Duration(i) * binWidth).After(from) {
			break
		}
		total += float64(n)
	}
	return total
}

// decodeRecord decodes the note of a lease, and reports whether it holds a record. A nil note holds none.
func decodeRecord(note []byte) (record, bool, error) {
	if note == nil {
		return record{}, false, nil
	}
	var r record
	if err := json.Unmarshal(note, &r); err != nil {
		return record{}, false, errors.Wrap(err, "decode usage record")
	}
	if (Request{Spent: r.Spent, Held: r.Held}).malformed() {
		return record{}, false, errors.New("usage record: token count out of range")
	}
	return r, true, nil
}
