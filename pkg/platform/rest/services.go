package rest

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/go-faster/errors"

	"github.com/mallowlink/mallowlink/pkg/platform"
	"github.com/mallowlink/mallowlink/pkg/platform/rest/wire"
)

// Table is a client of the platform's table service.
type Table struct{ client *client }

// NewTable returns a client of the table service at the base URL.
func NewTable(base string, opts Options) *Table {
	return &Table{client: newClient("table", base, opts)}
}

var _ platform.Table = (*Table)(nil)

// Get returns one row, or platform.ErrNotFound.
func (t *Table) Get(ctx context.Context, key string) (platform.Row, error) {
	op := operation{method: http.MethodGet, path: wire.RowPath, query: url.Values{wire.KeyParam: {key}}}
	body, err := t.client.do(ctx, op)
	if err != nil {
		return platform.Row{}, err
	}
	var row wire.Row
	if err := decode(op, body, &row); err != nil {
		return platform.Row{}, err
	}
	return platform.Row(row), nil
}

// List returns the rows whose keys begin with prefix, in key order.
func (t *Table) List(ctx context.Context, prefix string) ([]platform.Row, error) {
	op := operation{method: http.MethodGet, path: wire.RowsPath, query: url.Values{wire.PrefixParam: {prefix}}}
	body, err := t.client.do(ctx, op)
	if err != nil {
		return nil, err
	}
	var rows wire.Rows
	if err := decode(op, body, &rows); err != nil {
		return nil, err
	}
	out := make([]platform.Row, len(rows.Rows))
	for i, row := range rows.Rows {
		out[i] = platform.Row(row)
	}
	return out, nil
}

// Commit applies a transaction and returns the version assigned to the rows that it wrote.
func (t *Table) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	body, err := json.Marshal(wire.FromTxn(txn))
	if err != nil {
		return 0, errors.Wrap(err, "encode transaction")
	}
	op := operation{
		method: http.MethodPost,
		path:   wire.CommitPath,
		header: http.Header{"Content-Type": {"application/json"}},
		body:   body,
		write:  true,
	}
	response, err := t.client.do(ctx, op)
	if err != nil {
		return 0, err
	}
	var committed wire.Committed
	if err := decode(op, response, &committed); err != nil {
		return 0, err
	}
	return committed.Version, nil
}

// ObjectStore is a client of the platform's object store.
type ObjectStore struct{ client *client }

// NewObjectStore returns a client of the object store at the base URL.
func NewObjectStore(base string, opts Options) *ObjectStore {
	return &ObjectStore{client: newClient("objects", base, opts)}
}

var _ platform.ObjectStore = (*ObjectStore)(nil)

// Get returns an object, or platform.ErrNotFound.
func (s *ObjectStore) Get(ctx context.Context, name string) ([]byte, error) {
	return s.client.do(ctx, operation{method: http.MethodGet, path: objectPath(name)})
}

// PutIfAbsent stores an object unless it exists, in which case it returns platform.ErrConflict.
func (s *ObjectStore) PutIfAbsent(ctx context.Context, name string, data []byte) error {
	_, err := s.client.do(ctx, operation{
		method: http.MethodPut,
		path:   objectPath(name),
		header: http.Header{"If-None-Match": {"*"}},
		body:   data,
		write:  true,
	})
	return err
}

func objectPath(name string) string { return wire.ObjectsPath + url.PathEscape(name) }

// VMLister is a client of the platform's list of VMs.
type VMLister struct{ client *client }

// NewVMLister returns a client of the list of VMs at the base URL.
func NewVMLister(base string, opts Options) *VMLister {
	return &VMLister{client: newClient("vms", base, opts)}
}

var _ platform.VMLister = (*VMLister)(nil)

// ListVMs returns the list, which may be out of date.
func (l *VMLister) ListVMs(ctx context.Context) ([]platform.VM, error) {
	op := operation{method: http.MethodGet, path: wire.VMsPath}
	body, err := l.client.do(ctx, op)
	if err != nil {
		return nil, err
	}
	var vms wire.VMs
	if err := decode(op, body, &vms); err != nil {
		return nil, err
	}
	out := make([]platform.VM, len(vms.VMs))
	for i, vm := range vms.VMs {
		out[i] = platform.VM(vm)
	}
	return out, nil
}

// Generation implements platform.Table. The service has no generations.
func (t *Table) Generation() uint64 { return 0 }
