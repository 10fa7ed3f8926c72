package request

import (
	"context"
	"flag"
	"io"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/endpoint"
	"github.com/mallowlink/mallowlink/pkg/ledger"
	"github.com/mallowlink/mallowlink/pkg/ledger/ledgertest"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/retry"
	"github.com/mallowlink/mallowlink/pkg/suspect"
	"github.com/mallowlink/mallowlink/pkg/work"
	"github.com/mallowlink/mallowlink/pkg/work/worktest"
)

// TestMain sets the seed of the property tests to 1 unless -rapid.seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		flag.Set("rapid.seed", "1")
	}
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// fakeQuota admits every request and counts the tokens that were charged and not returned.
type fakeQuota struct {
	mu    sync.Mutex
	spent int64
}

func (q *fakeQuota) Admit(_ context.Context, _ string, n int64) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.spent += n
	return nil
}

func (q *fakeQuota) Return(_ string, n int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.spent -= n
}

func (q *fakeQuota) outstanding() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.spent
}

// fakeMemory grants every reservation and counts the reserved bytes.
type fakeMemory struct {
	mu   sync.Mutex
	used int64
}

func (m *fakeMemory) Reserve(n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used += n
	return true
}

func (m *fakeMemory) Release(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= n
}

// sink records what is sent to a caller.
type sink struct {
	gone   bool
	status int
	body   []byte
	pieces [][]byte
	whole  bool
	replay bool
}

var errGone = errors.New("caller gone")

func (s *sink) Begin(status int, _ http.Header) error {
	s.status = status
	return s.err()
}

func (s *sink) Event(data []byte) error {
	s.pieces = append(s.pieces, append([]byte(nil), data...))
	return s.err()
}

func (s *sink) Finish() error {
	s.whole = true
	return s.err()
}

func (s *sink) Answer(status int, header http.Header, body []byte) error {
	s.status, s.body, s.whole = status, append([]byte(nil), body...), true
	s.replay = header.Get(HeaderReplayed) != ""
	return s.err()
}

func (s *sink) err() error {
	if s.gone {
		return errGone
	}
	return nil
}

// fixture is a test fleet: two entries, one owner, one endpoint and one table of records.
type fixture struct {
	endpoint  *worktest.Endpoint
	owner     *worktest.Owner
	directory *worktest.Directory
	table     *ledgertest.Table
	quota     *fakeQuota
	memory    *fakeMemory
	entries   []*Service
	registry  metrics.Registry
}

const testGroup = "g"

func newFixture(plan func(*work.Request) worktest.Plan, hook Hook) *fixture {
	fx := &fixture{
		endpoint:  worktest.NewEndpoint(plan),
		directory: worktest.NewDirectory(),
		table:     ledgertest.New(),
		quota:     &fakeQuota{},
		memory:    &fakeMemory{},
		registry:  metrics.NewRegistry(),
	}
	fx.owner = worktest.NewOwner("owner/1", fx.endpoint)
	fx.directory.Set(testGroup, fx.owner)
	for range 2 {
		fx.entries = append(fx.entries, fx.newEntry(hook))
	}
	return fx
}

func (fx *fixture) newEntry(hook Hook) *Service {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return NewService(Config{
		Directory: fx.directory,
		Quota:     fx.quota,
		Ledger:    ledger.New(fx.table, OwnerProver{Directory: fx.directory}, fx.registry, log),
		Suspects:  suspect.NewGuard(suspect.NewTable(suspect.OwnerLimits()), nil),
		Retries:   retry.New(),
		Memory:    fx.memory,
		Metrics:   fx.registry,
		Log:       log,
		Hook:      hook,
	})
}

// counter returns the value of the counter.
func (fx *fixture) counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, fx.registry).Count()
}

// newCall returns a non-idempotent call to a plain service. An empty key means no Idempotency-Key.
func newCall(id, key string) *Call {
	return &Call{
		ID: id, Account: "a", Weight: 1, Route: "issue", Groups: []string{testGroup},
		Tokens: 10, PromptTokens: 1, IdempotencyKey: key, BodyHash: "body", Fingerprint: 7,
		RetryPercent: 10, Deadline: time.Now().Add(20 * time.Second),
		Endpoint:   endpoint.Request{ID: id, Method: http.MethodPost, Path: "/issues"},
		Authorized: func() bool { return true },
	}
}

// newIdempotent returns an idempotent call to a model engine.
func newIdempotent(id string, stream bool) *Call {
	call := newCall(id, "")
	call.Idempotent = true
	call.Adapter = endpoint.AdapterVersion{Adapter: "help", Version: "1"}
	call.Endpoint.Stream = stream
	return call
}

// plan returns a plan function that uses p for every attempt.
func plan(p worktest.Plan) func(*work.Request) worktest.Plan {
	return func(*work.Request) worktest.Plan { return p }
}

var crashFailure = &work.Failure{Code: result.EndpointFailed, Outcome: result.MayHaveRun, Crashed: true, Crash: "e1/1"}
