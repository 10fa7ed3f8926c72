package measure

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/bundle/bundletest"
	"github.com/mallowlink/mallowlink/pkg/bundle/rollout"
	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/peer"
	"github.com/mallowlink/mallowlink/pkg/platform"
)

// FleetRun describes a run of members on loopback.
type FleetRun struct {
	Members int
	// Leases is the number of leases that the members share.
	Leases int
	// Domains is the number of failure domains.
	Domains int
	// Settle is the time before the measurement, Steady that of the measurement.
	Settle, Steady time.Duration
	// Versions is the number of bundle versions accepted after the steady part.
	Versions int
	// Warm is the number of versions before those, in which connections are opened.
	Warm int
	// Adapters is the size of the bundle.
	Adapters int
	// Crash ends one member at the end and waits until others hold its leases.
	Crash bool
	// Outage is how long the table service then refuses every operation; 0 leaves it out.
	Outage time.Duration
}

// FleetResult is what one member costs a second, but where said otherwise.
type FleetResult struct {
	// PeerBytes are the bytes sent and received over connections between VMs, with TLS records.
	PeerBytes float64
	// PeerCalls are the calls that the member makes; each is two messages.
	PeerCalls float64
	// Cores is the processor time as a share of one core, of the member's side only.
	Cores float64
	// Reads and Writes are operations of the table service and the object store.
	Reads, Writes float64
	// StoreBytes are the bytes of the rows listed, as the rows lie in the table.
	StoreBytes float64
	// Live is the mean number of members that a member counts as live, itself included.
	Live float64
	// Held is the number of leases that some member holds at the end of the steady part.
	Held int
	// VersionBytes and VersionReads are what one bundle version costs one member, above the steady part.
	VersionBytes, VersionReads, VersionCalls float64
	// Heap is the bytes of live objects, of the member's share of the process.
	Heap float64
	// Takeover is the time from a member's crash until others hold all of its leases, and
	// TakeoverWrites the writes of the whole fleet above the steady part for each lease taken over.
	Takeover       time.Duration
	TakeoverWrites float64
	// HeldInOutage is the number of leases that some member still holds at the end of the outage.
	HeldInOutage int
	// InForce is the longest time from accepting a version until every member has it.
	InForce time.Duration
}

var signer = ed25519.NewKeyFromSeed(bytes.Repeat([]byte{7}, ed25519.SeedSize))

func trust() bundle.Trust {
	return bundle.Trust{Signers: []ed25519.PublicKey{signer.Public().(ed25519.PublicKey)}, Required: 1}
}

// fleet is a running set of members.
type fleet struct {
	*shared
	members []*member
	names   []string
	tail    *bundle.Envelope
	version uint64
	run     FleetRun
}

// Fleet runs the members against the store, which must be empty.
func Fleet(ctx context.Context, store Store, run FleetRun) (FleetResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	empty := heap()
	f, err := startFleet(ctx, store, run)
	if err != nil {
		return FleetResult{}, err
	}
	defer f.close()
	if err := f.accept(ctx); err != nil {
		return FleetResult{}, err
	}
	wait(ctx, run.Settle)
	result, err := f.steady(ctx)
	if err != nil {
		return FleetResult{}, err
	}
	result.Heap = (heap() - empty) / float64(run.Members)
	if err := f.versions(ctx, &result); err != nil {
		return FleetResult{}, err
	}
	if err := f.crash(ctx, &result); err != nil {
		return FleetResult{}, err
	}
	return result, f.outage(ctx, &result)
}

func startFleet(ctx context.Context, store Store, run FleetRun) (*fleet, error) {
	secured, err := mutualTLS()
	if err != nil {
		return nil, err
	}
	f := &fleet{run: run, names: leaseNames(run.Leases), shared: &shared{
		store: store, tls: secured, registry: metrics.NewRegistry(), calls: &atomic.Int64{}, begun: time.Now(),
		trust: trust(),
	}}
	f.shared.names = func() []string { return f.names }
	f.traffic = peer.NewTraffic(f.registry, "peer")
	listeners := make([]net.Listener, run.Members)
	for i := range listeners {
		listeners[i], err = new(net.ListenConfig).Listen(ctx, "tcp", loopback)
		if err != nil {
			return nil, errors.Wrap(err, "listen")
		}
		f.lister = append(f.lister, platform.VM{
			ID: memberID(i), FailureDomain: f.domain(i), PeerAddress: listeners[i].Addr().String(),
		})
	}
	for i, listener := range listeners {
		m, err := newMember(i, listener, f.domain(i), f.shared)
		if err != nil {
			return nil, err
		}
		f.members = append(f.members, m)
		m.start(ctx)
	}
	return f, nil
}

func (f *fleet) domain(i int) string { return fmt.Sprintf("fd-%d", i%f.run.Domains) }

func (f *fleet) close() {
	for _, m := range f.members {
		m.close()
	}
}

// leaseNames returns the names that a bundle with that many leases calls for: the budget, five
// client accounts, and groups.
func leaseNames(n int) []string {
	const accounts = 5
	names := []string{lease.Budget}
	for i := range n - 1 {
		if i < accounts {
			names = append(names, fmt.Sprintf("%saccount-%d", lease.AccountPrefix, i))
			continue
		}
		names = append(names, fmt.Sprintf("%sgroup-%04d", lease.GroupPrefix, i))
	}
	return names
}

