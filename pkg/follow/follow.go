// Package follow keeps local copies of the platform's tables up to date. A feed returns all rows of a
// table (a snapshot) or the changes since a position; a Follower polls it in the background, a Mirror
// reads it on demand.
package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/platform"
)

// Config describes the table that a Follower copies.
type Config struct {
	// Name is the name of the table in logs.
	Name string
	Feed platform.Feed
	// Wait is how long one call waits for a change (long polling). Pause is the time between two calls;
	// a pause bounds the number of calls for a table that changes all the time.
	Wait, Pause time.Duration
	// Timeout returns the bound of a call, in addition to Wait; zero for no bound other than that of Feed. While calls exceed it,
	// it doubles, up to maxTimeout. A nil function stands for no bound.
	Timeout func() time.Duration
	// OnChange is called after something has changed, with all rows by key and the table position to which they
	// belong. It must not keep the map.
	OnChange func(rows map[string]platform.Row, position uint64)
	Log      logrus.FieldLogger
}

const (
	// initialBackoff is the mean delay before a failed call is repeated. The delay doubles with each
	// further failure, up to maxBackoff.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 800 * time.Millisecond
	maxTimeout     = 10 * time.Second
	// confirmDivisor shortens the wait of the call that follows a response with changes, to Wait/confirmDivisor.
	// Such a response confirms only that the copy was current when its call was sent, so the next
	// confirmation should come soon.
	confirmDivisor = 4
	// maxStale is how long responses of an earlier state of the table are refused. A table that goes back for longer has been
	// created anew.
	maxStale = 10 * time.Second
)

// errStale says that a response shows an earlier state of the table than one before.
var errStale = errors.Wrap(platform.ErrUnavailable, "the response is older than an earlier one")

// Follower keeps a copy of one table up to date.
type Follower struct {
	cfg  Config
	rows map[string]platform.Row
	// position is the table position after which the next call asks for changes. hasPosition is false until a
	// snapshot has given one.
	position    uint64
	hasPosition bool
	// lastHadChanges says that the last response contained changes, hasResponse that the last call of this run had a
	// response.
	lastHadChanges, hasResponse bool
	// staleSince is when the first of the last responses came that were of an earlier state of the table; zero if the last one
	// was not.
	staleSince time.Time
	// timeout is the time limit of the next call, without its wait.
	timeout time.Duration

	mu sync.Mutex
	// The fields below are guarded by mu.

	confirmed time.Time
	// delivered is the value of confirmed when OnChange last returned, or a later one if nothing has changed since.
	delivered   time.Time
	downSince   time.Time
	up          bool
	recoveredAt time.Time
	failedAt    time.Time
}

// New returns a Follower that has no rows yet. Run starts it.
func New(cfg Config) *Follower {
	return &Follower{cfg: cfg, rows: map[string]platform.Row{}}
}

// Confirmed returns the time at which the copy is last known to have been current, or zero before the
// first response.
func (f *Follower) Confirmed() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmed
}

// Delivered returns the time at which the rows that were passed to OnChange are last known to have been current, or zero before
// the first response.
func (f *Follower) Delivered() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.delivered
}

// RecoveredAt returns when the table last began to respond again after an outage, or zero if there was no
// outage.
func (f *Follower) RecoveredAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.recoveredAt
}

// FailedAt returns when the last call that failed was sent, or zero if none has failed.
func (f *Follower) FailedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failedAt
}

