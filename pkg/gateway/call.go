package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/allowance"
	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/chart"
	"github.com/mallowlink/mallowlink/pkg/dialect"
	"github.com/mallowlink/mallowlink/pkg/httpheader"
	"github.com/mallowlink/mallowlink/pkg/memory"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/roster"
	"github.com/mallowlink/mallowlink/pkg/route"
	"github.com/mallowlink/mallowlink/pkg/suspect"
	"github.com/mallowlink/mallowlink/pkg/upstream"
)

const (
	// defaultTimeLimit applies to requests if neither the caller nor the route states a time limit.
	defaultTimeLimit = 30 * time.Second
	// responseMargin is how long before its deadline a request gets its final response, to leave time for the
	// way back to the caller.
	responseMargin = 10 * time.Millisecond
	// minUsefulTime is the least remaining time with which it is worth sending a request.
	minUsefulTime = 20 * time.Millisecond
	// maxRejections is the number of endpoints that may reject a request, or be found unreachable, before the
	// request is refused.
	maxRejections = 4
	// defaultRetryAfter is the Retry-After of a refused request if no better time is known.
	defaultRetryAfter = time.Second
)

// Causes with which a request's context ends.
var (
	// errTimeLimit says that the request's deadline has come.
	errTimeLimit = errors.New("request time limit exceeded")
	// errStopping says that this VM stops.
	errStopping = errors.New("this VM is stopping")
)

// drainingRetryAfter is the Retry-After of requests that a stopping VM refuses: another VM can take them at once.
const drainingRetryAfter = 100 * time.Millisecond

// call is one request on its way through the states of call.chart. It belongs to the goroutine that serves the
// request and is not safe for concurrent use.
type call struct {
	g            *Gateway
	w            http.ResponseWriter
	r            *http.Request
	stateMachine *chart.Machine
	arrived      time.Time

	ctx      context.Context
	cancel   context.CancelFunc
	deadline time.Time
	// timeLimit is the time that the request has from its arrival; 0 before it is known.
	timeLimit time.Duration

	// configVersion is the version of the configuration by which the request is handled.
	configVersion uint64
	// authorizedBy and sentBy are the updates by which the request was authorized, and last sent to an endpoint.
	authorizedBy, sentBy Updates
	route                bundle.Route
	group                bundle.Group
	terms                dialect.RequestInfo
	account              string
	// cost is what the request costs its account in tokens, charge what has been spent.
	cost   int64
	charge allowance.Charge
	// urgency ranks the request; 0 is first.
	urgency int
	body    []byte
	// heldMemory is the memory that the request has taken from the budget, in bytes.
	heldMemory int64
	// heldByResponses is the memory that endpoints' responses to the request have taken.
	heldByResponses []heldMemory
	// cachedFingerprint is the request's fingerprint; 0 until it has been computed.
	cachedFingerprint uint64
	// cachedParts are the shared parts of the prompt; nil until they have been collected.
	cachedParts []string
	// partTrial is the held part as whose trial the request may be sent; 0 if there is none.
	partTrial uint64
	// writingSince is when the first part of the endpoint's answer arrived: an event, or the beginning of a long body; zero before.
	writingSince time.Time
	// suspected says that the request is counted as a suspect at its endpoint.
	suspected bool
	// maybeCrashed is the incarnation of an endpoint that may have crashed while it ran the request; nil if
	// there is none or once that is decided.
	maybeCrashed *roster.Incarnation

	// version is the software version at which the stream may run.
	version   streamVersion
	placement Placement
	response  *upstream.Response
	sentAt    time.Time
	// headAt is when the head of the response arrived; zero before.
	headAt time.Time
	// partAt is when the first part of the response to the current attempt arrived; zero before.
	partAt time.Time
	// runs counts the endpoints that may have run the request, rejections those that have not.
	runs, rejections int
	// exclude lists the endpoints that must not get the request again.
	exclude []string
	// waited is the time spent waiting for placements, firstByte the time from arrival to the first part of the
	// response.
	waited    time.Duration
	firstByte time.Duration
	// lastProgress is when progress of the response was last reported to the dispatcher.
	lastProgress time.Time
	// fallback is an endpoint's error response, which the caller gets if no other endpoint gives a better one.
	fallback *bufferedResponse
	// relay is how much of the response has been passed on.
	relay relay
	// watch watches the writes to the caller.
	watch writeWatch
	// ahead reads the response ahead; nil unless the caller reads slowly. The watch sets it while a write is in progress.
	ahead *readAhead
	// failure is why the request failed or was refused.
	failure *result.Error
}

