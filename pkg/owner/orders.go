package owner

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/endpoint"
	"github.com/mallowlink/mallowlink/pkg/scheduler"
)

const (
	// LoadTimeout bounds one load of an adapter on an engine.
	LoadTimeout = 5 * time.Second
	// orderTimeout bounds every other order, including the updates of its eviction record, and the other
	// accesses to eviction records.
	orderTimeout = 5 * time.Second
)

// errLeaseLapsed means that this VM no longer holds the group's lease.
var errLeaseLapsed = errors.New("owner: lease lapsed")

// newOrder returns the lease holder and fencing number that accompany every order, or errLeaseLapsed if this VM
// no longer holds the lease.
func (r *runner) newOrder() (endpoint.Order, error) {
	if !r.holdsLease() {
		return endpoint.Order{}, errLeaseLapsed
	}
	return endpoint.Order{Holder: r.owner.cfg.VM, Fencing: r.grant.Fencing}, nil
}

// load performs a Load action: it unloads the victim, if there is one, and loads the adapter. It then
// reports the result to the scheduler and releases the load permit.
func (r *runner) load(l *link, action scheduler.Action) {
	defer r.owner.cfg.Permits.Release()
	started := time.Now()
	err := r.evictAndLoad(l, action)
	if err != nil {
		r.owner.meters.loadErrors.Inc(1)
	} else {
		r.owner.meters.loads.Inc(1)
		r.owner.meters.loadTime.UpdateSince(started)
	}
	r.logOrder("adapter_loaded", "adapter load", l, action.Adapter, err)
	r.step(func(now time.Time) {
		if err == nil {
			r.loadedAt[action.Adapter] = now
		}
		r.sched.Loaded(now, action.Endpoint, action.Adapter, err)
	})
}

func (r *runner) evictAndLoad(l *link, action scheduler.Action) error {
	if l == nil {
		return errors.Wrap(endpoint.ErrLoadFailed, "endpoint is not in the bundle any more")
	}
	if action.Victim != (endpoint.AdapterVersion{}) {
		if err := r.evict(l, action.Victim); err != nil {
			return errors.Wrapf(err, "evict %s", action.Victim)
		}
	}
	order, err := r.newOrder()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.ctx, LoadTimeout)
	defer cancel()
	return l.engine.Load(ctx, order, action.Adapter)
}

// unload performs an Unload action.
func (r *runner) unload(l *link, adapter endpoint.AdapterVersion) {
	if l == nil {
		return
	}
	err := r.evict(l, adapter)
	r.logOrder("adapter_unloaded", "adapter unload", l, adapter, err)
	r.step(func(now time.Time) { r.sched.Unloaded(now, l.spec.Name, adapter, err) })
}

// evict orders the endpoint to unload an adapter. For endpoints that ignore fencing numbers, the intent is
// recorded first, so that a later owner knows which delayed orders may still arrive.
func (r *runner) evict(l *link, adapter endpoint.AdapterVersion) error {
	if !r.beginEviction() {
		return errLeaseLapsed
	}
	defer r.evictions.Done()
	// The order is not cancelled when the runner stops, because its result must be known.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), orderTimeout)
	defer cancel()
	if !l.spec.ChecksFencing {
		if err := r.recordEviction(ctx, l, adapter); err != nil {
			return err
		}
	}
	order, err := r.newOrder()
	if err != nil {
		return err
	}
	err = l.engine.Unload(ctx, order, adapter)
	if !l.spec.ChecksFencing && orderSettled(err) {
		r.deleteEvictionRecord(ctx, l, adapter)
	}
	if err == nil {
		r.owner.meters.unloads.Inc(1)
	}
	return err
}

// beginEviction counts an eviction as in progress. It reports false if the runner has stopped.
func (r *runner) beginEviction() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return false
	}
	r.evictions.Add(1)
	return true
}

// orderSettled reports whether err, the result of an order, shows that the order cannot reach the
// endpoint any more: the endpoint has responded to it or refused the connection.
func orderSettled(err error) bool {
	if err == nil {
		return true
	}
	return errors.Is(err, endpoint.ErrInUse) || errors.Is(err, endpoint.ErrFenced) ||
		errors.Is(err, endpoint.ErrNotLoaded) || errors.Is(err, endpoint.ErrRefused)
}

func (r *runner) setRole(l *link, role endpoint.Role) {
	if l == nil || l.engine == nil {
		return
	}
	order, err := r.newOrder()
	if err == nil {
		ctx, cancel := context.WithTimeout(r.ctx, orderTimeout)
		defer cancel()
		err = l.engine.SetRole(ctx, order, role)
	}
	r.logOrder("role_set", "setting the engine's role", l, endpoint.AdapterVersion{}, err)
}

// logOrder logs the result of the operation: at debug level if err is nil, otherwise as a warning.
func (r *runner) logOrder(event, operation string, l *link, adapter endpoint.AdapterVersion, err error) {
	fields := logrus.Fields{"event": event, "group": r.group, "fencing": r.grant.Fencing}
	if l != nil {
		fields["endpoint"] = l.spec.Name
	}
	if adapter != (endpoint.AdapterVersion{}) {
		fields["adapter"] = adapter.String()
	}
	if err != nil {
		fields["error"] = err.Error()
		r.owner.cfg.Log.WithFields(fields).Warn(operation + " failed")
		return
	}
	r.owner.cfg.Log.WithFields(fields).Debug(operation + " succeeded")
}
