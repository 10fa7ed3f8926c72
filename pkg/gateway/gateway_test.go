package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/allowance"
	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/connlimit"
	"github.com/mallowlink/mallowlink/pkg/dialect"
	"github.com/mallowlink/mallowlink/pkg/memory"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/retry"
	"github.com/mallowlink/mallowlink/pkg/roster"
	"github.com/mallowlink/mallowlink/pkg/suspect"
	"github.com/mallowlink/mallowlink/pkg/upstream"
)

// testDialect is a dialect with short header names.
type testDialect struct{}

func (testDialect) Inspect(h http.Header) (dialect.RequestInfo, error) {
	t := dialect.RequestInfo{ID: h.Get("Id"), Key: h.Get("Key"), LastEvent: h.Get("Last"), Resumes: h.Get("Stream")}
	if text := h.Get("Patience"); text != "" {
		ms, err := strconv.Atoi(text)
		if err != nil {
			return t, err
		}
		t.Timeout = time.Duration(ms) * time.Millisecond
	}
	if text := h.Get("Tokens"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			return t, err
		}
		t.PromptTokens, t.HasTokens = n, true
	}
	if text := h.Get("Parts"); text != "" {
		for id := range strings.SplitSeq(text, ",") {
			t.Prompt = append(t.Prompt, dialect.PromptPart{ID: id, Tokens: 1})
		}
	}
	return t, nil
}

func (testDialect) Forward(h http.Header, d dialect.Delivery) http.Header {
	out := h.Clone()
	out.Del("Key")
	out.Del("Content-Length")
	out.Set("Account", d.Account)
	out.Set("Left", strconv.FormatInt(d.Left.Milliseconds(), 10))
	if d.LastEvent != "" {
		out.Set("Last", d.LastEvent)
	}
	return out
}

func (testDialect) Judge(status int, h http.Header) dialect.ResponseInfo {
	return dialect.ResponseInfo{RequestID: h.Get("Id"), NotRun: h.Get("Not-Run") != "", Signed: h.Get("Signature") != ""}
}

func (testDialect) Return(h http.Header) http.Header { return h.Clone() }

// scriptedDispatcher places requests on the first endpoint that is not excluded.
type scriptedDispatcher struct {
	mu        sync.Mutex
	endpoints []roster.Endpoint
	outcomes  []Outcome
	// progress counts the calls of Placement.Progress.
	progress int
	// started are the endpoints whose first parts were reported by Placement.Started.
	started []string
	refuse  *result.Error
}

func (p *scriptedDispatcher) Place(_ context.Context, req Request) (Placement, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refuse != nil {
		return Placement{}, p.refuse
	}
	for _, e := range p.endpoints {
		excluded := false
		for _, id := range req.Exclude {
			excluded = excluded || id == e.ID
		}
		if !excluded && req.MayGoTo(e.Software) {
			progress := func() {
				p.mu.Lock()
				defer p.mu.Unlock()
				p.progress++
			}
			started := func(time.Duration) {
				p.mu.Lock()
				defer p.mu.Unlock()
				p.started = append(p.started, e.ID)
			}
			return Placement{Endpoint: e, Started: started, Progress: progress, Done: func(o Outcome) {
				p.mu.Lock()
				defer p.mu.Unlock()
				p.outcomes = append(p.outcomes, o)
			}}, nil
		}
	}
	return Placement{}, result.New(result.NoEndpoint, "no endpoint is left")
}

// reverse reverses the order in which endpoints are chosen.
func (p *scriptedDispatcher) reverse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	slices.Reverse(p.endpoints)
}

// fixedAdmitter is an Admitter with a fixed balance.
type fixedAdmitter struct {
	mu       sync.Mutex
	balance  int64
	returned int64
}

func (a *fixedAdmitter) Admit(_ context.Context, account string, n int64) (allowance.Charge, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n > a.balance {
		e := result.New(result.OverRate, "over the limit")
		e.RetryAfter = 250 * time.Millisecond
		return allowance.Charge{}, e
	}
	a.balance -= n
	return allowance.Charge{Account: account, Tokens: n, At: time.Now()}, nil
}