// bufferedResponse is a response that has been read completely.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

func newCall(g *Gateway, w http.ResponseWriter, r *http.Request) *call {
	c := &call{g: g, w: w, r: r, stateMachine: chart.NewMachine(callChart), arrived: time.Now()}
	c.watch.slow, c.watch.control, c.watch.onStalled = g.slow, http.NewResponseController(w), c.callerStalled
	c.watch.limit = g.slow.stallLimit(nil)
	c.watch.acknowledged = func() uint64 { return acknowledged(r.Context()) }
	return c
}

// steps maps the states that are not final to their steps.
var steps = map[chart.State]func(*call) chart.Event{
	stateReceived:   (*call).authorize,
	stateAuthorized: (*call).admit,
	stateAdmitted:   (*call).chooseEndpoint,
	statePlaced:     (*call).send,
	stateAnswering:  (*call).passResponse,
}

// run drives the call to a final state and completes the response.
func (c *call) run() {
	c.g.meters.requests.Inc(1)
	defer func() {
		if c.cancel != nil {
			c.cancel()
		}
		if c.ahead != nil {
			// A panic has ended the call.
			c.ahead.stop()
		}
		c.releaseMemory()
	}()
	for {
		step, ok := steps[c.stateMachine.State()]
		if !ok {
			break
		}
		event := step(c)
		if err := c.stateMachine.Fire(event); err != nil {
			c.g.cfg.Log.WithError(err).WithField("event", "call_event_rejected").Error("state machine rejected the event of a step")
			c.failure = result.New(result.Internal, "internal error")
			break
		}
	}
	c.finish()
}

// refuse ends the call as not run, unless an earlier attempt may have run.
func (c *call) refuse(e *result.Error) chart.Event {
	if c.runs > 0 {
		return c.fail(result.New(result.EndpointFailed, "no other endpoint could take the request: "+e.Detail))
	}
	if e.RetryAfter == 0 && (e.Code.Info().Status == http.StatusServiceUnavailable || e.Code.Info().Status == http.StatusTooManyRequests) {
		e.RetryAfter = defaultRetryAfter
	}
	c.failure = e
	return eventRefuse
}

// fail ends the call as failed: the request has run, or may have.
func (c *call) fail(e *result.Error) chart.Event {
	c.failure = e
	return eventFail
}

// authorize selects the route, checks the key, sets the deadline and reads the body.
func (c *call) authorize() chart.Event {
	rules := c.g.cfg.Rules()
	if rules == nil {
		return c.refuse(result.New(result.NoBundle, "this VM has no configuration yet"))
	}
	c.configVersion, c.watch.limit = rules.Bundle.Version, c.g.slow.stallLimit(rules)
	c.authorizedBy = c.g.cfg.Updates()
	var ok bool
	if c.route, ok = rules.Routes.Match(c.r.Host, c.r.URL.Path); !ok {
		return c.refuse(result.New(result.UnknownRoute, "no route has this host and path"))
	}
	if limit := rules.Bundle.Callers.HeaderBytes; limit > 0 && httpheader.Size(c.r) > limit {
		return c.refuse(result.New(result.HeaderTooLarge, "the header is larger than the limit"))
	}
	var err error
	if c.terms, err = c.g.cfg.Dialect.Inspect(c.r.Header); err != nil {
		return c.refuse(result.New(result.BadHeader, err.Error()))
	}
	if e := c.authenticate(rules); e != nil {
		return c.refuse(e)
	}
	c.group = rules.Bundle.Groups[route.PickGroup(c.route, rand.Float64())]
	c.g.cfg.Retries(c.group.Name).CountRequest(c.arrived)
	c.setDeadline()
	if e := c.readBody(rules.Bundle.Callers.BodyBytes); e != nil {
		return c.refuse(e)
	}
	if e := c.abortReason(); e != nil {
		return c.refuse(e)
	}
	return eventAuthorize
}

// authenticate finds the account that the caller's key belongs to.
func (c *call) authenticate(rules *Rules) *result.Error {
	c.urgency = c.route.Priority
	if c.route.Open || len(rules.Bundle.Accounts) == 0 {
		return nil
	}
	if !c.g.cfg.KeysValid() {
		return result.New(result.StoreDown, "this VM cannot tell whether the key is still valid")
	}
	if c.terms.Key == "" {
		return result.New(result.MissingKey, "the route needs a key")
	}
	account, ok := rules.Bundle.AccountOf(c.terms.Key)
	if !ok {
		return result.New(result.WrongKey, "the key is not known")
	}
	c.account = account.Name
	c.cost = c.price(account)
	if account.HasPriority {
		c.urgency = account.Priority
	}
	return nil
}

