package suspect

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/membership"
	"github.com/mallowlink/mallowlink/pkg/platform"
)

const (
	// rowPrefix begins the keys of the rows of refused requests.
	rowPrefix = "suspect/"
	// rowStep is the time between two looks at the rows that were listed for other ends. Each look writes or drops one
	// row at most.
	rowStep = 500 * time.Millisecond
	// rowTimeout bounds a write.
	rowTimeout = 2 * time.Second
)

// rowTable is the table that the rows lie in. *follow.Mirror implements it.
type rowTable interface {
	Commit(ctx context.Context, txn platform.Txn) (uint64, error)
	// Known returns the rows as of the last listing, without a call.
	Known(prefix string) []platform.Row
}

// Rows keeps refused requests in the platform's table, so that they are known after all VMs have restarted, and to VMs
// that reach the table but no other VM. Nothing is written while no request is refused.
type Rows struct {
	share *Share
	table rowTable
	now   func() time.Time
	// stored are the requests that the table holds, dropped the versions of rows that this VM has dropped or found to
	// be gone.
	stored  map[uint64]bool
	dropped map[string]uint64
}

// row is a refused request. The time is that of the day, as no other clock outlives the VMs: an error in it changes how
// long the request is refused, and nothing else.
type row struct {
	Account string    `json:"account"`
	Crashes []string  `json:"crashes"`
	Seen    time.Time `json:"seen"`
}

// NewRows returns the Rows of a Share.
func NewRows(share *Share, table rowTable) *Rows {
	return &Rows{share: share, table: table, now: time.Now, stored: map[uint64]bool{}, dropped: map[string]uint64{}}
}

// Run keeps table and Share in step until ctx ends.
func (r *Rows) Run(ctx context.Context) {
	clock.Every(ctx, rowStep, func(time.Time) { r.step(ctx) })
}

func (r *Rows) step(ctx context.Context) {
	expired, found := r.read()
	if found {
		r.drop(ctx, expired)
		return
	}
	if fingerprint, value, ok := r.unstored(); ok {
		r.write(ctx, fingerprint, value)
	}
}

// read takes in the rows that are known. It returns one that is no longer held against its request: it would refuse the
// request again once a VM restarts.
func (r *Rows) read() (expired platform.Row, found bool) {
	for _, known := range r.table.Known(rowPrefix) {
		if r.dropped[known.Key] == known.Version {
			continue
		}
		fingerprint, held, err := decodeRow(known)
		if err != nil {
			r.share.log.WithError(err).WithFields(logrus.Fields{"event": "suspect_row_malformed", "key": known.Key}).Warn()
			expired, found = known, true
			continue
		}
		age := max(0, r.now().Sub(held.Seen))
		if age >= r.share.table.limits.Memory {
			expired, found = known, true
			continue
		}
		if r.stored[fingerprint] {
			if r.share.stateOf(r.now(), fingerprint).crashes == 0 {
				expired, found = known, true
			}
			continue
		}
		r.stored[fingerprint] = true
		var notices []Notice
		for _, crash := range held.Crashes {
			notices = append(notices, Notice{Account: held.Account, Fingerprint: fingerprint, Crash: crash, Age: age})
		}
		r.share.take("table", notices)
		// Only a few VMs list the table: they tell the others.
		r.share.table.Vouch(fingerprint)
	}
	return expired, found
}

func decodeRow(known platform.Row) (uint64, row, error) {
	fingerprint, err := strconv.ParseUint(strings.TrimPrefix(known.Key, rowPrefix), 16, 64)
	if err != nil {
		return 0, row{}, errors.Wrap(err, "key")
	}
	var held row
	if err := json.Unmarshal(known.Value, &held); err != nil {
		return 0, row{}, errors.Wrap(err, "value")
	}
	return fingerprint, held, nil
}

// unstored returns a refused request that this VM is to write down.
func (r *Rows) unstored() (uint64, row, bool) {
	members := r.share.members()
	for fingerprint, notices := range r.share.known() {
		if len(notices) < r.share.table.limits.Crashes || r.stored[fingerprint] || !r.share.writes(members, fingerprint) {
			continue
		}
		held := row{Account: notices[0].Account, Seen: r.now().Add(-notices[0].Age)}
		for _, n := range notices {
			held.Crashes = append(held.Crashes, n.Crash)
		}
		return fingerprint, held, true
	}
	return 0, row{}, false
}

// writes reports whether this VM writes a request down: the first of its homes, or one that cannot reach it.
func (s *Share) writes(members []membership.Member, fingerprint uint64) bool {
	homes := homesOf(members, fingerprint)
	if len(homes) == 0 || homes[0] == s.self {
		return true
	}
	first := slices.IndexFunc(members, func(m membership.Member) bool { return m.ID == homes[0] })
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.failed[listener{homes[0], members[first].Incarnation}]) < 2*shareRetry
}

func (r *Rows) write(ctx context.Context, fingerprint uint64, held row) {
	value, err := json.Marshal(held)
	if err != nil {
		r.share.log.WithError(err).WithField("event", "suspect_not_stored").Error()
		return
	}
	key := rowPrefix + Text(fingerprint)
	err = r.commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: key}},
		Writes:     []platform.Write{{Key: key, Value: value}},
	})
	// A row that is there already says the same.
	if err == nil || errors.Is(err, platform.ErrConflict) {
		r.stored[fingerprint] = true
		r.share.log.WithFields(logrus.Fields{"event": "suspect_stored", "fingerprint": Text(fingerprint)}).Info()
		return
	}
	r.share.log.WithError(err).WithFields(logrus.Fields{"event": "suspect_not_stored", "fingerprint": Text(fingerprint)}).Warn()
}

// drop removes a row.
func (r *Rows) drop(ctx context.Context, expired platform.Row) {
	err := r.commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: expired.Key, Version: expired.Version}},
		Writes:     []platform.Write{{Key: expired.Key, Delete: true}},
	})
	if err == nil || errors.Is(err, platform.ErrConflict) {
		r.dropped[expired.Key] = expired.Version
	} else {
		r.share.log.WithError(err).WithFields(logrus.Fields{"event": "suspect_row_kept", "key": expired.Key}).Warn()
	}
}

func (r *Rows) commit(ctx context.Context, txn platform.Txn) error {
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	txn.Attempt = uuid.NewString()
	_, err := r.table.Commit(ctx, txn)
	return err
}
