package owner

import (
	"context"
	"io"
	"math/rand"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/endpoint"
	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/platform"
	"github.com/mallowlink/mallowlink/pkg/scheduler"
	"github.com/mallowlink/mallowlink/pkg/suspect"
)

// fakeEngine is an in-memory engine. Each stream has streamEvents events.
type fakeEngine struct {
	mu          sync.Mutex
	incarnation string
	slots       int
	loaded      map[endpoint.AdapterVersion]bool
	ran         []string
	unloads     []endpoint.Order
	// down makes the engine refuse new requests and load reports.
	down bool
	// cutAfter breaks the next response's connection after that many events; negative means never.
	cutAfter int
	// crashAfter crashes the engine whenever a response has sent that many events; negative means never.
	crashAfter int
	// hold, if set, delays the start of each response until it is closed.
	hold chan struct{}
	// unloadTime is how long an unload takes.
	unloadTime time.Duration
	// reportDelay is how long a load report takes.
	reportDelay time.Duration
}

const (
	streamEvents = 5
	loadTime     = 250 * time.Millisecond
	// midUnload is a time at which an eviction with an unloadTime of 1 s is in progress.
	midUnload = 500 * time.Millisecond
)

// sleepContext waits for d, or returns the context's error if ctx ends first.
func sleepContext(ctx context.Context, d time.Duration) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func newFakeEngine(slots int) *fakeEngine {
	return &fakeEngine{
		incarnation: "one",
		slots:       slots,
		loaded:      map[endpoint.AdapterVersion]bool{},
		cutAfter:    -1,
		crashAfter:  -1,
	}
}

func (f *fakeEngine) Do(ctx context.Context, req endpoint.Request) (endpoint.Response, error) {
	f.mu.Lock()
	down, hold := f.down, f.hold
	f.mu.Unlock()
	if down {
		return nil, endpoint.ErrRefused
	}
	f.mu.Lock()
	f.ran = append(f.ran, req.ID)
	f.mu.Unlock()
	if hold != nil {
		select {
		case <-hold:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return &fakeAnswer{engine: f}, nil
}

func (f *fakeEngine) Resume(_ context.Context, _ string, next uint64) (endpoint.Response, error) {
	return &fakeAnswer{engine: f, next: int(next)}, nil
}

func (f *fakeEngine) Cancel(context.Context, string) error { return nil }

func (f *fakeEngine) Load(ctx context.Context, _ endpoint.Order, adapter endpoint.AdapterVersion) error {
	if err := sleepContext(ctx, loadTime); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.loaded) >= f.slots {
		return endpoint.ErrNoSlot
	}
	f.loaded[adapter] = true
	return nil
}

func (f *fakeEngine) Unload(ctx context.Context, order endpoint.Order, adapter endpoint.AdapterVersion) error {
	f.mu.Lock()
	duration := f.unloadTime
	f.mu.Unlock()
	if err := sleepContext(ctx, duration); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unloads = append(f.unloads, order)
	delete(f.loaded, adapter)
	return nil
}

func (f *fakeEngine) SetRole(context.Context, endpoint.Order, endpoint.Role) error { return nil }

func (f *fakeEngine) Report(ctx context.Context) (endpoint.LoadReport, error) {
	if err := sleepContext(ctx, f.reportDelay); err != nil {
		return endpoint.LoadReport{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return endpoint.LoadReport{}, endpoint.ErrRefused
	}
	report := endpoint.LoadReport{Incarnation: f.incarnation, Slots: f.slots, Role: endpoint.RoleServe}
	for adapter := range f.loaded {
		report.Loaded = append(report.Loaded, endpoint.LoadedAdapter{AdapterVersion: adapter})
	}
	return report, nil
}

func (f *fakeEngine) CacheEvents(context.Context, uint64) ([]endpoint.CacheEvent, error) {
	return nil, nil
}

func (f *fakeEngine) ExportKV(context.Context, uint64) ([]byte, error) { return nil, nil }

func (f *fakeEngine) ImportKV(context.Context, endpoint.Order, uint64, []byte) error { return nil }

func (f *fakeEngine) runs() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.ran)
}

// crash discards the loaded adapters, starts a new incarnation and makes the engine refuse calls until
// restart is called.
func (f *fakeEngine) crash() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = true
	f.incarnation += "+"
	f.loaded = map[endpoint.AdapterVersion]bool{}
}

func (f *fakeEngine) restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = false
}

type fakeAnswer struct {
	engine *fakeEngine
	next   int
}

func (a *fakeAnswer) Status() int         { return http.StatusOK }
func (a *fakeAnswer) Header() http.Header { return http.Header{} }
func (a *fakeAnswer) Close() error        { return nil }