// price returns what the request costs its account.
func (c *call) price(account bundle.Account) int64 {
	switch {
	case account.Rate <= 0:
		return 0
	case account.PerRequest:
		return 1
	case c.terms.HasTokens:
		return c.terms.Tokens()
	}
	return account.CallCost
}

// setDeadline sets the request's deadline and context. A request that must not run twice goes on at its
// endpoint after the caller has left, so that the endpoint's record of it stays true.
func (c *call) setDeadline() {
	c.timeLimit = defaultTimeLimit
	if c.route.Timeout > 0 {
		c.timeLimit = c.route.Timeout
	}
	if c.terms.Timeout > 0 {
		c.timeLimit = min(c.timeLimit, c.terms.Timeout)
	}
	c.deadline = c.arrived.Add(c.timeLimit)
	parent := c.r.Context()
	if !c.cancelable() {
		parent = context.WithoutCancel(parent)
	}
	ctx, interrupt := context.WithCancelCause(parent)
	forget := context.AfterFunc(c.g.working, func() { interrupt(errStopping) })
	var cancel context.CancelFunc
	c.ctx, cancel = context.WithDeadlineCause(ctx, c.deadline.Add(-responseMargin), errTimeLimit)
	c.cancel = func() {
		forget()
		cancel()
		interrupt(nil)
	}
}

// cancelable reports whether the endpoint may drop the request when the caller leaves.
func (c *call) cancelable() bool { return c.route.Idempotent || c.route.Stream }

// repeatable reports whether the request may be sent again after an endpoint may have run it.
func (c *call) repeatable() bool { return c.route.Idempotent || c.route.Resumable }

// readBody reads the request body within the size limit, the memory budget and the deadline.
func (c *call) readBody(limit int64) *result.Error {
	if limit > 0 && c.r.ContentLength > limit {
		return result.New(result.BodyTooLarge, "the body is larger than the limit")
	}
	if c.r.Body == nil || c.r.Body == http.NoBody {
		return nil
	}
	// Only the response recorders of tests do not support deadlines.
	control := c.watch.control
	_ = control.SetReadDeadline(c.deadline)
	var held int64
	var err error
	c.body, held, err = c.g.cfg.Memory.ReadAll(c.r.Body, c.r.ContentLength, limit)
	c.heldMemory += held
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		return nil
	}
	c.w.Header().Set("Connection", "close")
	switch {
	case errors.Is(err, memory.ErrExhausted):
		return result.New(result.QueueFull, "no memory for the body")
	case errors.Is(err, memory.ErrTooLarge):
		return result.New(result.BodyTooLarge, "the body is larger than the limit")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return result.New(result.DeadlineTooNear, "the body has not arrived in time")
	}
	return result.New(result.MalformedBody, "the body ended early")
}

// admit refuses a request that must not be sent to any endpoint, and spends the account's tokens.
func (c *call) admit() chart.Event {
	if e := c.admitParts(); e != nil {
		return c.refuse(e)
	}
	if c.cost == 0 {
		return eventAdmit
	}
	var err error
	if c.charge, err = c.g.cfg.Quota.Admit(c.ctx, c.account, c.cost); err != nil {
		return c.refuse(asResult(err))
	}
	return eventAdmit
}

// asResult returns the error as a *result.Error.
func asResult(err error) *result.Error {
	var e *result.Error
	if errors.As(err, &e) {
		return e
	}
	return result.New(result.Internal, err.Error())
}

// chooseEndpoint gets a placement from the dispatcher.
func (c *call) chooseEndpoint() chart.Event {
	if e := c.abortReason(); e != nil {
		return c.refuse(e)
	}
	if e := c.bindVersion(); e != nil {
		return c.refuse(e)
	}
	began := time.Now()
	placement, err := c.awaitPlacement()
	c.waited += time.Since(began)
	if err != nil {
		if e := c.abortReason(); e != nil {
			return c.refuse(e)
		}
		return c.refuse(asResult(err))
	}
	c.placement = placement
	return eventPlace
}

