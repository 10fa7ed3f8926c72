// Package ledger keeps the at-most-once records of non-idempotent requests: one row of the
// platform's table for each client account, route and Idempotency-Key.
//
// Invariant: while an attempt may be queued or run at an owner, the row names that attempt and that
// owner. It is written before the attempt is dispatched, and every change of it is conditional on
// the version that the writer has read. So a VM that reads the row, has the named owner prove that
// the named attempt has not run and never will, and then replaces the row at the version that it
// read, knows that no other attempt runs.
package ledger

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/mallowlink/mallowlink/pkg/work"
)

const (
	// Prefix precedes the keys of all records.
	Prefix = "ledger/"
	// MaxResponseBytes bounds the response body kept with a record. Of a response with a larger body only
	// the status and the header are recorded, and a repeat is told that the request has run.
	MaxResponseBytes = 64 << 10
	// AnsweredLifetime is how long the record of a request with a recorded response is kept.
	AnsweredLifetime = 24 * time.Hour
	// UnresolvedLifetime is how long the record of a request with an unknown outcome is kept.
	UnresolvedLifetime = 7 * 24 * time.Hour
)

// Key identifies a record. It must not be logged: the Idempotency-Key (Name) is private to the caller.
type Key struct {
	Account string
	Route   string
	Name    string
}

// rowKey returns the key of the table row: Prefix, the shard by which the sweeper lists records, and a
// hash.
func (k Key) rowKey() string {
	h := sha256.New()
	for _, part := range []string{k.Account, k.Route, k.Name} {
		sum := sha256.Sum256([]byte(part))
		h.Write(sum[:])
	}
	digest := hex.EncodeToString(h.Sum(nil))
	return shardPrefix(digest[:2]) + digest
}

func shardPrefix(shard string) string { return Prefix + shard + "/" }

// Holder names the attempt that a record stands for, and the owner to which it is dispatched.
type Holder struct {
	Attempt work.AttemptID `json:"attempt"`
	Group   string         `json:"group"`
	// Owner is the VM and incarnation that work.Directory names; empty if none was known.
	Owner string `json:"owner"`
}

// Response is a recorded response.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Dropped is true if the body was too large to be kept.
	Dropped bool `json:"dropped,omitempty"`
}

// record is the JSON value of a table row.
type record struct {
	Holder   Holder    `json:"holder"`
	BodyHash string    `json:"body_hash"`
	Written  time.Time `json:"written"`
	// Response is nil until the request is known to have been answered.
	Response *Response `json:"answer,omitempty"`
}

func (r record) expired(now time.Time) bool {
	lifetime := UnresolvedLifetime
	if r.Response != nil {
		lifetime = AnsweredLifetime
	}
	return now.Sub(r.Written) > lifetime
}

func (r record) encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	return data, nil
}

func decode(data []byte) (record, error) {
	var r record
	if err := json.Unmarshal(data, &r); err != nil {
		return record{}, errors.Wrap(err, "decode record")
	}
	return r, nil
}

// withoutLargeBody returns the response, without its body if that is larger than MaxResponseBytes.
func (a Response) withoutLargeBody() Response {
	if len(a.Body) > MaxResponseBytes {
		return Response{Status: a.Status, Header: a.Header, Dropped: true}
	}
	return a
}
