package gatewayd

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/follow"
	"github.com/mallowlink/mallowlink/pkg/platform"
	"github.com/mallowlink/mallowlink/pkg/relay"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

const (
	// directoryReadInterval is the interval between two reads of the leases by a VM that is not a steward.
	directoryReadInterval = time.Second
	// lapseGrace is how long after an outage of the store an endpoint that is missing from the list is kept: its
	// row may have expired during the outage, and the endpoint may report again.
	lapseGrace = 2200 * time.Millisecond
)

// storeReader reads the platform's store for this VM and for the VMs that poll it, and publishes the rows in
// the update log. It implements relay.Reader.
type storeReader struct {
	platform            Platform
	view                *fleetView
	updateLog           *relay.UpdateLog
	stewards            *stewardSet
	log                 logrus.FieldLogger
	operator, endpoints *follow.Follower
	staleness           *stalenessGuard

	mu sync.Mutex
	// unpublished are the operator's rows as last read until they are published, and unpublishedPosition the position of
	// their table; both are guarded by mu.
	unpublished         map[string][]byte
	unpublishedPosition uint64
	// published says that the operator's rows were published, and publishedEvacuations to which change of the evacuated
	// domains they correspond; both are guarded by mu.
	published            bool
	publishedEvacuations uint64
	// endpointRows are the rows of the endpoint list, guarded by mu.
	endpointRows map[string]platform.Row
	// endpointsPosition is the position in the table's history that endpointRows correspond to, guarded by mu.
	endpointsPosition uint64
	// endpointsReturnedAt is when this VM first read the list after the store had returned from an older copy, and
	// restored are the versions of the rows, by key, that it read then and that have not been written since. Both
	// are guarded by mu.
	endpointsReturnedAt time.Time
	restored            map[string]uint64
	// lapsed holds the endpoints that are kept for lapseGrace after an outage of the store, guarded by mu.
	lapsed map[string]roster.Endpoint
}

func newStoreReader(p Platform, timing relay.Timing, view *fleetView, updates *relay.UpdateLog, s *stewardSet, g *stalenessGuard, log logrus.FieldLogger) *storeReader {
	r := &storeReader{
		platform: p, view: view, updateLog: updates, stewards: s, staleness: g, log: log,
		restored: map[string]uint64{}, lapsed: map[string]roster.Endpoint{},
	}
	timeout := func() time.Duration {
		if _, _, known := view.ages(); !known {
			// All VMs may have started together, and the first reads take longer.
			return 0
		}
		return timing.CallTimeout
	}
	r.operator = follow.New(follow.Config{
		Name: "operator", Feed: p.Operator, Wait: timing.ReadInterval, Timeout: timeout, OnChange: r.onOperatorRows, Log: log,
	})
	// The list is polled without waiting for a change, because every heartbeat of an endpoint changes it.
	r.endpoints = follow.New(follow.Config{
		Name: "endpoints", Feed: p.Endpoints, Pause: timing.ReadInterval, Timeout: timeout, OnChange: r.onEndpointRows, Log: log,
	})
	view.storeFailedAt = r.endpoints.FailedAt
	return r
}

// Run implements relay.Reader.
func (r *storeReader) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { r.operator.Run(ctx) })
	loops.Go(func() { r.endpoints.Run(ctx) })
	loops.Go(func() { r.followDirectory(ctx) })
	loops.Go(func() { r.propagateConfirmations(ctx) })
	loops.Wait()
}

// Ages implements relay.Reader.
func (r *storeReader) Ages() (operator, endpoints time.Duration) {
	now := time.Now()
	return clock.Elapsed(r.operatorConfirmed(), now), clock.Elapsed(r.endpoints.Delivered(), now)
}

// operatorConfirmed returns the time at which the operator's rows are last known to have been current; zero while they may be
// stale.
func (r *storeReader) operatorConfirmed() time.Time {
	if r.staleness.possiblyStale(time.Now()) {
		return time.Time{}
	}
	return r.operator.Delivered()
}

// confirmInterval is the interval at which the times of the store's last responses are copied to the fleet
// view.
const confirmInterval = 50 * time.Millisecond

// propagateConfirmations reports to the fleet view up to which times the rows are current, until ctx ends.
func (r *storeReader) propagateConfirmations(ctx context.Context) {
	for ctx.Err() == nil {
		r.publishOperatorRows()
		r.view.confirm(r.operatorConfirmed(), r.endpoints.Delivered())
		clock.Sleep(ctx, confirmInterval)
	}
}