// counts are the running totals of a fleet.
type counts struct {
	at                         time.Time
	cpu                        time.Duration
	bytes, calls, reads, wrote int64
}

func (f *fleet) counts() (counts, error) {
	cpu, err := processorTime()
	if err != nil {
		return counts{}, err
	}
	// Every byte between VMs is counted at both its ends, as budgets of a node count it.
	c := counts{at: time.Now(), cpu: cpu, calls: f.calls.Load(), bytes: f.traffic.In.Count() + f.traffic.Out.Count()}
	for _, service := range []string{"table", "objects"} {
		c.reads += metrics.GetOrRegisterCounter("platform."+service+".reads", f.registry).Count()
		c.wrote += metrics.GetOrRegisterCounter("platform."+service+".writes", f.registry).Count()
	}
	return c, nil
}

// steady measures the members while nothing changes.
func (f *fleet) steady(ctx context.Context) (FleetResult, error) {
	before, err := f.counts()
	if err != nil {
		return FleetResult{}, err
	}
	wait(ctx, f.run.Steady)
	after, err := f.counts()
	if err != nil {
		return FleetResult{}, err
	}
	each := after.at.Sub(before.at).Seconds() * float64(len(f.members))
	result := FleetResult{
		PeerBytes: float64(after.bytes-before.bytes) / each,
		PeerCalls: float64(after.calls-before.calls) / each,
		Cores:     (after.cpu - before.cpu).Seconds() / each,
		Reads:     float64(after.reads-before.reads) / each,
		Writes:    float64(after.wrote-before.wrote) / each,
	}
	for _, m := range f.members {
		result.Live += float64(len(m.members.Live())) / float64(len(f.members))
	}
	result.Held = f.held()
	result.StoreBytes, err = f.rowBytes(ctx)
	return result, err
}

// held returns the number of leases that one member holds.
func (f *fleet) held() int {
	held := 0
	for _, name := range f.names {
		for _, m := range f.members {
			if _, ok := m.leases.Held(name); ok {
				held++
				break
			}
		}
	}
	return held
}

// rowBytes returns the bytes of the session and lease rows, which each member lists once a period.
func (f *fleet) rowBytes(ctx context.Context) (float64, error) {
	total := 0
	for _, prefix := range []string{"lease/session/", "lease/name/"} {
		rows, err := f.store.table(noOptions).List(ctx, prefix)
		if err != nil {
			return 0, err
		}
		for _, row := range rows {
			total += len(row.Key) + len(row.Attempt) + len(row.Value)
		}
	}
	return float64(total) / lease.DefaultPeriod.Seconds(), nil
}

// versions accepts versions of the bundle one after the other, and adds what they cost.
func (f *fleet) versions(ctx context.Context, result *FleetResult) error {
	if f.run.Versions == 0 {
		return nil
	}
	for range f.run.Warm {
		if err := f.accept(ctx); err != nil {
			return err
		}
	}
	before, err := f.counts()
	if err != nil {
		return err
	}
	for range f.run.Versions {
		began := time.Now()
		if err := f.accept(ctx); err != nil {
			return err
		}
		result.InForce = max(result.InForce, time.Since(began))
	}
	after, err := f.counts()
	if err != nil {
		return err
	}
	seconds := after.at.Sub(before.at).Seconds()
	members, n := float64(len(f.members)), float64(f.run.Versions)
	above := func(delta int64, steady float64) float64 {
		return max(0, (float64(delta)/members-steady*seconds)/n)
	}
	result.VersionBytes = above(after.bytes-before.bytes, result.PeerBytes)
	result.VersionCalls = above(after.calls-before.calls, result.PeerCalls)
	result.VersionReads = above(after.reads-before.reads, result.Reads)
	return nil
}

// accept accepts the next version and waits until every member has it.
func (f *fleet) accept(ctx context.Context) error {
	next, err := f.next()
	if err != nil {
		return err
	}
	store := rollout.Store{Table: f.store.table(noOptions), Objects: f.store.objects(noOptions)}
	_, err = store.Accept(ctx, rollout.Acceptance{Trust: f.trust, Envelope: next.Marshal(), By: "capacity", Now: time.Now()})
	if err != nil {
		return err
	}
	for _, m := range f.members {
		for m.follower.Version() < f.version && ctx.Err() == nil {
			wait(ctx, time.Millisecond)
		}
	}
	return ctx.Err()
}

// next returns the version that follows the last one, with one line changed.
func (f *fleet) next() (*bundle.Envelope, error) {
	text := bundletest.Text(f.run.Adapters) +
		fmt.Sprintf("[adapter changing]\nmodel = base\nversions = v%d\naccounts = account-1\ndefault = v%d\n", f.version, f.version)
	draft, err := bundle.Parse(bundle.Source{Name: "capacity", Data: []byte(text)})
	if err != nil {
		return nil, err
	}
	previous := ""
	if f.tail != nil {
		previous = f.tail.Hash()
	}
	e, err := bundle.Seal(draft.Following(f.version, previous))
	if err != nil {
		return nil, err
	}
	e.Sign(signer)
	f.tail = e
	f.version++
	return e, nil
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