func (a *fixedAdmitter) Return(c allowance.Charge) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.balance += c.Tokens
	a.returned += c.Tokens
}

// testbed is a gateway in front of endpoints that a test scripts.
type testbed struct {
	t            *testing.T
	dispatcher   *scriptedDispatcher
	quota        *fixedAdmitter
	retries      *retry.Window
	keysValid    bool
	rules        *Rules
	gateway      *Gateway
	server       *httptest.Server
	received     chan *http.Request
	logHook      *test.Hook
	memory       *memory.Budget
	suspectTable *suspect.Table
	partTable    *suspect.PartTable
	prober       suspect.Prober
	streams      *scriptedStreams
	// withheld are the endpoints to which nothing may be sent.
	withheld []string
	updates  Updates
	// smallBuffers says that connections of callers get send buffers of smallBuffer bytes.
	smallBuffers atomic.Bool
}

// handler simulates an endpoint.
type handler func(w http.ResponseWriter, r *http.Request)

func newTestbed(t *testing.T, endpoints ...handler) *testbed {
	b := &testbed{
		t: t, dispatcher: &scriptedDispatcher{}, quota: &fixedAdmitter{balance: 1000}, keysValid: true,
		retries: retry.NewWindow(10*time.Second, 0, func() float64 { return 3 }), received: make(chan *http.Request, 100),
		memory: memory.NewBudget(1 << 20), suspectTable: suspect.NewTable(suspect.DirectLimits()),
		partTable: suspect.NewPartTable("vm"), prober: unknownProber{},
	}
	b.streams = &scriptedStreams{dispatcher: b.dispatcher, begun: map[string]string{}}
	for i, h := range endpoints {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			b.received <- r.Clone(context.Background())
			w.Header().Set("Id", r.Header.Get("Id"))
			w.Header().Set("Signature", "s")
			h(w, r)
		}))
		t.Cleanup(s.Close)
		b.dispatcher.endpoints = append(b.dispatcher.endpoints, roster.Endpoint{
			Incarnation: roster.Incarnation{ID: fmt.Sprintf("e%d", i)}, Address: strings.TrimPrefix(s.URL, "http://"),
		})
	}
	b.rules = NewRules((&bundle.Bundle{
		Version: 1,
		Groups:  map[string]bundle.Group{"g": {Name: "g"}},
		Routes: map[string]bundle.Route{
			"safe":   {Name: "safe", Host: "h", Prefix: "/safe/", Group: "g", Idempotent: true, MaxAttempts: 2, Timeout: 5 * time.Second},
			"unsafe": {Name: "unsafe", Host: "h", Prefix: "/unsafe/", Group: "g", MaxAttempts: 2, Timeout: 5 * time.Second},
			"stream": {Name: "stream", Host: "h", Prefix: "/stream/", Group: "g", Stream: true, Timeout: 5 * time.Second},
			"resume": {Name: "resume", Host: "h", Prefix: "/resume/", Group: "g", Stream: true, Resumable: true, MaxAttempts: 2, Timeout: 5 * time.Second},
			"open":   {Name: "open", Host: "h", Prefix: "/open/", Group: "g", Open: true, Timeout: 300 * time.Millisecond},
		},
		Accounts: map[string]bundle.Account{"acme": {Name: "acme", Rate: 1, CallCost: 7}},
		Keys:     map[string]bundle.Key{"k": {Name: "k", Account: "acme", SHA256: bundle.HashKey("key")}},
		Callers:  bundle.CallerLimits{BodyBytes: 1000},
	}).Indexed())
	pools := upstream.NewPools()
	t.Cleanup(pools.Close)
	log, lines := test.NewNullLogger()
	b.logHook = lines
	g := New(Config{
		Rules: func() *Rules { return b.rules }, KeysValid: func() bool { return b.keysValid }, Updates: func() Updates { return b.updates }, Dialect: testDialect{},
		Quota: b.quota, Dispatcher: b.dispatcher, Upstream: upstream.NewClient(pools, testDialect{}, upstream.Events{Check: b.check}), Suspects: b.suspects(), Streams: b.streams, Memory: b.memory,
		Retries: func(string) *retry.Window { return b.retries }, Metrics: metrics.NewRegistry(), Log: log,
	})
	b.gateway = g
	b.server = httptest.NewUnstartedServer(g)
	b.server.Config.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		ctx = ConnContext(ctx, conn)
		if b.smallBuffers.Load() {
			_ = unwrap(conn).(*net.TCPConn).SetWriteBuffer(smallBuffer)
		}
		return ctx
	}
	// As in the process, so that the tests cover wrapped connections.
	b.server.Listener = connlimit.LimitListener(b.server.Listener, 1000, metrics.NewRegistry(), nil)
	b.server.Start()
	t.Cleanup(b.server.Close)
	return b
}

