package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/mallowlink/mallowlink/pkg/dialect"
	"github.com/mallowlink/mallowlink/platform/standin"
)

// kind is a kind of request.
type kind struct {
	name   string
	prefix string
	// events is the length of the stream, 0 for plain answers.
	events int
	// once says that the request must not run twice.
	once   bool
	budget time.Duration
	tokens int64
	weight int
}

var kinds = []kind{
	{name: "stream", prefix: streamPrefix, events: streamEvents, once: true, budget: 4 * time.Second, tokens: 110, weight: 4},
	{name: "resume", prefix: resumePrefix, events: streamEvents, budget: 4 * time.Second, tokens: 110, weight: 2},
	{name: "once", prefix: oncePrefix, once: true, budget: 1500 * time.Millisecond, tokens: 1, weight: 2},
	{name: "safe", prefix: safePrefix, budget: 1500 * time.Millisecond, tokens: 1, weight: 2},
}

// attempt is one request of a caller and its end.
type attempt struct {
	id      string
	kind    kind
	account string
	key     string
	adapter string
	vm      *vm
	prefix  string
	// prompt holds the parts of the prompt that requests share.
	prompt []string
	// fatal says that the request crashes the endpoints that run it, by its body or, if it has a prompt with fatalPart, by that.
	fatal bool
	// resumes is the id of the attempt that this one takes up after an event; empty for a new request.
	resumes string
	after   int
	sent    time.Time
	ended   time.Time
	// status is 0 if no head of an answer has arrived.
	status int
	// whole says that the answer ended as its protocol has it; body is what has arrived.
	whole      bool
	body       []byte
	signature  string
	retryAfter time.Duration
	// code is the result code of an answer that no endpoint has given.
	code   string
	gaveUp bool
	err    error
}

// ok reports whether the request was answered by its own whole answer.
func (a *attempt) ok() bool { return a.status == http.StatusOK && a.whole }

// promised reports whether the answer promises that the request has not run and never will.
func (a *attempt) promised() bool {
	switch a.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// callers send requests and keep how they ended.
type callers struct {
	w *world

	mu sync.Mutex
	// The fields below are guarded by mu.

	attempts []*attempt
	keys     map[string]string
}

func newCallers(w *world) *callers {
	c := &callers{w: w, keys: map[string]string{}}
	for _, a := range w.accounts {
		c.keys[a.name] = a.key
	}
	return c
}

func (c *callers) all() []*attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*attempt(nil), c.attempts...)
}

// setKey makes callers of an account use another key.
func (c *callers) setKey(account, key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keys[account] = key
}

// run sends requests, one after the other, until ctx ends.
func (c *callers) run(ctx context.Context, n int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(n)+100))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
	for i := 0; ctx.Err() == nil; i++ {
		a := c.draw(random, fmt.Sprintf("c%d-%d", n, i))
		c.send(ctx, client, a, random.IntN(20) == 0)
		if a.promised() && ctx.Err() == nil {
			sleep(ctx, min(a.retryAfter, a.kind.budget/3))
			again := *a
			again.id, again.vm = a.id+"r", c.pickVM(random)
			again.status, again.whole, again.body, again.err = 0, false, nil, nil
			c.send(ctx, client, &again, false)
		}
		for a = c.takeUp(a, random); a != nil; a = c.takeUp(a, random) {
			c.send(ctx, client, a, false)
		}
		sleep(ctx, time.Duration(20+random.IntN(60))*time.Millisecond)
	}
	client.CloseIdleConnections()
}

