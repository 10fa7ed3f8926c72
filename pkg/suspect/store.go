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
	// rowPrefix is the prefix of the keys of the rows that hold refused requests, partRowPrefix of those that hold parts.
	rowPrefix     = "suspect/"
	partRowPrefix = "suspect-part/"
	// storedTrials is the number of trials that a part has had that is read from a row: the first ones follow the crashes at
	// once, and are not made again after a restart of all VMs.
	storedTrials = len(partTrialDelays) - 1
	// rowInterval is the time between two passes over the rows, which are listed anyway for other purposes. Each pass writes
	// or deletes at most one row.
	rowInterval = 500 * time.Millisecond
	// commitTimeout bounds the write or deletion of a row.
	commitTimeout = 2 * time.Second
)

// rowTable is the platform's table, which holds the rows. *follow.Mirror implements it.
type rowTable interface {
	// Commit applies a transaction.
	Commit(ctx context.Context, txn platform.Txn) (uint64, error)
	// Cached returns the rows as of the last listing, without a call.
	Cached(prefix string) []platform.Row
	// CachedGeneration returns the generation of the table service to which the last listing belongs, without a call.
	CachedGeneration() uint64
}

// Store keeps refused requests in the platform's table, so that they are known after all VMs have restarted, and to VMs that
// reach the table but no other VM. Nothing is written while no request is refused.
type Store struct {
	syncer *Syncer
	rows   rowTable
	prefix string
	now    func() time.Time
	// stored are the requests that the table holds; deleted are the versions, by key, of rows that this VM has deleted or found
	// to be gone. lost are the requests whose rows the table has lost by returning from an older copy in a new generation.
	stored     map[uint64]bool
	deleted    map[string]uint64
	lost       map[uint64]bool
	generation uint64
}

// storedRequest is the value of a row: one refused request. Seen is wall-clock time, as no other clock outlives the VMs: an
// error in it changes how long the request is refused, and nothing else.
type storedRequest struct {
	Account string    `json:"account"`
	Part    string    `json:"part,omitempty"`
	Crashes []string  `json:"crashes"`
	Seen    time.Time `json:"seen"`
}

// NewStore returns a store for the refused requests, or held parts, of syncer, in the platform's table.
func NewStore(syncer *Syncer, rows rowTable) *Store {
	prefix := rowPrefix
	if syncer.service == PartServiceName {
		prefix = partRowPrefix
	}
	return &Store{syncer: syncer, rows: rows, prefix: prefix, now: time.Now, stored: map[uint64]bool{}, deleted: map[string]uint64{}, lost: map[uint64]bool{}}
}

// Run keeps the rows and the crash reports of this VM consistent until ctx ends.
func (s *Store) Run(ctx context.Context) {
	clock.Every(ctx, rowInterval, func(time.Time) { s.syncOnce(ctx) })
}

// syncOnce applies the rows that are known, and deletes or writes at most one row.
func (s *Store) syncOnce(ctx context.Context) {
	obsolete, found := s.applyRows()
	if found {
		s.deleteRow(ctx, obsolete)
		return
	}
	if fingerprint, value, ok := s.nextUnstored(); ok {
		s.write(ctx, fingerprint, value)
	}
}

// findLostRows finds the requests whose rows the table has lost if it has returned from an older copy. rows are those of the
// generation or of a later one.
func (s *Store) findLostRows(generation uint64, rows []platform.Row) {
	if generation == s.generation {
		return
	}
	s.generation = generation
	held := map[string]bool{}
	for _, row := range rows {
		held[row.Key] = true
	}
	for fingerprint := range s.stored {
		if key := s.prefix + FormatFingerprint(fingerprint); !held[key] {
			delete(s.stored, fingerprint)
			s.lost[fingerprint] = true
			s.syncer.log.WithFields(logrus.Fields{"event": "suspect_row_lost", "key": key, "generation": generation}).Warn("row of a refused request is lost; it is written again if the request is still refused")
		}
	}
}