// check implements upstream.Events.Check.
func (b *testbed) check(target upstream.Target, _ bool) error {
	if slices.Contains(b.withheld, target.ID) {
		return upstream.ErrWithheld
	}
	return nil
}

// callerResponse is the response that a caller gets.
type callerResponse struct {
	status int
	header http.Header
	body   string
	// truncated says that the response broke off.
	truncated bool
}

func (b *testbed) do(path string, header map[string]string, body string) callerResponse {
	return b.send(path, header, strings.NewReader(body))
}

// doChunked sends the body in chunks.
func (b *testbed) doChunked(path, body string) callerResponse {
	return b.send(path, nil, io.MultiReader(strings.NewReader(body)))
}

func (b *testbed) send(path string, header map[string]string, body io.Reader) callerResponse {
	resp, err := b.open(path, header, body)
	require.NoError(b.t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return callerResponse{resp.StatusCode, resp.Header, string(data), err != nil}
}

// open sends a request and returns once the head of the response has arrived. The calling code must close the body.
func (b *testbed) open(path string, header map[string]string, body io.Reader) (*http.Response, error) {
	req, err := http.NewRequestWithContext(b.t.Context(), http.MethodPost, b.server.URL+path, body)
	if err != nil {
		return nil, err
	}
	req.Host = "h"
	req.Header.Set("Id", "r1")
	req.Header.Set("Key", "key")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	return b.server.Client().Do(req)
}

func respondWith(text string) handler {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }
}

func failWith(status int) handler {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "failed")
	}
}

func notRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// drop closes the connection without a response.
func drop(w http.ResponseWriter, _ *http.Request) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = c.Close()
	}
}

func (b *testbed) arrivals() int { return len(b.received) }

func TestPassesOnRequestsAndResponses(t *testing.T) {
	b := newTestbed(t, func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		w.Header().Set("Extra", "x")
		_, _ = w.Write(append([]byte("got "), data...))
	})
	a := b.do("/safe/a%2Fb?q=1", map[string]string{"Patience": "2000", "Tokens": "5"}, "body")
	require.Equal(t, callerResponse{status: 200, header: a.header, body: "got body"}, a)
	require.Equal(t, "x", a.header.Get("Extra"))
	r := <-b.received
	require.Equal(t, "/safe/a%2Fb?q=1", r.RequestURI)
	require.Equal(t, "h", r.Host)
	require.Equal(t, "acme", r.Header.Get("Account"))
	require.Empty(t, r.Header.Get("Key"))
	left, err := strconv.Atoi(r.Header.Get("Left"))
	require.NoError(t, err)
	require.True(t, left > 1000 && left <= 2000)
	require.EqualValues(t, 995, b.quota.balance)
}

