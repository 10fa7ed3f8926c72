package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

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
	// defaultPatience bounds a request whose caller and route name no time.
	defaultPatience = 30 * time.Second
	// answerMargin is how long before a request's time is over it gets its final answer, for the way
	// back to the caller.
	answerMargin = 10 * time.Millisecond
	// minUseful is the least time that is worth sending a request with.
	minUseful = 20 * time.Millisecond
	// maxRejections bounds the endpoints that may reject a request, or be found unreachable, before it
	// is refused.
	maxRejections = 4
	// comeBack is when a caller should come back if nothing better is known.
	comeBack = time.Second
)

// errTimeOver is why a request's context ends when its time is over.
var errTimeOver = errors.New("the request's time is over")

// call is one request on its way through the chart. It belongs to the goroutine that serves it.
type call struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	machine *chart.Machine
	arrived time.Time

	ctx      context.Context
	cancel   context.CancelFunc
	deadline time.Time
	// limit is the time that the request has from its arrival; 0 before it is known.
	limit time.Duration

	// version is that of the configuration that the request is handled by.
	version uint64
	route   bundle.Route
	group   bundle.Group
	terms   dialect.Terms
	account string
	// cost is what the request costs its account, charge what it has paid.
	cost   int64
	charge allowance.Charge
	// urgency ranks the request; 0 is first.
	urgency int
	body    []byte
	// held is the memory that the request has taken, in bytes.
	held int64
	// identity is the request's fingerprint, 0 until it has been computed.
	identity uint64
	// suspected says that the request is counted as a suspect at its endpoint.
	suspected bool
	// struck is the run of an endpoint that may have ended under the request; nil once that is decided.
	struck *roster.Incarnation

	place  Placement
	answer *upstream.Answer
	sentAt time.Time
	// headAt is when the head of the answer arrived; zero before.
	headAt time.Time
	// runs counts the endpoints that may have run the request, rejections those that have not.
	runs, rejections int
	exclude          []string
	waited           time.Duration
	first            time.Duration
	// progressAt is when the endpoint was last noted to go on with the answer.
	progressAt time.Time
	// spare is an endpoint's error answer, passed on if no other endpoint gives a better one.
	spare *stored
	relay relay
	// failure is why the request was not answered.
	failure *result.Error
}

// stored is an answer read in whole.
type stored struct {
	status int
	header http.Header
	body   []byte
}

func newCall(g *Gateway, w http.ResponseWriter, r *http.Request) *call {
	return &call{g: g, w: w, r: r, machine: chart.NewMachine(callChart), arrived: time.Now()}
}

// steps are the steps of the states that are not final.
var steps = map[chart.State]func(*call) chart.Event{
	stateReceived:   (*call).authorize,
	stateAuthorized: (*call).admit,
	stateAdmitted:   (*call).choose,
	statePlaced:     (*call).send,
	stateAnswering:  (*call).pass,
}

