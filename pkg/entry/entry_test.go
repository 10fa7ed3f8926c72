package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/ledger"
	"github.com/mallowlink/mallowlink/pkg/memory"
	"github.com/mallowlink/mallowlink/pkg/request"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/retry"
	"github.com/mallowlink/mallowlink/pkg/suspect"
	"github.com/mallowlink/mallowlink/pkg/work"
	"github.com/mallowlink/mallowlink/pkg/work/worktest"
)

const testKey = "key-of-account-a-0123456789"

type staticSource struct{ bundle atomic.Pointer[bundle.Bundle] }

func (s *staticSource) Current() *bundle.Bundle { return s.bundle.Load() }

type unlimitedQuota struct{}

func (unlimitedQuota) Admit(context.Context, string, int64) error { return nil }
func (unlimitedQuota) Return(string, int64)                       {}

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func testBundle() *bundle.Bundle {
	return &bundle.Bundle{
		Version: 1,
		Fleet:   bundle.Fleet{RetryPercent: 10},
		Models:  map[string]bundle.Model{"base": {Name: "base", MaxTokens: 256, PrefixBytes: 64}},
		Groups: map[string]bundle.Group{
			"engines":  {Name: "engines", Kind: bundle.KindEngine, Model: "base"},
			"services": {Name: "services", Kind: bundle.KindService},
		},
		Adapters: map[string]bundle.Adapter{
			"help":   {Name: "help", Model: "base", Versions: []string{"1", "2"}, Default: "2", Accounts: []string{"a"}},
			"secret": {Name: "secret", Model: "base", Versions: []string{"1"}, Default: "1", Accounts: []string{"b"}},
		},
		Routes: map[string]bundle.Route{
			"lookup": {Name: "lookup", Method: "GET", Path: "/tags/{id}", Group: "services", Idempotent: true, Class: bundle.Interactive},
			"issue":  {Name: "issue", Method: "POST", Path: "/issues", Group: "services", Class: bundle.Interactive},
			"status": {Name: "status", Method: "GET", Path: "/status", Group: "services", Open: true, Idempotent: true, Class: bundle.Batch},
		},
		Accounts: map[string]bundle.Account{"a": {Name: "a", Rate: 1000, Burst: 1000, Weight: 1}, "b": {Name: "b"}},
		Keys:     map[string]bundle.Key{"k": {Name: "k", Account: "a", SHA256: hashOf(testKey)}},
	}
}

// testbed is a Handler with a request.Service behind it, served over HTTP, and one fake endpoint that is in
// both groups.
type testbed struct {
	*httptest.Server
	endpoint *worktest.Endpoint
	owner    *worktest.Owner
	source   *staticSource
	handler  *Handler
	service  *request.Service
}

func discardLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func newTestbed(t testing.TB, plan func(*work.Request) worktest.Plan) *testbed {
	t.Helper()
	endpoint := worktest.NewEndpoint(plan)
	owner := worktest.NewOwner("vm1/1", endpoint)
	directory := worktest.NewDirectory()
	directory.Set("engines", owner)
	directory.Set("services", owner)
	limits := DefaultLimits()
	held := memory.NewBudget(limits.MaxMemory)
	registry := metrics.NewRegistry()
	service := request.NewService(request.Config{
		Directory: directory,
		Quota:     unlimitedQuota{},
		Ledger:    ledger.New(nil, request.OwnerProver{Directory: directory}, registry, discardLog()),
		Suspects:  suspect.NewGuard(suspect.NewTable(suspect.OwnerLimits()), nil),
		Retries:   retry.New(),
		Memory:    held,
		Metrics:   registry,
		Log:       discardLog(),
	})
	source := &staticSource{}
	source.bundle.Store(testBundle())
	handler := NewHandler(Config{
		Source: source, Runner: service, Limits: limits, Memory: held,
		Metrics: registry, Log: discardLog(), Ready: func() error { return nil },
	})
	server := httptest.NewUnstartedServer(handler)
	server.Config = NewHTTPServer(handler, nil)
	server.Start()
	t.Cleanup(server.Close)
	return &testbed{server, endpoint, owner, source, handler, service}
}