// Run keeps the copy up to date until ctx ends. It may be called again after it has returned.
func (f *Follower) Run(ctx context.Context) {
	defer f.forgetOutage()
	backoff := initialBackoff
	f.hasResponse, f.timeout = false, 0
	for ctx.Err() == nil {
		sent := time.Now()
		err := f.poll(ctx)
		f.hasResponse = err == nil
		switch {
		case err == nil:
			backoff = initialBackoff
			clock.Sleep(ctx, f.cfg.Pause)
		case errors.Is(err, platform.ErrCompacted):
			f.hasPosition = false
			f.cfg.Log.WithFields(logrus.Fields{"event": "feed_compacted", "table": f.cfg.Name, "position": f.position}).Warn("feed no longer has the changes after the position; taking a new snapshot")
		case ctx.Err() == nil:
			f.markDown(sent, err)
			clock.Sleep(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// poll makes one call: for a snapshot if there is no position, else for changes.
func (f *Follower) poll(ctx context.Context) error {
	sent := clock.Now()
	if !f.hasPosition {
		var rows []platform.Row
		var position uint64
		err := f.limit(ctx, 0, func(ctx context.Context) (err error) {
			rows, position, err = f.cfg.Feed.Snapshot(ctx)
			return err
		})
		if err == nil {
			err = f.refuseStale(position)
		}
		if err != nil {
			return err
		}
		f.replace(rows)
		f.position, f.hasPosition = position, true
		f.markUp(sent)
		f.cfg.OnChange(f.rows, f.position)
		f.markDelivered()
		return nil
	}
	wait := f.cfg.Wait
	switch {
	case !f.hasResponse:
		// Nothing confirms the copy yet, or any more.
		wait = 0
	case f.lastHadChanges:
		wait /= confirmDivisor
	}
	var changes []platform.Change
	var position uint64
	err := f.limit(ctx, wait, func(ctx context.Context) (err error) {
		changes, position, err = f.cfg.Feed.Changes(ctx, f.position, wait)
		return err
	})
	if err == nil {
		err = f.refuseStale(position)
	}
	if err != nil {
		return err
	}
	f.lastHadChanges = len(changes) > 0
	f.position = position
	f.apply(changes)
	f.markUp(confirmedUntil(sent, time.Now(), wait, len(changes)))
	if len(changes) > 0 {
		f.cfg.OnChange(f.rows, f.position)
	}
	f.markDelivered()
	return nil
}

// limit makes a call that waits for changes for some time within the time limit, and adapts the limit.
func (f *Follower) limit(ctx context.Context, wait time.Duration, call func(context.Context) error) error {
	if f.cfg.Timeout == nil || f.cfg.Timeout() == 0 {
		return call(ctx)
	}
	shortest := f.cfg.Timeout()
	f.timeout = max(f.timeout, shortest)
	limited, cancel := context.WithTimeout(ctx, wait+f.timeout)
	defer cancel()
	err := call(limited)
	switch {
	case err == nil:
		f.timeout = max(f.timeout/2, shortest)
	case limited.Err() != nil:
		f.timeout = min(2*f.timeout, maxTimeout)
	}
	return err
}

// refuseStale returns an error if a response shows an earlier state of the table, in the same generation, than the rows that are
// known: it neither replaces nor confirms them.
func (f *Follower) refuseStale(position uint64) error {
	if position >= f.position || platform.GenerationOf(position) != platform.GenerationOf(f.position) {
		f.staleSince = time.Time{}
		return nil
	}
	if f.staleSince.IsZero() {
		f.staleSince = time.Now()
	}
	if time.Since(f.staleSince) < maxStale {
		return errStale
	}
	f.position, f.hasPosition, f.staleSince = 0, false, time.Time{}
	return errStale
}

// markDelivered records that OnChange has got all changes up to the last response.
func (f *Follower) markDelivered() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delivered = f.confirmed
}

// confirmedUntil returns the time at which a call's response confirms the copy as current. That is when the call was
// sent. For a response without changes that took at least the requested wait, it is the end of that wait.
func confirmedUntil(sent, now time.Time, wait time.Duration, changes int) time.Time {
	if changes == 0 && now.Sub(sent) >= wait {
		return sent.Add(wait)
	}
	return sent
}

func (f *Follower) replace(rows []platform.Row) {
	clear(f.rows)
	for _, row := range rows {
		f.rows[row.Key] = row
	}
}

func (f *Follower) apply(changes []platform.Change) {
	for _, change := range changes {
		if change.Removed {
			delete(f.rows, change.Key)
			continue
		}
		f.rows[change.Key] = change.Row
	}
}

// markUp records that the table has responded, and that the copy was current at the time confirmed.
func (f *Follower) markUp(confirmed time.Time) {
	f.mu.Lock()
	wasUp := f.up
	down := f.downSince
	f.confirmed = confirmed
	f.up = true
	if !down.IsZero() {
		f.recoveredAt = time.Now()
		f.downSince = time.Time{}
	}
	f.mu.Unlock()
	if !wasUp {
		entry := f.cfg.Log.WithFields(logrus.Fields{"event": "feed_up", "table": f.cfg.Name, "rows": len(f.rows), "position": f.position})
		if !down.IsZero() {
			entry = entry.WithField("down", time.Since(down).Round(time.Millisecond))
		}
		entry.Info("table feed responds")
	}
}

// forgetOutage forgets an outage that has not ended: nothing is known about the table while it is not polled.
func (f *Follower) forgetOutage() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.downSince, f.up = time.Time{}, false
}

// markDown records that the table has not responded to a call.
func (f *Follower) markDown(sent time.Time, err error) {
	f.mu.Lock()
	f.failedAt = sent
	first := f.downSince.IsZero()
	if first {
		f.downSince = time.Now()
	}
	f.up = false
	f.mu.Unlock()
	if first {
		f.cfg.Log.WithFields(logrus.Fields{"event": "feed_down", "table": f.cfg.Name, "error": err.Error()}).Warn("table feed does not respond")
	}
}
