// Package platform declares the services that the platform provides to mallowlink:
// a transactional table, an object store and a lagging list of VMs.
// Implementations that speak to them over HTTP are in package rest.
package platform

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Errors that every implementation in this package's subpackages returns, possibly wrapped.
var (
	// ErrNotFound says that the row or object does not exist.
	ErrNotFound = errors.New("platform: not found")
	// ErrConflict says that a condition of the transaction did not hold; nothing was written.
	ErrConflict = errors.New("platform: conflict")
	// ErrUnavailable says that the service refused or could not be reached; nothing was written.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrUnknown says that the reply was lost: the write may or may not have taken effect.
	// The caller reads the row back and compares Row.Attempt.
	ErrUnknown = errors.New("platform: outcome unknown")
)

// Row is one row of the table service.
type Row struct {
	Key string
	// Version increases with every write of any row of the table. It is never reused.
	Version uint64
	// Attempt is the identifier of the transaction that wrote this version.
	Attempt string
	Value   []byte
}

// Condition requires that a row is at exactly Version when the transaction commits.
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
	// Attempt identifies this attempt uniquely. It is stored with every row that it writes.
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
	// Commit applies txn and returns the version given to the rows that it wrote.
	// It fails with ErrConflict, ErrUnavailable or ErrUnknown.
	Commit(ctx context.Context, txn Txn) (uint64, error)
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
	// PeerAddress is the host and port on which the VM takes calls from other VMs.
	PeerAddress string
	// Leaving says that the platform is about to stop the VM.
	Leaving bool
}

// VMLister returns the platform's list of VMs. The list lags behind the truth.
type VMLister interface {
	ListVMs(ctx context.Context) ([]VM, error)
}

// ErrCompacted says that a feed no longer holds the changes after the position asked for. The caller
// takes a new snapshot.
var ErrCompacted = errors.New("platform: changes are no longer held")

// Change is a row as a feed reports it.
type Change struct {
	Row
	// Removed says that the row was deleted; Value is empty then.
	Removed bool
}

// Feed follows the rows of one table. Positions are versions: those of a snapshot and of changes can
// be compared with Row.Version.
type Feed interface {
	// Snapshot returns all rows and the position that they stand for.
	Snapshot(ctx context.Context) ([]Row, uint64, error)
	// Changes returns the changes after a position and the position that they lead to. If there are
	// none it waits for one, at most for wait. It fails with ErrCompacted or ErrUnavailable.
	Changes(ctx context.Context, after uint64, wait time.Duration) ([]Change, uint64, error)
}