// threeEvents is the plan of an endpoint that responds with three events.
func threeEvents(*work.Request) worktest.Plan { return worktest.Plan{Events: 3} }

func (s *testbed) client(key string) openai.Client {
	return openai.NewClient(option.WithAPIKey(key), option.WithBaseURL(s.URL+"/v1/"), option.WithMaxRetries(0))
}

func chatParams(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    model,
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("is the saw free?")},
	}
}

func TestOpenAIClient(t *testing.T) {
	s := newTestbed(t, threeEvents)
	client := s.client(testKey)

	t.Run("plain", func(t *testing.T) {
		var raw *http.Response
		answer, err := client.Chat.Completions.New(t.Context(), chatParams("help"), option.WithResponseInto(&raw))
		require.NoError(t, err)
		require.Equal(t, "help:2", raw.Header.Get(HeaderAdapter))
		require.Empty(t, raw.Header.Get("X-Answer-To"), "an engine's own header fields are not passed on")
		require.Equal(t, "answer to "+raw.Header.Get(HeaderRequest), answer.Choices[0].Message.Content)
	})
	t.Run("streamed", func(t *testing.T) {
		stream := client.Chat.Completions.NewStreaming(t.Context(), chatParams("help:1"))
		text := ""
		for stream.Next() {
			text += stream.Current().Choices[0].Delta.Content
		}
		require.NoError(t, stream.Err())
		require.Equal(t, "w0 w1 w2 ", text)
	})
	t.Run("models", func(t *testing.T) {
		page, err := client.Models.List(t.Context())
		require.NoError(t, err)
		var ids []string
		for _, m := range page.Data {
			ids = append(ids, m.ID)
		}
		require.Equal(t, []string{"help", "help:1", "help:2"}, ids)
	})
	t.Run("unknown model", func(t *testing.T) {
		_, err := client.Chat.Completions.New(t.Context(), chatParams("nobody"))
		var e *openai.Error
		require.ErrorAs(t, err, &e)
		require.Equal(t, http.StatusNotFound, e.StatusCode)
		require.Equal(t, "unknown-model", e.Code)
	})
	t.Run("wrong key", func(t *testing.T) {
		_, err := s.clientError(t, "wrong")
		require.Equal(t, "wrong-key", err.Code)
	})
}

func (s *testbed) clientError(t *testing.T, key string) (*openai.ChatCompletion, *openai.Error) {
	client := s.client(key)
	answer, err := client.Chat.Completions.New(t.Context(), chatParams("help"))
	var e *openai.Error
	require.ErrorAs(t, err, &e)
	return answer, e
}