// applyRows applies the rows that have not been applied yet. It returns a row to delete, if there is one: a malformed row, or
// one whose crashes are no longer held against the request, which would be refused again once a VM restarts.
func (s *Store) applyRows() (obsolete platform.Row, found bool) {
	generation := s.rows.CachedGeneration()
	rows := s.rows.Cached(s.prefix)
	s.findLostRows(generation, rows)
	for _, row := range rows {
		if s.deleted[row.Key] == row.Version {
			continue
		}
		fingerprint, req, err := s.decodeRow(row)
		if err != nil {
			s.syncer.log.WithError(err).WithFields(logrus.Fields{"event": "suspect_row_malformed", "key": row.Key}).Warn("deleting malformed row of a refused request")
			obsolete, found = row, true
			continue
		}
		age := max(0, s.now().Sub(req.Seen))
		if age >= s.syncer.table.Retention() {
			obsolete, found = row, true
			continue
		}
		if s.stored[fingerprint] {
			if s.syncer.summaryOf(s.now(), fingerprint).crashes == 0 {
				obsolete, found = row, true
			}
			continue
		}
		s.stored[fingerprint] = true
		known := s.syncer.summaryOf(s.now(), fingerprint).crashes > 0
		var reports []CrashReport
		for _, crash := range req.Crashes {
			r := CrashReport{Account: req.Account, Fingerprint: fingerprint, Part: req.Part, Crash: crash, Age: age}
			if req.Part != "" && !known {
				r.Trials, r.TrialAge = storedTrials, age
			}
			reports = append(reports, r)
		}
		s.syncer.apply("table", reports)
		// Only a few VMs list the table. They report the request to the others as if they had seen it themselves.
		s.syncer.table.MarkObserved(fingerprint)
	}
	return obsolete, found
}

// decodeRow returns the fingerprint and the request that a row holds.
func (s *Store) decodeRow(row platform.Row) (uint64, storedRequest, error) {
	fingerprint, err := strconv.ParseUint(strings.TrimPrefix(row.Key, s.prefix), 16, 64)
	if err != nil {
		return 0, storedRequest{}, errors.Wrap(err, "parse row key")
	}
	var req storedRequest
	if err := json.Unmarshal(row.Value, &req); err != nil {
		return 0, storedRequest{}, errors.Wrap(err, "decode row value")
	}
	return fingerprint, req, nil
}

// nextUnstored returns a refused request that has no row yet and that this VM has to write. Of lost rows only the VMs that list
// the table know: each of them writes them.
func (s *Store) nextUnstored() (uint64, storedRequest, bool) {
	members := s.syncer.members()
	for fingerprint, reports := range s.syncer.reportsByRequest() {
		if !s.syncer.table.Refused(s.now(), fingerprint) || s.stored[fingerprint] || !s.lost[fingerprint] && !s.syncer.shouldStore(members, fingerprint) {
			continue
		}
		last := reports[len(reports)-1]
		req := storedRequest{Account: last.Account, Part: last.Part, Seen: s.now().Add(-last.Age)}
		for _, r := range reports {
			if !r.Cleared {
				req.Crashes = append(req.Crashes, r.Crash)
			}
		}
		return fingerprint, req, true
	}
	return 0, storedRequest{}, false
}

// shouldStore reports whether this VM writes the row of a refused request: it is the first home of the request, or a call to
// that home has failed recently.
func (s *Syncer) shouldStore(members []membership.Member, fingerprint uint64) bool {
	homes := homesOf(members, fingerprint)
	if len(homes) == 0 || homes[0] == s.self {
		return true
	}
	home := slices.IndexFunc(members, func(m membership.Member) bool { return m.ID == homes[0] })
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.lastFailure[peerIncarnation{homes[0], members[home].Incarnation}]) < 2*syncRetryDelay
}

// write writes the row of a refused request.
func (s *Store) write(ctx context.Context, fingerprint uint64, req storedRequest) {
	value, err := json.Marshal(req)
	if err != nil {
		s.syncer.log.WithError(err).WithField("event", "suspect_not_stored").Error("could not encode refused request")
		return
	}
	key := s.prefix + FormatFingerprint(fingerprint)
	err = s.commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: key}},
		Writes:     []platform.Write{{Key: key, Value: value}},
	})
	// A conflict means that the row exists already, with the same content.
	if err == nil || errors.Is(err, platform.ErrConflict) {
		s.stored[fingerprint] = true
		delete(s.lost, fingerprint)
		s.syncer.log.WithFields(logrus.Fields{"event": "suspect_stored", "fingerprint": FormatFingerprint(fingerprint)}).Info("refused request is stored")
		return
	}
	s.syncer.log.WithError(err).WithFields(logrus.Fields{"event": "suspect_not_stored", "fingerprint": FormatFingerprint(fingerprint)}).Warn("could not store refused request")
}

// deleteRow deletes a row.
func (s *Store) deleteRow(ctx context.Context, obsolete platform.Row) {
	err := s.commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: obsolete.Key, Version: obsolete.Version}},
		Writes:     []platform.Write{{Key: obsolete.Key, Delete: true}},
	})
	if err == nil || errors.Is(err, platform.ErrConflict) {
		s.deleted[obsolete.Key] = obsolete.Version
	} else {
		s.syncer.log.WithError(err).WithFields(logrus.Fields{"event": "suspect_row_kept", "key": obsolete.Key}).Warn("could not delete row of a refused request")
	}
}

// commit applies a transaction under a new attempt ID.
func (s *Store) commit(ctx context.Context, txn platform.Txn) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	txn.Attempt = uuid.NewString()
	_, err := s.rows.Commit(ctx, txn)
	return err
}