func (r *storeReader) onOperatorRows(rows map[string]platform.Row, position uint64) {
	values := make(map[string][]byte, len(rows))
	for key, row := range rows {
		values[key] = row.Value
	}
	r.staleness.enter(platform.GenerationOf(position), time.Now())
	r.mu.Lock()
	r.unpublished, r.unpublishedPosition = values, position
	r.mu.Unlock()
	if r.staleness.possiblyStale(time.Now()) {
		r.view.addEvacuations(values)
	}
	r.publishOperatorRows()
}

// publishOperatorRows publishes the operator's rows as last read, and applies them to this VM's own view, unless that has been
// done or they may be stale. It publishes them again if an evacuation has begun or ended otherwise.
func (r *storeReader) publishOperatorRows() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.staleness.possiblyStale(time.Now()) {
		return
	}
	if r.unpublished != nil {
		r.view.applyOperatorRows(r.unpublished, r.unpublishedPosition, nil)
		r.unpublished, r.published = nil, true
	} else if !r.published || r.publishedEvacuations == r.view.evacuationChangeCount() {
		return
	}
	r.publishedEvacuations = r.view.evacuationChangeCount()
	rows, position, kept := r.view.newestOperatorRows()
	keptEntries := make(map[string][]byte, len(kept))
	for _, key := range kept {
		keptEntries[key] = nil
	}
	r.updateLog.Replace(relay.Kept, keptEntries)
	r.updateLog.Replace(relay.Operator, rows, positionEntry(relay.Operator, position))
}

// positionEntry returns the entry with the position of the table from which the entries of a topic were read.
func positionEntry(topic relay.Topic, position uint64) relay.Entry {
	return relay.Entry{Topic: relay.Positions, Key: string(topic), Value: []byte(strconv.FormatUint(position, 10))}
}

func (r *storeReader) onEndpointRows(rows map[string]platform.Row, position uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteRestored(rows, position, time.Now())
	r.endpointRows = make(map[string]platform.Row, len(rows))
	for key, row := range rows {
		r.endpointRows[key] = row
	}
	r.endpointsPosition = position
	r.publishEndpoints(time.Now())
}

// publishEndpoints publishes the endpoint list, together with the endpoints that are kept after an outage, and
// applies it to this VM's own view. The caller holds r.mu.
func (r *storeReader) publishEndpoints(now time.Time) {
	list := make([]roster.Endpoint, 0, len(r.endpointRows))
	for key, row := range r.endpointRows {
		e, err := r.platform.DecodeEndpoint(key, row.Value)
		if err != nil {
			r.view.logMalformed("endpoint_row_malformed", key, row.Value, err)
			continue
		}
		restored := r.restored[key] == row.Version
		if restored && !r.knows(e) {
			continue
		}
		e.Cold = r.coldOf(key, row, e, restored)
		if !restored {
			r.view.onEndpointRead(e)
		}
		list = append(list, e)
	}
	list = append(list, r.lapsedEndpoints(list, now)...)
	values := make(map[string][]byte, len(list))
	for i := range list {
		list[i].Loaded = nil
		data, err := json.Marshal(published(list[i]))
		if err != nil {
			r.log.WithError(err).WithField("event", "endpoint_not_published").Error("cannot encode an endpoint; it is not passed on to other VMs")
			continue
		}
		values[list[i].ID] = data
	}
	r.updateLog.Replace(relay.Endpoints, values, positionEntry(relay.Endpoints, r.endpointsPosition))
	r.view.applyEndpoints(list, r.endpointsPosition, r.endpoints.Confirmed())
}

// coldOf returns what a row says about how long its endpoint stays cold: nothing if an older copy of the store has brought
// it back.
func (r *storeReader) coldOf(key string, row platform.Row, e roster.Endpoint, restored bool) roster.Cold {
	if e.Cold.Malformed != "" {
		r.view.logOnce("endpoint_cold_malformed", key+" cold time", []byte(e.Cold.Malformed), errColdOutOfRange, "cold time of an endpoint's row is bounded or ignored")
	}
	if restored {
		return roster.Cold{}
	}
	e.Cold.Version = row.Version
	return e.Cold
}

