package rollout

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/bundle/delta"
	"github.com/mallowlink/mallowlink/pkg/platform"
)

// Names in the platform's services.
const (
	// PointerKey is the row that points to the bundle in force.
	PointerKey = "bundle/current"
	// historyPrefix precedes the version in the row that a version leaves behind for good.
	historyPrefix = "bundle/version/"
	// objectPrefix precedes the SHA-256 of an envelope in the object store.
	objectPrefix = "bundle/"
	// deltaPrefix precedes the same for the delta from the previous version.
	deltaPrefix = "bundle-delta/"
)

// HistoryKept is the number of versions whose history rows are kept.
const HistoryKept = 1000

// Pointer names an accepted bundle.
type Pointer struct {
	Version uint64 `json:"version"`
	// Hash is the SHA-256 of the canonical text, Previous that of the version before.
	Hash     string `json:"hash"`
	Previous string `json:"previous,omitempty"`
	// Object is the SHA-256 of the envelope.
	Object   string    `json:"object"`
	Accepted time.Time `json:"accepted"`
	// By names the operator who applied it.
	By string `json:"by,omitempty"`
}

// Store reads and writes bundles in the platform's services.
type Store struct {
	Table   platform.Table
	Objects platform.ObjectStore
}

// Pointer returns the pointer to the bundle in force. It fails with platform.ErrNotFound before the
// first bundle.
func (s Store) Pointer(ctx context.Context) (Pointer, error) {
	p, _, err := s.pointerRow(ctx)
	return p, err
}

func (s Store) pointerRow(ctx context.Context) (Pointer, platform.Row, error) {
	row, err := s.Table.Get(ctx, PointerKey)
	if err != nil {
		return Pointer{}, platform.Row{}, errors.Wrap(err, "read bundle pointer")
	}
	p, err := parsePointer(row)
	return p, row, err
}

func parsePointer(row platform.Row) (Pointer, error) {
	var p Pointer
	if err := json.Unmarshal(row.Value, &p); err != nil {
		return Pointer{}, errors.Wrapf(err, "row %s", row.Key)
	}
	return p, nil
}

func historyKey(version uint64) string { return fmt.Sprintf("%s%012d", historyPrefix, version) }

// History returns the accepted versions that are kept, oldest first.
func (s Store) History(ctx context.Context) ([]Pointer, error) {
	rows, err := s.Table.List(ctx, historyPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "read bundle history")
	}
	pointers := make([]Pointer, 0, len(rows))
	for _, row := range rows {
		p, err := parsePointer(row)
		if err != nil {
			return nil, err
		}
		pointers = append(pointers, p)
	}
	return pointers, nil
}

// Version returns the pointer to one accepted version.
func (s Store) Version(ctx context.Context, version uint64) (Pointer, error) {
	row, err := s.Table.Get(ctx, historyKey(version))
	if err != nil {
		return Pointer{}, errors.Wrapf(err, "bundle version %d", version)
	}
	return parsePointer(row)
}

// Envelope returns the envelope that the pointer names.
func (s Store) Envelope(ctx context.Context, p Pointer) ([]byte, error) {
	data, err := s.Objects.Get(ctx, objectPrefix+p.Object)
	if err != nil {
		return nil, errors.Wrapf(err, "bundle version %d", p.Version)
	}
	if bundle.Hash(data) != p.Object {
		return nil, errors.Errorf("bundle version %d: object is not the one that the pointer names", p.Version)
	}
	return data, nil
}

// Bundle returns the bundle that the pointer names, without verifying its signatures.
func (s Store) Bundle(ctx context.Context, p Pointer) (*bundle.Bundle, *bundle.Envelope, error) {
	data, err := s.Envelope(ctx, p)
	if err != nil {
		return nil, nil, err
	}
	e, err := bundle.ParseEnvelope(data)
	if err != nil {
		return nil, nil, err
	}
	b, err := e.Bundle()
	return b, e, err
}

// Change leads from one bundle to a later one.
type Change struct {
	// From and To are the SHA-256 of the canonical texts.
	From string `json:"from"`
	To   string `json:"to"`
	// Head is the head of the later bundle's envelope.
	Head  []byte `json:"head"`
	Delta []byte `json:"delta"`
}

// newChange returns the change from one envelope to another, whose texts have the given hashes.
func newChange(from *bundle.Envelope, fromHash string, to *bundle.Envelope, toHash string) Change {
	return Change{
		From:  fromHash,
		To:    toHash,
		Head:  to.MarshalHead(),
		Delta: delta.Make(from.Body, to.Body),
	}
}

// apply returns the later bundle's envelope. The caller verifies it.
func (c Change) apply(from *bundle.Envelope) (*bundle.Envelope, error) {
	body, err := delta.Apply(from.Body, c.Delta, bundle.MaxBytes)
	if err != nil {
		return nil, err
	}
	to, err := bundle.ParseEnvelope(c.Head)
	if err != nil {
		return nil, err
	}
	to.Body = body
	if to.Hash() != c.To {
		return nil, errors.Wrap(delta.ErrMalformed, "result has another hash")
	}
	return to, nil
}

func (s Store) change(ctx context.Context, p Pointer) (Change, error) {
	var c Change
	data, err := s.Objects.Get(ctx, deltaPrefix+p.Object)
	if err != nil {
		return c, errors.Wrapf(err, "delta to bundle version %d", p.Version)
	}
	if err := json.Unmarshal(data, &c); err != nil {
		return c, errors.Wrapf(err, "delta to bundle version %d", p.Version)
	}
	return c, nil
}