// awaitPlacement waits for a placement, if the request has not run yet only while the gateway admits requests.
func (c *call) awaitPlacement() (Placement, error) {
	if c.runs > 0 {
		return c.requestPlacement(c.ctx)
	}
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	forget := context.AfterFunc(c.g.admitting, func() { cancel(errStopping) })
	defer forget()
	return c.requestPlacement(ctx)
}

// dispatchRequest returns the description of the request for the dispatcher.
func (c *call) dispatchRequest() Request {
	continues, version := c.relay.headSent, c.relay.software
	if !continues {
		continues, version = c.version.bound, c.version.Version
	}
	return Request{
		ID: c.terms.ID, Group: c.group, Route: c.route, Account: c.account, Terms: c.terms,
		Urgency: c.urgency, OverLimit: c.charge.OverLimit, Arrived: c.arrived, Deadline: c.deadline, Exclude: c.exclude,
		Continues: continues, Software: version,
	}
}

// fingerprint identifies equal requests of one client account. It is computed only when needed, because its
// cost grows with the body.
func (c *call) fingerprint() uint64 {
	if c.cachedFingerprint == 0 {
		c.cachedFingerprint = suspect.Fingerprint(c.account, suspect.Hash(c.r.Method, c.r.RequestURI, c.body))
	}
	return c.cachedFingerprint
}

// abortReason returns why the call must end before it is sent: its caller has left, its time is up or this VM stops; nil if
// it may go on.
func (c *call) abortReason() *result.Error {
	if errors.Is(context.Cause(c.ctx), errStopping) || c.runs == 0 && c.g.admitting.Err() != nil {
		e := result.New(result.Draining, "this VM is stopping")
		e.RetryAfter = drainingRetryAfter
		return e
	}
	if c.ctx.Err() != nil && !errors.Is(context.Cause(c.ctx), errTimeLimit) {
		e := result.New(result.CallerGone, "the caller closed the connection")
		e.Outcome = result.NotRun
		return e
	}
	if time.Until(c.deadline) < minUsefulTime {
		return result.New(result.DeadlineTooNear, "the time left is too short to run the request")
	}
	return nil
}

// finish responds to the caller unless a response is on its way, and returns the tokens of a request that has
// not run.
func (c *call) finish() {
	state := c.stateMachine.State()
	if c.charge.Tokens > 0 && c.runs == 0 && state != stateAnswered {
		c.g.cfg.Quota.Return(c.charge)
	}
	c.recordMetrics(state)
	c.logEnd(state)
	switch {
	case state == stateAnswered:
	case c.relay.headSent:
		c.breakOff()
	case c.fallback != nil:
		c.writeBuffered(c.fallback)
	case c.failure != nil:
		writeError(c.w, c.failure)
	}
	c.releaseMemory()
	// An error means that the caller has left or does not read. net/http closes its connection then.
	_ = c.write(nil, true)
	c.watch.limitRest()
}

// releaseMemory releases what the request and its responses have taken from the budgets.
func (c *call) releaseMemory() {
	c.g.cfg.Memory.Release(c.heldMemory)
	c.heldMemory = 0
	c.releaseResponses()
}

// breakOff ends a response of which a part has been passed on, so that the caller detects that it is incomplete. Callers of
// HTTP/1.0 get streams that end with the connection, and detect only a reset of that.
func (c *call) breakOff() {
	if !c.r.ProtoAtLeast(1, 1) {
		if err := resetConnection(c.w); err != nil {
			c.g.cfg.Log.WithError(err).WithFields(logrus.Fields{"event": "connection_not_reset", "id": c.terms.ID}).
				Warn("could not reset the connection; the caller may take the response for complete")
		}
	}
	panic(http.ErrAbortHandler)
}

// resetConnection resets the connection of a response.
func resetConnection(w http.ResponseWriter) error {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return errors.Wrap(err, "take over connection")
	}
	lingering, ok := conn.(interface{ SetLinger(sec int) error })
	if !ok {
		err = errors.Errorf("%T cannot be reset", conn)
	} else {
		err = lingering.SetLinger(0)
	}
	return errors.Join(err, conn.Close())
}

// recordMetrics updates the metrics for a call that has ended.
func (c *call) recordMetrics(state chart.State) {
	m := &c.g.meters
	switch state {
	case stateAnswered:
		m.answered.Inc(1)
	case stateRefused:
		m.refused.Inc(1)
	default:
		m.failed.Inc(1)
	}
	observe(m.wait, c.waited)
	if c.firstByte > 0 {
		observe(m.first, c.firstByte)
	}
}