// errColdOutOfRange says that the cold time of an entry was bounded or ignored.
var errColdOutOfRange = errors.New("the cold time is not a number from 0 to an hour")

// published returns an endpoint as it is sent to other VMs. The version of the entry is left out unless the endpoint is cold:
// with it, all entries would be sent again with each heartbeat.
func published(e roster.Endpoint) roster.Endpoint {
	if e.Cold.Left == 0 {
		e.Cold.Version = 0
	}
	return e
}

// noteRestored records which rows of the endpoint list a return of the store from an older copy has brought back, and forgets
// those that have been written since. The caller holds r.mu.
func (r *storeReader) noteRestored(rows map[string]platform.Row, position uint64, now time.Time) {
	for key, version := range r.restored {
		if rows[key].Version != version {
			delete(r.restored, key)
		}
	}
	if !r.returned(platform.GenerationOf(position)) {
		return
	}
	r.endpointsReturnedAt = now
	r.view.keepMissing(now)
	for key, row := range rows {
		r.restored[key] = row.Version
	}
	r.log.WithFields(logrus.Fields{"event": "endpoints_restored", "rows": len(rows), "kept_for": lapseGrace}).
		Warn("the store has returned from an older copy: endpoints that were not known are used once they report again, missing ones are kept for a while")
}

// returned reports whether the endpoint list is read for the first time in a generation that began after other endpoints were
// known to this VM. The caller holds r.mu.
func (r *storeReader) returned(generation uint64) bool {
	if r.view.roster.View().Len() == 0 {
		return false
	}
	if r.endpointsPosition == 0 {
		return !r.stewards.settled(generation)
	}
	return generation > platform.GenerationOf(r.endpointsPosition)
}

// knows reports whether this VM already knows the endpoint incarnation.
func (r *storeReader) knows(e roster.Endpoint) bool {
	known, ok := r.view.roster.View().Endpoint(e.ID)
	return ok && known.Incarnation == e.Incarnation
}

// lapsedEndpoints returns the endpoints that are missing from the list but are kept, because the store has
// recently recovered from an outage. The caller holds r.mu.
func (r *storeReader) lapsedEndpoints(list []roster.Endpoint, now time.Time) []roster.Endpoint {
	until := r.keepMissingUntil(now)
	if now.After(until) {
		clear(r.lapsed)
		return nil
	}
	onList := map[string]bool{}
	for _, e := range list {
		onList[e.ID] = true
	}
	for _, e := range r.view.roster.View().All() {
		if !onList[e.ID] && !e.Draining && r.lapsed[e.ID].ID == "" {
			r.lapsed[e.ID] = e
			r.log.WithFields(logrus.Fields{"event": "endpoint_lapsed", "endpoint": e.ID, "kept_for": until.Sub(now).Round(time.Millisecond)}).Info("endpoint is missing from the list after an outage of the store; it is kept for a while")
		}
	}
	var kept []roster.Endpoint
	for id, e := range r.lapsed {
		if !onList[id] {
			e.Kept = true
			kept = append(kept, e)
		}
	}
	if len(kept) > 0 {
		time.AfterFunc(until.Sub(now)+time.Millisecond, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.publishEndpoints(time.Now())
		})
	}
	return kept
}

// keepMissingUntil returns the time until which endpoints that are missing from the list are kept: for a while after the store
// has returned from an older copy, and after an outage in which neither this VM nor its sources read the list for so long
// that entries may have expired. The caller holds r.mu.
func (r *storeReader) keepMissingUntil(now time.Time) time.Time {
	until := r.endpointsReturnedAt.Add(lapseGrace)
	recovered := earlier(r.endpoints.RecoveredAt().Add(lapseGrace), r.view.missingKeptUntil(r.endpoints.Confirmed(), now))
	if recovered.After(until) {
		return recovered
	}
	return until
}

// followDirectory reads the leases from the store regularly while this VM is not a steward.
func (r *storeReader) followDirectory(ctx context.Context) {
	for ctx.Err() == nil {
		if !r.stewards.isSteward() {
			if err := r.stewards.readDirectory(ctx); err != nil && ctx.Err() == nil {
				r.log.WithError(err).WithField("event", "leases_not_read").Warn("cannot read the leases from the store")
			}
		}
		clock.Sleep(ctx, directoryReadInterval)
	}
}
