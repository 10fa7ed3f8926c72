// Package wire defines the URL paths and JSON messages of the platform's services.
package wire

import "github.com/mallowlink/mallowlink/pkg/platform"

// URL paths of the services.
const (
	RowPath     = "/v1/row"
	RowsPath    = "/v1/rows"
	CommitPath  = "/v1/commit"
	ObjectsPath = "/v1/objects/"
	VMsPath     = "/v1/vms"
)

// Query parameters of RowPath and RowsPath.
const (
	KeyParam    = "key"
	PrefixParam = "prefix"
)

// Row is a row of the table. In JSON, Value is encoded in base64.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Attempt string `json:"attempt"`
	Value   []byte `json:"value"`
}

// Rows is the response to a request for RowsPath.
type Rows struct {
	Rows []Row `json:"rows"`
}

// Condition requires that a row has the given version. Version 0 requires that the row is absent.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets or deletes one row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is the request to commit a transaction.
type Txn struct {
	Attempt    string      `json:"attempt"`
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes,omitempty"`
}

// Committed is the response to a transaction that was applied.
type Committed struct {
	Version uint64 `json:"version"`
}

// VM is an entry of the list of VMs.
type VM struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	PeerAddress   string `json:"peer_address"`
	Leaving       bool   `json:"leaving,omitempty"`
}

// VMs is the response to a request for VMsPath.
type VMs struct {
	VMs []VM `json:"vms"`
}

// FromTxn converts a transaction to its message.
func FromTxn(txn platform.Txn) Txn {
	out := Txn{Attempt: txn.Attempt}
	for _, c := range txn.Conditions {
		out.Conditions = append(out.Conditions, Condition(c))
	}
	for _, w := range txn.Writes {
		out.Writes = append(out.Writes, Write(w))
	}
	return out
}

// Txn converts the message to the transaction.
func (t Txn) Txn() platform.Txn {
	out := platform.Txn{Attempt: t.Attempt}
	for _, c := range t.Conditions {
		out.Conditions = append(out.Conditions, platform.Condition(c))
	}
	for _, w := range t.Writes {
		out.Writes = append(out.Writes, platform.Write(w))
	}
	return out
}