func TestRefusals(t *testing.T) {
	b := newTestbed(t, respondWith("x"))
	for name, c := range map[string]struct {
		path   string
		header map[string]string
		body   string
		status int
		code   result.Code
	}{
		"no route":      {"/none/", nil, "", 404, result.UnknownRoute},
		"no key":        {"/safe/", map[string]string{"Key": ""}, "", 401, result.MissingKey},
		"unknown key":   {"/safe/", map[string]string{"Key": "other"}, "", 401, result.WrongKey},
		"over the rate": {"/safe/", map[string]string{"Tokens": "5000"}, "", 429, result.OverRate},
		"large body":    {"/safe/", nil, strings.Repeat("x", 1001), 413, result.BodyTooLarge},
		"bad header":    {"/safe/", map[string]string{"Patience": "soon"}, "", 400, result.BadHeader},
		"no time":       {"/safe/", map[string]string{"Patience": "5"}, "", 503, result.DeadlineTooNear},
	} {
		a := b.do(c.path, c.header, c.body)
		require.Equal(t, c.status, a.status, name)
		require.Equal(t, strconv.Itoa(int(c.code)), a.header.Get(headerCode), name)
		require.Equal(t, string(result.NotRun), a.header.Get(headerOutcome), name)
		if c.status == 429 {
			require.Equal(t, "0.250", a.header.Get("Retry-After"))
		}
	}
	require.Zero(t, b.arrivals())
	b.keysValid = false
	require.Equal(t, 503, b.do("/safe/", nil, "").status, "keys cannot be checked")
	require.Equal(t, 200, b.do("/open/", map[string]string{"Key": ""}, "").status, "open routes need no key")
	b.rules = nil
	require.Equal(t, 503, b.do("/open/", nil, "").status, "no configuration yet")
}

// A request that must not run twice is sent once, whatever happens to it.
func TestUnsafeRequestsAreSentOnce(t *testing.T) {
	for name, h := range map[string]handler{"dropped": drop, "failed": failWith(500), "failed 503": failWith(503)} {
		b := newTestbed(t, h, respondWith("second"))
		a := b.do("/unsafe/", nil, "")
		require.Equal(t, 1, b.arrivals(), name)
		require.NotContains(t, []int{200, 429, 408, 421}, a.status, name)
		if name == "dropped" {
			require.Equal(t, 502, a.status)
			require.Equal(t, string(result.MayHaveRun), a.header.Get(headerOutcome))
		}
		require.Zero(t, b.quota.returned, "the tokens stay spent")
	}
}

// A request that an endpoint has not run goes to another one.
func TestRequestsThatHaveNotRunGoElsewhere(t *testing.T) {
	b := newTestbed(t, notRun, respondWith("second"))
	a := b.do("/unsafe/", nil, "")
	require.Equal(t, "second", a.body)
	require.Equal(t, 2, b.arrivals())
	b = newTestbed(t, notRun, notRun)
	a = b.do("/unsafe/", nil, "")
	require.Equal(t, 503, a.status)
	require.Equal(t, string(result.NotRun), a.header.Get(headerOutcome))
	require.NotEmpty(t, a.header.Get("Retry-After"))
	require.EqualValues(t, 1000, b.quota.balance, "the tokens are given back")
}

// An unreachable endpoint costs no retry.
func TestUnreachableEndpointsAreSkipped(t *testing.T) {
	b := newTestbed(t, respondWith("x"), respondWith("second"))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b.dispatcher.endpoints[0].Address = l.Addr().String()
	require.NoError(t, l.Close())
	b.retries = retry.NewWindow(time.Second, 0, func() float64 { return 0 })
	require.Equal(t, "second", b.do("/unsafe/", nil, "").body)
	require.True(t, b.dispatcher.outcomes[0].Unreachable)
}

// A failure of an endpoint is retried elsewhere if that is allowed, and passed on if it is not.
func TestIdempotentRequestsAreRetried(t *testing.T) {
	for name, h := range map[string]handler{"failed": failWith(500), "dropped": drop} {
		b := newTestbed(t, h, respondWith("second"))
		require.Equal(t, "second", b.do("/safe/", nil, "").body, name)
	}
	b := newTestbed(t, failWith(500), failWith(500), respondWith("third"))
	a := b.do("/safe/", nil, "")
	require.Equal(t, 500, a.status)
	require.Equal(t, "failed", a.body)
	require.Equal(t, 2, b.arrivals(), "no more attempts than the route allows")
	b = newTestbed(t, failWith(500), drop)
	a = b.do("/safe/", nil, "")
	require.Equal(t, 500, a.status, "the first endpoint's error response is passed on")
	b = newTestbed(t, failWith(500), respondWith("second"))
	b.retries = retry.NewWindow(time.Second, 0, func() float64 { return 0 })
	require.Equal(t, "failed", b.do("/safe/", nil, "").body, "the retry budget is used up")
}

