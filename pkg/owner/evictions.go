package owner

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/endpoint"
	"github.com/mallowlink/mallowlink/pkg/platform"
)

const (
	// evictionPrefix is the key prefix of the rows that record eviction orders before they are sent.
	evictionPrefix = "eviction/"
	// evictionPollInterval is the time between two checks whether the former owners of pending evictions are
	// proven gone, and between two attempts to read the records.
	evictionPollInterval = time.Second
)

// evictionRecord is the stored value that records an eviction order. It is written before the order is
// sent, so the order may or may not have been sent.
type evictionRecord struct {
	VM          string                  `json:"vm"`
	Incarnation string                  `json:"incarnation"`
	Fencing     uint64                  `json:"fencing"`
	Endpoint    string                  `json:"endpoint"`
	Adapter     endpoint.AdapterVersion `json:"adapter"`
}

func (r *runner) evictionKey(l *link, adapter endpoint.AdapterVersion) string {
	return evictionPrefix + r.group + "/" + l.spec.Name + "/" + adapter.String()
}

// recordEviction stores the intent to evict. The order must not be sent unless this succeeds.
func (r *runner) recordEviction(ctx context.Context, l *link, adapter endpoint.AdapterVersion) error {
	record := evictionRecord{
		VM:          r.owner.cfg.VM,
		Incarnation: r.owner.cfg.Incarnation,
		Fencing:     r.grant.Fencing,
		Endpoint:    l.spec.Name,
		Adapter:     adapter,
	}
	value, err := json.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode eviction record")
	}
	return r.commitWrite(ctx, platform.Write{Key: r.evictionKey(l, adapter), Value: value})
}

// deleteEvictionRecord deletes the record of an order that the endpoint has responded to.
func (r *runner) deleteEvictionRecord(ctx context.Context, l *link, adapter endpoint.AdapterVersion) {
	err := r.commitWrite(ctx, platform.Write{Key: r.evictionKey(l, adapter), Delete: true})
	if err != nil {
		r.logOrder("eviction_record_kept", "eviction record deletion", l, adapter, err)
	}
}

func (r *runner) commitWrite(ctx context.Context, write platform.Write) error {
	txn := platform.Txn{Attempt: uuid.NewString(), Writes: []platform.Write{write}}
	_, err := r.owner.cfg.Table.Commit(ctx, txn)
	return err
}

// pendingEvictions returns the evictions that former owners ordered and that may still arrive at
// endpoints, if some endpoint of the group ignores fencing numbers.
func (r *runner) pendingEvictions() []pendingEviction {
	if !r.hasEndpointIgnoringFencing() {
		return nil
	}
	rows, ok := r.readEvictions()
	if !ok {
		return nil
	}
	return r.formerOwnerEvictions(rows)
}

// allowOnceProvenGone lets the scheduler use each adapter again once the VM that ordered its eviction is
// proven gone.
func (r *runner) allowOnceProvenGone(pending []pendingEviction) {
	for len(pending) > 0 {
		pending = r.allowProvenGone(pending)
		if !clock.Sleep(r.ctx, evictionPollInterval) {
			return
		}
	}
}

// readEvictions lists the group's eviction records and retries while the table is unavailable. It gives up
// after an error if the previous owner is proven gone, so that the group is not delayed.
func (r *runner) readEvictions() ([]platform.Row, bool) {
	for {
		ctx, cancel := context.WithTimeout(r.ctx, orderTimeout)
		rows, err := r.owner.cfg.Table.List(ctx, evictionPrefix+r.group+"/")
		cancel()
		if err == nil {
			return rows, true
		}
		if r.grant.PreviousProvenGone || !clock.Sleep(r.ctx, evictionPollInterval) {
			return nil, false
		}
	}
}

// pendingEviction is a former owner's eviction order that may still reach its endpoint.
type pendingEviction struct {
	key    string
	record evictionRecord
}

// formerOwnerEvictions returns the records written under earlier leases of the group, by their lower fencing
// numbers. Records that cannot be decoded are logged and skipped.
func (r *runner) formerOwnerEvictions(rows []platform.Row) []pendingEviction {
	var pending []pendingEviction
	for _, row := range rows {
		e := pendingEviction{key: row.Key}
		if err := json.Unmarshal(row.Value, &e.record); err != nil {
			r.owner.cfg.Log.WithFields(logrus.Fields{"event": "eviction_record_bad", "key": row.Key}).
				Error("cannot decode eviction record; ignoring it")
			continue
		}
		if e.record.Fencing < r.grant.Fencing {
			pending = append(pending, e)
		}
	}
	return pending
}

// allowProvenGone lets the scheduler use the adapters whose former owner is proven gone, and returns the
// other evictions.
func (r *runner) allowProvenGone(pending []pendingEviction) []pendingEviction {
	var kept, gone []pendingEviction
	for _, e := range pending {
		if r.owner.cfg.Members.Gone(e.record.VM, e.record.Incarnation) {
			gone = append(gone, e)
		} else {
			kept = append(kept, e)
		}
	}
	r.step(func(time.Time) {
		for _, e := range gone {
			r.sched.AllowAdapter(e.record.Endpoint, e.record.Adapter)
		}
	})
	r.deleteEvictionRecords(gone)
	return kept
}

// deleteEvictionRecords deletes the records of evictions that cannot arrive any more. It stops at the first
// error: the next owner reads and deletes the remaining records.
func (r *runner) deleteEvictionRecords(gone []pendingEviction) {
	ctx, cancel := context.WithTimeout(r.ctx, orderTimeout)
	defer cancel()
	for _, e := range gone {
		if err := r.commitWrite(ctx, platform.Write{Key: e.key, Delete: true}); err != nil {
			return
		}
	}
}