// run drives the call to a final state and answers the caller.
func (c *call) run() {
	c.g.meters.requests.Inc(1)
	defer func() {
		if c.cancel != nil {
			c.cancel()
		}
		c.g.cfg.Memory.Give(c.held)
	}()
	for {
		step, ok := steps[c.machine.State()]
		if !ok {
			break
		}
		event := step(c)
		if err := c.machine.Fire(event); err != nil {
			c.g.cfg.Log.WithError(err).WithField("event", "call_event_rejected").Error()
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
		e.RetryAfter = comeBack
	}
	c.failure = e
	return eventRefuse
}

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
	c.version = rules.Bundle.Version
	var ok bool
	if c.route, ok = rules.Routes.Match(c.r.Host, c.r.URL.Path); !ok {
		return c.refuse(result.New(result.UnknownRoute, "no route has this host and path"))
	}
	if limit := rules.Bundle.Callers.HeaderBytes; limit > 0 && httpheader.Size(c.r) > limit {
		return c.refuse(result.New(result.BadHeader, "the header is larger than the limit"))
	}
	var err error
	if c.terms, err = c.g.cfg.Dialect.Inspect(c.r.Header); err != nil {
		return c.refuse(result.New(result.BadHeader, err.Error()))
	}
	if e := c.authenticate(rules); e != nil {
		return c.refuse(e)
	}
	c.group = rules.Bundle.Groups[route.Pick(c.route, rand.Float64())]
	c.g.cfg.Retries(c.group.Name).Request(c.arrived)
	c.setDeadline()
	if e := c.readBody(rules.Bundle.Callers.BodyBytes); e != nil {
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

// setDeadline starts the request's clock. Requests that must not run twice go on at their endpoint
// after the caller has left, so that their account of them stays true.
func (c *call) setDeadline() {
	c.limit = defaultPatience
	if c.route.Timeout > 0 {
		c.limit = c.route.Timeout
	}
	if c.terms.Patience > 0 {
		c.limit = min(c.limit, c.terms.Patience)
	}
	c.deadline = c.arrived.Add(c.limit)
	parent := c.r.Context()
	if !c.cancellable() {
		parent = context.WithoutCancel(parent)
	}
	c.ctx, c.cancel = context.WithDeadlineCause(parent, c.deadline.Add(-answerMargin), errTimeOver)
}

// cancellable reports whether the endpoint may drop the request when the caller leaves.
func (c *call) cancellable() bool { return c.route.Idempotent || c.route.Stream }

// repeatable reports whether the request may be sent again after it may have run.
func (c *call) repeatable() bool { return c.route.Idempotent || c.route.Resumable }

func (c *call) readBody(limit int64) *result.Error {
	if limit > 0 && c.r.ContentLength > limit {
		return result.New(result.BodyTooLarge, "the body is larger than the limit")
	}
	if c.r.Body == nil || c.r.Body == http.NoBody {
		return nil
	}
	// A connection without deadlines is a test's recorder.
	control := http.NewResponseController(c.w)
	_ = control.SetReadDeadline(c.deadline)
	var held int64
	var err error
	c.body, held, err = c.g.cfg.Memory.ReadAll(c.r.Body, c.r.ContentLength, limit)
	c.held += held
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

// admit spends the account's tokens.
func (c *call) admit() chart.Event {
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

// choose asks the dispatcher for an endpoint.
func (c *call) choose() chart.Event {
	if e := c.over(); e != nil {
		return c.refuse(e)
	}
	begun := time.Now()
	place, err := c.askPlace(c.ctx)
	c.waited += time.Since(begun)
	if err != nil {
		if e := c.over(); e != nil {
			return c.refuse(e)
		}
		return c.refuse(asResult(err))
	}
	c.place = place
	return eventPlace
}

func (c *call) work() Request {
	return Request{
		ID: c.terms.ID, Group: c.group, Route: c.route, Account: c.account, Terms: c.terms,
		Urgency: c.urgency, OverLimit: c.charge.Excess, Arrived: c.arrived, Deadline: c.deadline, Exclude: c.exclude,
	}
}

// fingerprint identifies equal requests of one client account. It is computed only where it is needed, as its cost grows
// with the body.
func (c *call) fingerprint() uint64 {
	if c.identity == 0 {
		c.identity = suspect.Fingerprint(c.account, suspect.Hash(c.r.Method, c.r.RequestURI, c.body))
	}
	return c.identity
}

// over returns why the call must end before it is sent: its caller has left or its time is over.
func (c *call) over() *result.Error {
	if c.ctx.Err() != nil && !errors.Is(context.Cause(c.ctx), errTimeOver) {
		e := result.New(result.CallerGone, "the caller closed the connection")
		e.Outcome = result.NotRun
		return e
	}
	if time.Until(c.deadline) < minUseful {
		return result.New(result.DeadlineTooNear, "the time left is too short to run the request")
	}
	return nil
}

// finish answers the caller unless the answer is on its way, and settles the account.
func (c *call) finish() {
	state := c.machine.State()
	if c.charge.Tokens > 0 && c.runs == 0 && state != stateAnswered {
		c.g.cfg.Quota.Return(c.charge)
	}
	c.count(state)
	c.logEnd(state)
	switch {
	case state == stateAnswered:
	case c.relay.begun:
		// The answer is not whole. Closing the connection tells the caller so.
		panic(http.ErrAbortHandler)
	case c.spare != nil:
		c.deliver(c.spare)
	case c.failure != nil:
		writeError(c.w, c.failure)
	}
}

func (c *call) count(state chart.State) {
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
	if c.first > 0 {
		observe(m.first, c.first)
	}
}