// A truncated response is replaced by that of another endpoint as long as nothing of it was passed on.
func TestTruncatedResponsesAreReplaced(t *testing.T) {
	broken := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "some")
	}
	b := newTestbed(t, broken, respondWith("second"))
	require.Equal(t, "second", b.do("/safe/", nil, "").body)
	b = newTestbed(t, broken, respondWith("second"))
	a := b.do("/unsafe/", nil, "")
	require.Equal(t, 502, a.status)
	require.Equal(t, 1, b.arrivals())
}

// A response without the endpoint's signature does not come from the endpoint.
func TestUnsignedResponsesAreNotPassedOn(t *testing.T) {
	b := newTestbed(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Del("Signature")
		_, _ = io.WriteString(w, "forged")
	})
	require.Equal(t, 502, b.do("/unsafe/", nil, "").status)
}

func numberedEvents(from, to int) string {
	var s strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&s, "id: %d\ndata: event %d\n\n", i, i)
	}
	return s.String()
}

// flushThenDrop sends text, then breaks off.
func flushThenDrop(text string) handler {
	return func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, text)
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
}

// When a stream that must not be resumed breaks off, the caller's connection breaks off too, so that the stream
// does not look complete.
func TestBrokenStreamBreaksOff(t *testing.T) {
	b := newTestbed(t, flushThenDrop(numberedEvents(1, 2)), respondWith(numberedEvents(1, 5)))
	a := b.do("/stream/", nil, "")
	require.True(t, a.truncated)
	require.Equal(t, numberedEvents(1, 2), a.body)
	require.Equal(t, 1, b.arrivals())
}

// The endpoint that is to continue a broken stream responds with an error. That must not be passed on as part
// of the stream, nor end the stream as if it were complete.
func TestErrorDoesNotEndBrokenStream(t *testing.T) {
	for _, status := range []int{http.StatusInternalServerError, http.StatusBadRequest} {
		b := newTestbed(t, flushThenDrop(numberedEvents(1, 2)), failWith(status))
		a := b.do("/resume/", nil, "")
		require.True(t, a.truncated, "status %d", status)
		require.Equal(t, numberedEvents(1, 2), a.body)
		require.Equal(t, 2, b.arrivals())
	}
}

// A resumable stream continues at another endpoint after its last complete event, with the head of the first
// response.
func TestBrokenStreamIsResumed(t *testing.T) {
	first := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Signature", "first")
		flushThenDrop(numberedEvents(1, 2)+"id: 3\nda")(w, r)
	}
	second := func(w http.ResponseWriter, r *http.Request) {
		last, err := strconv.Atoi(r.Header.Get("Last"))
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		_, _ = io.WriteString(w, numberedEvents(last+1, 5))
	}
	b := newTestbed(t, first, second)
	a := b.do("/resume/", nil, "")
	require.False(t, a.truncated)
	require.Equal(t, numberedEvents(1, 5), a.body)
	require.Equal(t, "first", a.header.Get("Signature"))
	b = newTestbed(t, first, first)
	a = b.do("/resume/", nil, "")
	require.True(t, a.truncated)
	require.True(t, strings.HasPrefix(a.body, numberedEvents(1, 2)))
}

