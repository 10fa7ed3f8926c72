package scheduler

import (
	"math"
	"time"

	"github.com/mallowlink/mallowlink/pkg/chart"
	"github.com/mallowlink/mallowlink/pkg/endpoint"
)

// adapter is the state of one adapter version across the group.
type adapter struct {
	version endpoint.AdapterVersion
	// rate is the decayed request rate in requests per half-life, as of rateAsOf.
	rate     float64
	rateAsOf time.Time
	// lanes lists the lanes of the adapter. None of them is empty.
	lanes   []*lane
	waiting [classCount]int
	// waitingIndex is the position in scheduler.waitingAdapters, or -1 if nothing is queued.
	waitingIndex int
	// placements lists the endpoints on which the adapter is not absent.
	placements []*placement
	// failures counts the failed loads since the last success or cooldown, and failedOn lists the
	// endpoints on which they happened. No load starts before notBefore. New items are refused until
	// brokenUntil.
	failures    int
	failedOn    []string
	notBefore   time.Time
	brokenUntil time.Time
}

func (a *adapter) queued() int { return a.waiting[interactive] + a.waiting[batch] }

// recordRequest adds a request with the given weight to the rate at now.
func (a *adapter) recordRequest(now time.Time, halfLife time.Duration, weight float64) {
	a.rate = a.rateAt(now, halfLife) + weight
	a.rateAsOf = now
}

// requestWeight is how much a request of each class adds to the rate that keeps its adapter resident.
// Batch items weigh less because they can wait for a load.
var requestWeight = [classCount]float64{interactive: 1, batch: 0.1}

// rateAt returns the decayed request rate at now.
func (a *adapter) rateAt(now time.Time, halfLife time.Duration) float64 {
	age := now.Sub(a.rateAsOf)
	if a.rate == 0 || age <= 0 {
		return a.rate
	}
	return a.rate * math.Exp2(-float64(age)/float64(halfLife))
}

// placementOn returns the placement of the adapter on e, or nil.
func (a *adapter) placementOn(e *endpointView) *placement {
	for _, p := range a.placements {
		if p.endpoint == e {
			return p
		}
	}
	return nil
}

func (a *adapter) loading() bool {
	for _, p := range a.placements {
		if p.state == adapterLoading {
			return true
		}
	}
	return false
}

// placement is one adapter version on one endpoint on which it is not absent.
type placement struct {
	adapter  *adapter
	endpoint *endpointView
	state    chart.State
	// running counts the requests that this owner has dispatched to the placement.
	running int
	// stateChanged is when the state last changed. lastUsed is when a request last started or ended.
	stateChanged time.Time
	lastUsed     time.Time
	// foreignUse is set when the endpoint has reported requests that this owner does not know of, or
	// has not unloaded the adapter when ordered to. The adapter then counts as in use until a report
	// shows that it is idle.
	foreignUse bool
	// idleUnconfirmed is set after a takeover until a report taken after it shows that the adapter is
	// idle.
	idleUnconfirmed bool
	// replacedBy is the adapter whose load takes the slot of this one, set while this one is
	// unloading.
	replacedBy *adapter
}

// endpointView is the state of one endpoint, a model engine or a plain service, as far as reports and
// the results of requests and orders show it.
type endpointView struct {
	spec        EndpointSpec
	state       chart.State
	incarnation string
	placements  []*placement
	// hasOrphans is set when a placement was deleted while requests of this owner were running on it.
	hasOrphans bool
	// openOrders counts, for each adapter, the load orders that have not ended, including those that
	// a restart of the endpoint has made void.
	openOrders map[endpoint.AdapterVersion]int
	avoided    map[endpoint.AdapterVersion]bool
	// removedAt records when adapters became absent, until a report taken later arrives.
	removedAt       map[endpoint.AdapterVersion]time.Time
	running         int
	runningBatch    int
	runningIsolated int
	// batchCredit is the number of tokens that batch items may use ahead of interactive items.
	batchCredit float64
	load        loadView
	prefixes    prefixView
	// takenOverAt is when this owner took over. It is reset to zero once a report taken later
	// arrives.
	takenOverAt time.Time
	downUntil   time.Time
	// loadFailures counts the failed loads since the last success. No load starts before
	// loadsNotBefore.
	loadFailures   int
	loadsNotBefore time.Time
	draining       bool
	// mayHaveRoom is set when the endpoint may have got room for queued items.
	mayHaveRoom bool
}

func (e *endpointView) alive() bool { return e.state == endpointAlive }

// hasRoom reports whether the endpoint can take one more item of the class.
func (e *endpointView) hasRoom(class int, batchShare float64) bool {
	if !e.alive() || max(e.running, e.load.current()) >= e.spec.MaxRunning {
		return false
	}
	if class == batch {
		return e.runningBatch < batchLimit(e.spec.MaxRunning, batchShare)
	}
	return true
}

func batchLimit(maxRunning int, share float64) int {
	return max(1, int(share*float64(maxRunning)))
}

// usedSlots counts the slots in use or reserved. An adapter that is being replaced does not count,
// because its slot is counted for its replacement.
func (e *endpointView) usedSlots() int {
	n := 0
	for _, p := range e.placements {
		if p.state != adapterUnloading || p.replacedBy == nil {
			n++
		}
	}
	return n
}

// loadView is the load of an endpoint. It corrects the load reports, which lag behind, by the
// requests started and ended since.
type loadView struct {
	reported int
	// changes lists the starts and ends after the last report was taken, and sum is their total.
	changes []loadChange
	sum     int
}

type loadChange struct {
	at    time.Time
	delta int
}

// maxLoadChanges limits the memory used for an endpoint that sends no reports.
const maxLoadChanges = 1024

func (v *loadView) add(now time.Time, delta int) {
	if len(v.changes) == maxLoadChanges {
		v.fold(v.changes[maxLoadChanges/2].at)
	}
	v.changes = append(v.changes, loadChange{now, delta})
	v.sum += delta
}

// fold adds the changes up to and including at to the reported load.
func (v *loadView) fold(at time.Time) {
	n := 0
	for n < len(v.changes) && !v.changes[n].at.After(at) {
		v.reported += v.changes[n].delta
		v.sum -= v.changes[n].delta
		n++
	}
	v.changes = v.changes[:copy(v.changes, v.changes[n:])]
}

// report replaces the load up to takenAt by running.
func (v *loadView) report(takenAt time.Time, running int) {
	v.fold(takenAt)
	v.reported = running
}

func (v *loadView) reset() { *v = loadView{changes: v.changes[:0]} }

// current returns the corrected number of requests on the endpoint.
func (v *loadView) current() int { return v.reported + v.sum }
