// Package platform declares the services that the platform provides to mallowlink:
// a transactional table, an object store and a list of VMs that may be out of date.
// Package rest implements HTTP clients of these services.
package platform

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Errors that every implementation of the interfaces below returns, possibly wrapped.
var (
	// ErrNotFound means that the row or object does not exist.
	ErrNotFound = errors.New("platform: not found")
	// ErrConflict means that a condition of the transaction did not hold, or that the object already
	// exists; nothing was written.
	ErrConflict = errors.New("platform: conflict")
	// ErrUnavailable means that the service refused the operation or could not be reached; nothing was
	// written.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrUnknown means that the response was lost: the write may or may not have taken effect.
	// To find out, read the row back and compare Row.Attempt.
	ErrUnknown = errors.New("platform: outcome unknown")
)

// Row is one row of the table service.
type Row struct {
	Key string
	// Version increases with every write of any row of the table, and with the generation of the service. It is never
	// reused. See VersionIn.
	Version uint64
	// Attempt is the Txn.Attempt of the transaction that wrote this version.
	Attempt string
	Value   []byte
}

// Condition requires that a row has exactly the given Version when the transaction commits.
// Version 0 requires that the row is absent.
type Condition struct {
	Key     string
	Version uint64
}

// Write sets or deletes one row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Txn is an atomic conditional write.
type Txn struct {
	// Attempt uniquely identifies this attempt to commit. It is stored with every row that the
	// transaction writes.
	Attempt    string
	Conditions []Condition
	Writes     []Write
}

// Table is the platform's transactional table service.
type Table interface {
	// Get returns one row, or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// List returns the rows whose keys begin with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies txn atomically and returns the version assigned to the rows that it wrote.
	// It fails with ErrConflict, ErrUnavailable or ErrUnknown. Conditions on versions of an earlier generation do
	// not hold.
	Commit(ctx context.Context, txn Txn) (uint64, error)
	// Generation returns the generation of the service as of its last response, and 0 before that and for a service
	// without generations.
	Generation() uint64
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, name string) ([]byte, error)
	// PutIfAbsent stores the object unless it exists, in which case it returns ErrConflict.
	PutIfAbsent(ctx context.Context, name string, data []byte) error
}

// VM is one entry of the platform's list of VMs.
type VM struct {
	ID            string
	FailureDomain string
	// PeerAddress is the host and port on which the VM accepts calls from other VMs.
	PeerAddress string
	// Leaving reports whether the platform is about to stop the VM.
	Leaving bool
}

// VMLister reads the platform's list of VMs.
type VMLister interface {
	// ListVMs returns the list. Recent changes of the fleet may be missing from it.
	ListVMs(ctx context.Context) ([]VM, error)
}

// ErrCompacted means that a feed no longer retains all changes after the requested position. Take a
// new snapshot instead.
var ErrCompacted = errors.New("platform: changes are no longer held")

// Change is one change of a row, as reported by a Feed.
type Change struct {
	Row
	// Removed reports whether the row was deleted. If so, Value is empty.
	Removed bool
}

// Feed follows the rows of one table. A position in the feed is a version: the positions that
// Snapshot and Changes return can be compared with Row.Version.
type Feed interface {
	// Snapshot returns all rows and the position at which they were read.
	Snapshot(ctx context.Context) ([]Row, uint64, error)
	// Changes returns the changes after a position and the position from which to continue. If there
	// are none, Changes waits for one, for at most the duration wait. Changes fails with ErrCompacted
	// or ErrUnavailable. A position of an earlier generation is compacted.
	Changes(ctx context.Context, after uint64, wait time.Duration) ([]Change, uint64, error)
}