// Guards against one response with events of two software versions: what they write does not fit together.
func TestBrokenStreamIsResumedAtItsSoftwareVersion(t *testing.T) {
	broken := flushThenDrop(numberedEvents(1, 2))
	resumedAt := 0
	rest := func(endpoint int) handler {
		return func(w http.ResponseWriter, r *http.Request) {
			resumedAt = endpoint
			last, _ := strconv.Atoi(r.Header.Get("Last"))
			_, _ = io.WriteString(w, numberedEvents(last+1, 5))
		}
	}
	for name, test := range map[string]struct {
		versions []string
		arrivals int
		// resumed is the endpoint at which the stream goes on; 0 if it breaks off.
		resumed int
	}{
		"one version":            {versions: []string{"v1", "v1", "v1"}, arrivals: 2, resumed: 1},
		"the next is of another": {versions: []string{"v1", "v2", "v1"}, arrivals: 2, resumed: 2},
		"all others are":         {versions: []string{"v1", "v2", "v3"}, arrivals: 1},
		"the others state none":  {versions: []string{"v1", "", ""}, arrivals: 1},
		"the first states none":  {versions: []string{"", "v1", "v1"}, arrivals: 1},
		"none states one":        {versions: []string{"", "", ""}, arrivals: 2, resumed: 1},
	} {
		t.Run(name, func(t *testing.T) {
			resumedAt = 0
			b := newTestbed(t, broken, rest(1), rest(2))
			for i, version := range test.versions {
				b.dispatcher.endpoints[i].Software = version
			}
			a := b.do("/resume/", nil, "")
			require.Equal(t, test.arrivals, b.arrivals())
			require.Equal(t, test.resumed, resumedAt)
			require.Equal(t, test.resumed == 0, a.truncated)
			if test.resumed > 0 {
				require.Equal(t, numberedEvents(1, 5), a.body)
			}
		})
	}
}

// Guards against a stream that is not repeated before its first event: the version by the newest tables may begin it then, whatever
// that of the failed attempt was.
func TestStreamWithoutAnEventMayBeginAtAnotherSoftwareVersion(t *testing.T) {
	b := newTestbed(t, flushThenDrop(""), func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, numberedEvents(1, 5)) })
	b.dispatcher.endpoints[0].Software, b.dispatcher.endpoints[1].Software = "v1", "v2"
	b.streams.begins = []string{"v1", "v2"}
	a := b.do("/resume/", nil, "")
	require.False(t, a.truncated)
	require.Equal(t, numberedEvents(1, 5), a.body)
}

// Events are passed on as they arrive.
func TestEventsArePassedOnAtOnce(t *testing.T) {
	more := make(chan struct{})
	b := newTestbed(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, numberedEvents(1, 1))
		w.(http.Flusher).Flush()
		<-more
		_, _ = io.WriteString(w, numberedEvents(2, 2))
	})
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, b.server.URL+"/stream/", nil)
	require.NoError(t, err)
	req.Host = "h"
	req.Header.Set("Id", "r1")
	req.Header.Set("Key", "key")
	resp, err := b.server.Client().Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	line, err := bufio.NewReader(resp.Body).ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "id: 1\n", line)
	close(more)
}

// Progress must be reported to the dispatcher for each part of a stream that arrives some time after the one before.
func TestStreamPartsReportProgress(t *testing.T) {
	const parts = 3
	b := newTestbed(t, func(w http.ResponseWriter, _ *http.Request) {
		for i := range parts {
			_, _ = io.WriteString(w, numberedEvents(i+1, i+1))
			w.(http.Flusher).Flush()
			time.Sleep(progressInterval + progressInterval/2)
		}
	})
	b.do("/stream/", nil, "")
	b.dispatcher.mu.Lock()
	defer b.dispatcher.mu.Unlock()
	require.Equal(t, parts, b.dispatcher.progress)
}

// When the caller leaves, the endpoint's connection is closed if the request may be dropped.
func TestLeavingCallerCancelsRequest(t *testing.T) {
	ended := make(chan struct{})
	arrived := make(chan struct{})
	b := newTestbed(t, func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, b.server.URL+"/safe/", nil)
	require.NoError(t, err)
	req.Host = "h"
	req.Header.Set("Id", "r1")
	req.Header.Set("Key", "key")
	go func() {
		<-arrived
		cancel()
	}()
	_, err = b.server.Client().Do(req)
	require.Error(t, err)
	<-ended
}

