package rollout

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/platform"
)

// readBackPause is the time between two looks at a write whose reply was lost.
const readBackPause = 200 * time.Millisecond

// readBackTries bounds the looks at a write whose reply was lost.
const readBackTries = 10

// ConflictError says that another bundle is in force than the one that the new bundle follows. It
// wraps platform.ErrConflict.
type ConflictError struct {
	// Current names the bundle in force; it is the zero value if there is none.
	Current Pointer
	// Difference leads from the bundle in force to the refused one.
	Difference string
}

// Error names the bundle in force and the difference.
func (e *ConflictError) Error() string {
	if e.Current.Version == 0 {
		return "conflict: no bundle is in force, and the first has version 1"
	}
	return fmt.Sprintf("conflict: version %d (%s) is in force, applied by %q at %s; from it to yours:\n%s",
		e.Current.Version, e.Current.Hash, e.Current.By, e.Current.Accepted.Format(time.RFC3339), e.Difference)
}

// Unwrap returns platform.ErrConflict.
func (e *ConflictError) Unwrap() error { return platform.ErrConflict }

// Acceptance is what an operator asks to accept.
type Acceptance struct {
	Trust    bundle.Trust
	Envelope []byte
	// By names the operator.
	By  string
	Now time.Time
}

// Accept verifies a bundle and makes it the one in force, by one conditional write. Accepting the
// bundle in force again is not an error. It fails with a *ConflictError if the bundle does not
// follow the one in force, and with platform.ErrUnknown if the write's effect cannot be found out.
func (s Store) Accept(ctx context.Context, a Acceptance) (Pointer, error) {
	b, e, err := a.Trust.Open(a.Envelope)
	if err != nil {
		return Pointer{}, err
	}
	current, row, err := s.pointerRow(ctx)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return Pointer{}, err
	}
	if current.Hash == e.Hash() {
		return current, nil
	}
	if current.Version+1 != b.Version || current.Hash != b.Previous {
		return Pointer{}, s.conflict(ctx, current, b)
	}
	p := Pointer{
		Version:  b.Version,
		Hash:     e.Hash(),
		Previous: b.Previous,
		Object:   bundle.Hash(a.Envelope),
		Accepted: a.Now.UTC(),
		By:       a.By,
	}
	if err := s.upload(ctx, p, current, e, a.Envelope); err != nil {
		return Pointer{}, err
	}
	return s.commit(ctx, p, row, b)
}

// upload puts the envelope into the object store, and the delta from the bundle in force if that
// one is still there.
func (s Store) upload(ctx context.Context, p, current Pointer, e *bundle.Envelope, data []byte) error {
	if err := s.put(ctx, objectPrefix+p.Object, data); err != nil {
		return errors.Wrap(err, "store bundle")
	}
	before, err := s.Envelope(ctx, current)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	from, err := bundle.ParseEnvelope(before)
	if err != nil {
		return err
	}
	change, err := json.Marshal(newChange(from, current.Hash, e, p.Hash))
	if err != nil {
		return errors.Wrap(err, "encode delta")
	}
	if err := s.put(ctx, deltaPrefix+p.Object, change); err != nil {
		return errors.Wrap(err, "store delta")
	}
	return nil
}

// put stores an object whose name follows from its contents, so that one that is there is the same.
func (s Store) put(ctx context.Context, name string, data []byte) error {
	err := s.Objects.PutIfAbsent(ctx, name, data)
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	if errors.Is(err, platform.ErrUnknown) {
		_, err = s.Objects.Get(ctx, name)
	}
	return err
}

func (s Store) commit(ctx context.Context, p Pointer, row platform.Row, b *bundle.Bundle) (Pointer, error) {
	value, err := json.Marshal(p)
	if err != nil {
		return Pointer{}, errors.Wrap(err, "encode pointer")
	}
	txn := platform.Txn{
		Attempt:    uuid.NewString(),
		Conditions: []platform.Condition{{Key: PointerKey, Version: row.Version}, {Key: historyKey(p.Version)}},
		Writes:     []platform.Write{{Key: PointerKey, Value: value}, {Key: historyKey(p.Version), Value: value}},
	}
	if p.Version > HistoryKept {
		txn.Writes = append(txn.Writes, platform.Write{Key: historyKey(p.Version - HistoryKept), Delete: true})
	}
	_, err = s.Table.Commit(ctx, txn)
	if err == nil {
		return p, nil
	}
	if errors.Is(err, platform.ErrUnknown) {
		return s.readBack(ctx, p, txn.Attempt, b)
	}
	if errors.Is(err, platform.ErrConflict) {
		return Pointer{}, s.lostRace(ctx, b)
	}
	return Pointer{}, errors.Wrap(err, "accept bundle")
}

// readBack finds out whether the attempt took effect. The history row decides: whoever wrote it was
// accepted at that version.
func (s Store) readBack(ctx context.Context, p Pointer, attempt string, b *bundle.Bundle) (Pointer, error) {
	for range readBackTries {
		row, err := s.Table.Get(ctx, historyKey(p.Version))
		if err == nil && row.Attempt == attempt {
			return p, nil
		}
		if err == nil {
			return Pointer{}, s.lostRace(ctx, b)
		}
		if !clock.Sleep(ctx, readBackPause) {
			break
		}
	}
	return Pointer{}, errors.Wrapf(platform.ErrUnknown, "version %d is not in force yet, and may still come", p.Version)
}

func (s Store) lostRace(ctx context.Context, b *bundle.Bundle) error {
	current, err := s.Pointer(ctx)
	if err != nil {
		return errors.Wrap(platform.ErrConflict, "another bundle was accepted")
	}
	return s.conflict(ctx, current, b)
}

func (s Store) conflict(ctx context.Context, current Pointer, refused *bundle.Bundle) error {
	e := &ConflictError{Current: current}
	if current.Version == 0 {
		return e
	}
	inForce, _, err := s.Bundle(ctx, current)
	if err != nil {
		e.Difference = "(not shown: " + err.Error() + ")"
		return e
	}
	e.Difference = bundle.Diff(inForce, refused)
	return e
}
