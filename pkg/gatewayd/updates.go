package gatewayd

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/relay"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

// updateApplier applies the updates that other VMs send to this VM's fleet view and stewards.
type updateApplier struct {
	view     *fleetView
	stewards *stewardSet
	log      logrus.FieldLogger

	mu sync.Mutex
	// entries are the current entries by topic and key, guarded by mu.
	entries map[relay.Topic]map[string][]byte
	// positions are the positions of the tables, by topic, whose entries were applied last, guarded by mu.
	positions map[relay.Topic]uint64
}

func newUpdateApplier(view *fleetView, s *stewardSet, log logrus.FieldLogger) *updateApplier {
	return &updateApplier{view: view, stewards: s, log: log, entries: map[relay.Topic]map[string][]byte{}, positions: map[relay.Topic]uint64{}}
}

// apply implements relay.Config.Apply.
func (a *updateApplier) apply(entries []relay.Entry, full bool, operator, endpoints time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	changed := a.storeEntries(entries, full)
	if position, moved := a.position(relay.Operator); changed[relay.Operator] || changed[relay.Kept] || moved {
		a.view.applyOperatorRows(a.entries[relay.Operator], position, a.keptRows())
	}
	if position, moved := a.position(relay.Endpoints); changed[relay.Endpoints] || moved {
		a.applyEndpoints(position, endpoints)
	}
	if changed[relay.Leases] || changed[relay.Stewards] {
		a.applyDirectory()
	}
	if changed[relay.VMs] {
		a.stewards.applyVMUpdates(a.entries[relay.VMs], time.Now())
	}
	a.view.confirm(operator, endpoints)
}

// storeEntries stores the entries and returns the topics that have changed. The caller holds a.mu.
func (a *updateApplier) storeEntries(entries []relay.Entry, full bool) map[relay.Topic]bool {
	changed := map[relay.Topic]bool{}
	if full {
		for topic := range a.entries {
			changed[topic] = true
		}
		clear(a.entries)
	}
	for _, e := range entries {
		changed[e.Topic] = true
		if a.entries[e.Topic] == nil {
			a.entries[e.Topic] = map[string][]byte{}
		}
		if e.Removed {
			delete(a.entries[e.Topic], e.Key)
			continue
		}
		a.entries[e.Topic][e.Key] = e.Value
	}
	return changed
}

// position returns the position of the table from which the entries of a topic were read, zero if it is not known, and whether it
// has changed since the last call. VMs of earlier builds do not state that of the operator's rows. The caller holds a.mu.
func (a *updateApplier) position(topic relay.Topic) (position uint64, moved bool) {
	key := string(topic)
	if data, known := a.entries[relay.Positions][key]; known && !a.decode(relay.Positions, key, data, &position) {
		position = 0
	}
	moved = position != a.positions[topic]
	a.positions[topic] = position
	return position, moved
}

// keptRows returns the keys of the operator's rows that the VM that sent them keeps although they are missing in the store. The
// caller holds a.mu.
func (a *updateApplier) keptRows() map[string]bool {
	kept := map[string]bool{}
	for key := range a.entries[relay.Kept] {
		kept[key] = true
	}
	return kept
}

// applyEndpoints applies the endpoint list, as read at a position of its table, which was current at the time confirmed. The caller holds a.mu.
func (a *updateApplier) applyEndpoints(position uint64, confirmed time.Time) {
	var list []roster.Endpoint
	for key, data := range a.entries[relay.Endpoints] {
		var e roster.Endpoint
		if !a.decode(relay.Endpoints, key, data, &e) {
			continue
		}
		list = append(list, e)
	}
	a.view.applyEndpoints(list, position, confirmed)
}

// applyDirectory applies the holders of the leases and the stewards. The caller holds a.mu.
func (a *updateApplier) applyDirectory() {
	d := lease.Directory{Holders: map[string]lease.Holder{}}
	for name, data := range a.entries[relay.Leases] {
		var holder lease.Holder
		if a.decode(relay.Leases, name, data, &holder) {
			d.Holders[name] = holder
		}
	}
	for id, data := range a.entries[relay.Stewards] {
		var vm lease.SessionVM
		if a.decode(relay.Stewards, id, data, &vm) {
			d.VMs = append(d.VMs, vm)
			d.SettledGeneration = max(d.SettledGeneration, vm.SettledGeneration)
		}
	}
	lease.SortVMs(d.VMs)
	a.stewards.setDirectory(d)
}

// decode decodes an entry. If the entry is malformed, it logs this and returns false.
func (a *updateApplier) decode(topic relay.Topic, key string, data []byte, to any) bool {
	if err := json.Unmarshal(data, to); err != nil {
		a.log.WithError(err).WithFields(logrus.Fields{"event": "news_malformed", "topic": topic, "key": key}).Warn("cannot decode an update from another VM")
		return false
	}
	return true
}