// A request gets a final response when the time limit of its route is over.
func TestRouteTimeoutEndsRequest(t *testing.T) {
	release := make(chan struct{})
	b := newTestbed(t, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	a := b.do("/open/", nil, "")
	require.Equal(t, 504, a.status)
	require.Equal(t, string(result.MayHaveRun), a.header.Get(headerOutcome))
}

// Statuses that promise that a request has not run are not given to one that may have run.
func TestNotRunStatusesAreNotGivenToRequestsThatMayHaveRun(t *testing.T) {
	for _, info := range result.Table() {
		e := result.New(info.Code, "x")
		e.Outcome = result.MayHaveRun
		require.NotContains(t, []int{408, 421, 429, 503}, statusOf(e), info.Name)
	}
}

func TestChunkedBodiesAreForwarded(t *testing.T) {
	b := newTestbed(t, func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		_, _ = w.Write(data)
	})
	require.Equal(t, "one two", b.doChunked("/safe/", "one two").body)
}

func TestSplitterPassesCompleteEventsOnly(t *testing.T) {
	text := numberedEvents(1, 9)
	for size := 1; size < 40; size += 3 {
		var c eventSplitter
		var out strings.Builder
		for rest := text; len(rest) > 0; {
			n := min(size, len(rest))
			part, err := c.split([]byte(rest[:n]))
			require.NoError(t, err)
			complete := string(part)
			require.True(t, complete == "" || strings.HasSuffix(complete, "\n\n"))
			out.WriteString(complete)
			rest = rest[n:]
		}
		require.Equal(t, text, out.String())
		require.Equal(t, "9", c.lastID)
		require.Empty(t, c.rest())
	}
}

// Guards against requests that fail, use up a retry, or count against an endpoint because its failure domain was evacuated
// immediately before they were sent. A request that must not run twice goes elsewhere too: it has not run.
func TestRequestWithheldFromItsEndpointGoesToAnother(t *testing.T) {
	b := newTestbed(t, respondWith("evacuated"), respondWith("other"))
	b.withheld = []string{"e0"}
	b.retries = retry.NewWindow(10*time.Second, 0, func() float64 { return 0 })
	a := b.do("/unsafe/", nil, "")
	require.Equal(t, http.StatusOK, a.status)
	require.Equal(t, "other", a.body)
	require.Equal(t, 1, b.arrivals())
	require.Equal(t, Outcome{Canceled: true}, b.dispatcher.outcomes[0])

	b.withheld = []string{"e0", "e1"}
	a = b.do("/unsafe/", nil, "")
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.Equal(t, string(result.NotRun), a.header.Get(headerOutcome))
	require.Equal(t, "1.000", a.header.Get("Retry-After"))
	require.Equal(t, 1, b.arrivals())
}

// The line of a request names the updates by which it was authorized and sent, with their ages then and not at its end.
func TestLineOfARequestNamesTheUpdatesThatDecided(t *testing.T) {
	var b *testbed
	b = newTestbed(t, func(w http.ResponseWriter, _ *http.Request) {
		b.updates = Updates{Source: "later", List: 9, RulesAge: time.Hour, ListAge: time.Hour}
		_, _ = w.Write([]byte("x"))
	})
	b.updates = Updates{Source: "vm-2", List: 7, RulesAge: 200 * time.Millisecond, ListAge: 300 * time.Millisecond}
	require.Equal(t, http.StatusOK, b.do("/safe/x", map[string]string{"Key": "key"}, "").status)
	var line *logrus.Entry
	require.Eventually(t, func() bool {
		for _, entry := range b.logHook.AllEntries() {
			if entry.Data["event"] == "request" {
				line = entry
			}
		}
		return line != nil
	}, 5*time.Second, time.Millisecond)
	require.Equal(t, "vm-2", line.Data["updates_from"])
	require.Equal(t, 200*time.Millisecond, line.Data["config_age"])
	require.Equal(t, "vm-2", line.Data["list_from"])
	require.EqualValues(t, 7, line.Data["list"])
	require.Equal(t, 300*time.Millisecond, line.Data["list_age"])
}