// TestOpenAIClientSeesCutStream checks that OpenAI's client reports an error, not a complete response, if the
// endpoint crashes in the middle of a stream.
func TestOpenAIClientSeesCutStream(t *testing.T) {
	crash := &work.Failure{Code: result.EndpointFailed, Outcome: result.MayHaveRun, Crashed: true, Crash: "e1/1"}
	s := newTestbed(t, func(*work.Request) worktest.Plan {
		return worktest.Plan{Events: 5, EventEvery: time.Millisecond, FailAt: 2, Failure: crash}
	})
	client := s.client(testKey)
	stream := client.Chat.Completions.NewStreaming(t.Context(), chatParams("help"))
	for stream.Next() {
	}
	require.ErrorContains(t, stream.Err(), "answer-cut")
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	s := newTestbed(t, threeEvents)
	good := `{"model":"help","messages":[{"role":"user","content":"x"}]}`
	cases := []struct {
		name, method, path, body string
		header                   http.Header
		status                   int
		code                     result.Code
	}{
		{"malformed", "POST", "/v1/chat/completions", `{"model":`, nil, 400, result.MalformedBody},
		{"no model", "POST", "/v1/chat/completions", `{"messages":[1]}`, nil, 400, result.MalformedBody},
		{"no messages", "POST", "/v1/chat/completions", `{"model":"help"}`, nil, 400, result.MalformedBody},
		{"bad n", "POST", "/v1/chat/completions", `{"model":"help","messages":[1],"n":-1}`, nil, 400, result.MalformedBody},
		{"unknown version", "POST", "/v1/chat/completions", strings.Replace(good, "help", "help:9", 1), nil, 404, result.UnknownModel},
		{"other account's", "POST", "/v1/chat/completions", strings.Replace(good, "help", "secret", 1), nil, 403, result.NotAllowed},
		{"missing key", "POST", "/v1/chat/completions", good, http.Header{"Authorization": nil}, 401, result.MissingKey},
		{"wrong key", "POST", "/v1/chat/completions", good, http.Header{"Authorization": {"Bearer no"}}, 401, result.WrongKey},
		{"two keys", "POST", "/v1/chat/completions", good, http.Header{"Authorization": {"Bearer a", "Bearer b"}}, 400, result.BadHeader},
		{"class", "POST", "/v1/chat/completions", good, http.Header{HeaderClass: {"urgent"}}, 400, result.BadHeader},
		{"timeout", "POST", "/v1/chat/completions", good, http.Header{HeaderTimeout: {"-3s"}}, 400, result.BadHeader},
		{"encoding", "POST", "/v1/chat/completions", good, http.Header{"Content-Encoding": {"gzip"}}, 400, result.BadHeader},
		{"big header", "POST", "/v1/chat/completions", good, http.Header{"X-Big": {strings.Repeat("x", 40<<10)}}, 400, result.BadHeader},
		{"big body", "POST", "/v1/chat/completions", strings.Repeat("x", 5<<20), nil, 413, result.BodyTooLarge},
		{"wrong method", "GET", "/v1/chat/completions", "", nil, 405, result.WrongMethod},
		{"unknown route", "GET", "/nothing", "", nil, 404, result.UnknownRoute},
		{"route method", "DELETE", "/issues", "", nil, 405, result.WrongMethod},
		{"dots", "GET", "/tags/%2e%2e", "", nil, 404, result.UnknownRoute},
		{"empty idempotency key", "POST", "/issues", "", http.Header{HeaderIdempotencyKey: {""}}, 400, result.BadHeader},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			status, body, header := s.do(t, c.method, c.path, c.body, c.header)
			require.Equal(t, c.status, status, "%s", body)
			var e errorBody
			require.NoError(t, json.Unmarshal(body, &e))
			require.Equal(t, c.code, e.Error.Result)
			require.Equal(t, result.NotRun, e.Error.Outcome)
			require.Equal(t, header.Get(HeaderRequest), e.Error.RequestID)
			if c.status == http.StatusMethodNotAllowed {
				require.Equal(t, "POST", header.Get("Allow"))
			}
		})
	}
	require.Zero(t, s.endpoint.Total(), "no refused request reaches the endpoint")
}