// takeUp returns the attempt that goes on with a stream that has broken off, at any VM, or nil if there is none to take up.
func (c *callers) takeUp(a *attempt, random *rand.Rand) *attempt {
	got := bytes.Count(a.body, []byte("\n\n"))
	if len(c.w.software) == 0 || a.kind.name != "resume" || a.fatal || a.status != http.StatusOK || a.whole || got == 0 || got+a.after >= a.kind.events {
		return nil
	}
	again := *a
	again.id, again.vm, again.after = a.id+"t", c.pickVM(random), a.after+got
	if a.resumes == "" {
		again.resumes = a.id
	}
	again.status, again.whole, again.body, again.err, again.gaveUp = 0, false, nil, nil, false
	return &again
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// draw returns the next request of a caller.
func (c *callers) draw(random *rand.Rand, id string) *attempt {
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	n := random.IntN(total)
	chosen := kinds[0]
	for _, k := range kinds {
		if n -= k.weight; n < 0 {
			chosen = k
			break
		}
	}
	if len(c.w.software) > 0 && random.IntN(2) == 0 {
		// Most requests are for streams that can be taken up.
		chosen = kinds[slices.IndexFunc(kinds, func(k kind) bool { return k.name == "resume" })]
	}
	a := &attempt{id: id, kind: chosen, prefix: chosen.prefix, vm: c.pickVM(random)}
	a.account = c.w.accounts[random.IntN(len(c.w.accounts))].name
	if chosen.events > 0 {
		// Low numbers come more often.
		a.adapter = fmt.Sprintf("a%d", min(random.IntN(adapterCount), random.IntN(adapterCount)))
		a.prompt = []string{commonPart}
		if random.IntN(4) == 0 {
			a.prompt = append(a.prompt, companionPart)
		}
	}
	c.mu.Lock()
	a.key = c.keys[a.account]
	c.mu.Unlock()
	return a
}

// pickVM returns a VM in rotation, or any if there is none.
func (c *callers) pickVM(random *rand.Rand) *vm {
	var list []*vm
	for _, v := range c.w.vms {
		if v.inRotation() {
			list = append(list, v)
		}
	}
	if len(list) == 0 {
		list = c.w.vms
	}
	return list[random.IntN(len(list))]
}

// send makes one request and keeps how it ended.
func (c *callers) send(ctx context.Context, client *http.Client, a *attempt, leave bool) {
	budget := a.kind.budget
	if leave {
		budget /= 20
	}
	// Requests under way are finished when the callers stop.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), budget)
	defer cancel()
	a.sent = time.Now()
	c.exchange(ctx, client, a)
	a.ended = time.Now()
	a.gaveUp = leave && !a.ok()
	c.mu.Lock()
	c.attempts = append(c.attempts, a)
	c.mu.Unlock()
}

func (c *callers) exchange(ctx context.Context, client *http.Client, a *attempt) {
	method, body := http.MethodPost, "order "+a.id
	switch {
	case a.fatal && !a.hasFatalPart():
		body = fatalMark
	case a.kind.name == "safe":
		method, body = http.MethodGet, ""
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+a.vm.callers+a.prefix+"x", bytes.NewBufferString(body))
	if err != nil {
		a.err = err
		return
	}
	// Without it, the client would send the request again by itself.
	req.GetBody = nil
	req.Host = hostName
	asked := standin.Request{ID: a.id, Key: a.key, Account: "forged", Timeout: a.kind.budget, Resumes: a.resumes, LastEvent: a.after}
	if a.adapter != "" {
		asked.Model, asked.Adapter, asked.Output = modelName, a.adapter, 10
		for _, id := range a.prompt {
			asked.Prompt = append(asked.Prompt, dialect.PromptPart{ID: id, Tokens: 60 / len(a.prompt)})
		}
		asked.Prompt = append(asked.Prompt, dialect.PromptPart{ID: a.id, Tokens: 40})
	}
	asked.SetHeaders(req.Header)
	res, err := client.Do(req)
	if err != nil {
		a.err = err
		return
	}
	defer func() { _ = res.Body.Close() }()
	a.status, a.signature = res.StatusCode, standin.SignatureOf(res.Header)
	a.code = res.Header.Get("X-Mallowlink-Code")
	if seconds, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	a.body, a.err = io.ReadAll(res.Body)
	a.whole = a.err == nil
}

// expected returns the body of the request's answer, which its signature is of.
func (a *attempt) expected() []byte { return standin.Body(a.id, a.kind.events) }

// expectedRest returns the part of it that the endpoint sends: the rest of a stream that is taken up.
func (a *attempt) expectedRest() []byte {
	if a.after == 0 {
		return a.expected()
	}
	return a.expected()[len(standin.Body(a.id, a.after)):]
}