func (a *fakeAnswer) Next() ([]byte, error) {
	a.engine.mu.Lock()
	cut := a.engine.cutAfter == a.next
	crash := a.engine.crashAfter == a.next
	if cut {
		a.engine.cutAfter = -1
	}
	a.engine.mu.Unlock()
	if crash {
		a.engine.crash()
	}
	if cut || crash {
		return nil, endpoint.ErrTruncated
	}
	if a.next == streamEvents {
		return nil, io.EOF
	}
	a.next++
	return []byte{byte('0' + a.next)}, nil
}

// fakeLeaseView is a lease view with a single lease, held until lapse is called.
type fakeLeaseView struct {
	mu    sync.Mutex
	grant lease.Grant
	held  bool
}

func (f *fakeLeaseView) Held(name string) (lease.Grant, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.grant, f.held && f.grant.Name == name
}

func (f *fakeLeaseView) HolderOf(string) (lease.Holder, bool) { return lease.Holder{}, false }

func (f *fakeLeaseView) lapse() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held = false
}

// fakeTable is an in-memory table. While down is set, List and Commit fail.
type fakeTable struct {
	mu   sync.Mutex
	rows map[string][]byte
	down bool
}

func (f *fakeTable) Get(context.Context, string) (platform.Row, error) {
	return platform.Row{}, platform.ErrNotFound
}

func (f *fakeTable) List(context.Context, string) ([]platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, platform.ErrUnavailable
	}
	var rows []platform.Row
	for key, value := range f.rows {
		rows = append(rows, platform.Row{Key: key, Value: value})
	}
	return rows, nil
}

func (f *fakeTable) Commit(_ context.Context, txn platform.Txn) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return 0, platform.ErrUnavailable
	}
	for _, write := range txn.Writes {
		if write.Delete {
			delete(f.rows, write.Key)
		} else {
			f.rows[write.Key] = write.Value
		}
	}
	return 1, nil
}

// fakeMembers reports a VM as gone once proveGone was called for it.
type fakeMembers struct {
	mu   sync.Mutex
	gone map[string]bool
}

func (f *fakeMembers) Gone(vm, _ string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gone[vm]
}

func (f *fakeMembers) proveGone(vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gone[vm] = true
}

type unlimitedPermits struct{}

func (unlimitedPermits) TryTake(time.Time) bool { return true }
func (unlimitedPermits) Release()               {}

type fixedSource struct{ b *bundle.Bundle }

func (s fixedSource) Current() *bundle.Bundle { return s.b }

type fakeConnector struct{ engines map[string]*fakeEngine }

func (c fakeConnector) Engine(spec bundle.Endpoint) endpoint.Engine { return c.engines[spec.Name] }

func (c fakeConnector) Service(spec bundle.Endpoint) endpoint.Service { return c.engines[spec.Name] }

// fixture is an Owner of one group with fake dependencies.
type fixture struct {
	owner   *Owner
	leases  *fakeLeaseView
	table   *fakeTable
	members *fakeMembers
	engines map[string]*fakeEngine
	stop    context.CancelFunc
}

const testGroup = "assistant"

func newFixture(fencing bool, engines map[string]*fakeEngine) *fixture {
	b := &bundle.Bundle{
		Groups:    map[string]bundle.Group{testGroup: {Name: testGroup, Kind: bundle.KindEngine, QueueLimit: 100}},
		Endpoints: map[string]bundle.Endpoint{},
	}
	for name, engine := range engines {
		b.Endpoints[name] = bundle.Endpoint{
			Name: name, Group: testGroup, URL: name, Slots: engine.slots, MaxRunning: 4, ChecksFencing: fencing,
		}
	}
	logger, _ := test.NewNullLogger()
	f := &fixture{
		leases:  &fakeLeaseView{grant: lease.Grant{Name: "group/" + testGroup, Fencing: 7, PreviousProvenGone: true}, held: true},
		table:   &fakeTable{rows: map[string][]byte{}},
		members: &fakeMembers{gone: map[string]bool{}},
		engines: engines,
	}
	f.owner = New(Config{
		VM:          "vm-1",
		Incarnation: "inc-1",
		Leases:      f.leases,
		Members:     f.members,
		Source:      fixedSource{b},
		Table:       f.table,
		Connector:   fakeConnector{engines},
		Permits:     unlimitedPermits{},
		Suspects:    suspect.NewTable(suspect.OwnerLimits()),
		NewScheduler: func(_ bundle.Group, p scheduler.LoadPermits, rng *rand.Rand) scheduler.Scheduler {
			return scheduler.New(scheduler.DefaultConfig(), rng, p)
		},
		Metrics: metrics.NewRegistry(),
		Log:     logger,
		Seed:    1,
	})
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	go f.owner.Run(ctx)
	f.owner.LeaseGained(f.leases.grant)
	return f
}

// TestMain starts the background goroutine of go-metrics outside any synctest bubble. It never exits, so a
// bubble that had started it could not end.
func TestMain(m *testing.M) {
	metrics.NewMeter().Stop()
	os.Exit(m.Run())
}

// Generation implements platform.Table. The fake has no generations.
func (f *fakeTable) Generation() uint64 { return 0 }