func (s *testbed) do(t testing.TB, method, path, body string, header http.Header) (int, []byte, http.Header) {
	t.Helper()
	req, err := http.NewRequest(method, s.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	for name, values := range header {
		req.Header[name] = values
		if values == nil {
			req.Header.Del(name)
		}
	}
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	return res.StatusCode, data, res.Header
}

// TestKeyReachesNoEndpoint sends the caller's key in the query, header and body of requests. It must not be
// forwarded in any of them.
func TestKeyReachesNoEndpoint(t *testing.T) {
	s := newTestbed(t, threeEvents)
	body := `{"note":"` + testKey + `"}`
	header := http.Header{
		"X-Api-Key":           {testKey},
		"Proxy-Authorization": {"Basic " + testKey},
		"Cookie":              {"session=" + testKey},
		"X-Other":             {"prefix " + testKey + " suffix"},
		"X-" + testKey:        {"name"},
		"Connection":          {"X-Named"},
		"X-Named":             {"hop"},
		"X-Kept":              {"kept"},
	}
	status, _, _ := s.do(t, "POST", "/issues?api_key="+testKey+"&tag=7&x%2d="+testKey, body, header)
	require.Equal(t, http.StatusOK, status)
	call := s.endpoint.Calls()[0].Call
	seen, err := json.Marshal(call)
	require.NoError(t, err)
	require.NotContains(t, string(seen), testKey)
	require.NotContains(t, string(call.Body), testKey)
	require.Equal(t, "/issues?tag=7", call.Path)
	require.Equal(t, []string{"kept"}, call.Header["X-Kept"])
	require.NotContains(t, call.Header, "X-Named")

	status, _, _ = s.do(t, "GET", "/status?k="+testKey, "", http.Header{"Authorization": nil, "Api-Key": {testKey}})
	require.Equal(t, http.StatusOK, status)
	open := s.endpoint.Calls()[1]
	require.Equal(t, "/status", open.Call.Path)
	require.NotContains(t, open.Call.Header, "Api-Key")
	require.Empty(t, open.Account)

	escaped := `{"note":"\u006b` + testKey[1:] + `"}`
	status, _, _ = s.do(t, "POST", "/issues", escaped, nil)
	require.Equal(t, http.StatusBadRequest, status)
}

func TestKeyIsRemovedFromHeaderNamesAndRefusedInJSON(t *testing.T) {
	const key = "Secret-Key"
	known := func(text string) bool { return text == key }
	shown := credentials{key: key, secrets: []string{key}, isKey: known}
	require.Empty(t, shown.redactHeader(http.Header{"X-Secret-Key": {"1"}, "Secret-Key": {"1"}}))
	require.Empty(t, shown.redactHeader(http.Header{http.CanonicalHeaderKey("x-sEcret-kEy-x"): {"1"}}))
	hidden := credentials{isKey: known}
	for _, body := range []string{`{"api_key":"Secret-Key"}`, `["x",{"Secret-Key":1}]`, `{"k":"\u0053ecret-Key"}`} {
		_, e := hidden.redactBody([]byte(body), "application/json")
		require.NotNil(t, e, body)
		require.Equal(t, result.MalformedBody, e.Code)
		require.NotContains(t, e.Error(), key)
	}
	_, e := hidden.redactBody([]byte(`{"note":"no key"}`), "application/json")
	require.Nil(t, e)
}

// TestWithdrawnKeyOnKeptConnectionAndInQueue checks that a key removed from the bundle is refused for a
// request that is already queued, and for later requests on the same connection.
func TestWithdrawnKeyOnKeptConnectionAndInQueue(t *testing.T) {
	s := newTestbed(t, func(*work.Request) worktest.Plan { return worktest.Plan{Events: 1, QueueFor: 3 * time.Second} })
	without := testBundle()
	without.Keys = nil
	time.AfterFunc(50*time.Millisecond, func() { s.source.bundle.Store(without) })
	status, body, _ := s.do(t, "GET", "/tags/1", "", nil)
	require.Equal(t, http.StatusUnauthorized, status)
	require.Contains(t, string(body), `"outcome":"not-run"`)
	status, _, _ = s.do(t, "GET", "/tags/1", "", nil)
	require.Equal(t, http.StatusUnauthorized, status)
	require.Zero(t, s.endpoint.Total())
}

func TestHealthAndReadinessProbes(t *testing.T) {
	s := newTestbed(t, threeEvents)
	status, _, _ := s.do(t, "GET", "/readyz", "", nil)
	require.Equal(t, http.StatusOK, status)
	s.handler.SetDraining()
	status, _, _ = s.do(t, "GET", "/readyz", "", nil)
	require.Equal(t, http.StatusServiceUnavailable, status)
	status, _, _ = s.do(t, "GET", "/healthz", "", nil)
	require.Equal(t, http.StatusOK, status)
}
