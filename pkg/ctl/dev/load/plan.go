// Package load sends requests to a fleet at a given rate, whether or not earlier ones have been
// answered, and tells how they were answered.
package load

import (
	"crypto/tls"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/mallowlink/mallowlink/pkg/bundle"
)

// Options describe the load.
type Options struct {
	// Entries are the base URLs of the entry VMs, among which requests are spread evenly.
	Entries []string
	// Rate is the mean number of requests a second. Arrivals are a Poisson process.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	// Adapters are ordered by popularity, which follows Zipf's law with exponent Zipf.
	Adapters []Adapter
	Zipf     float64
	Accounts []Account
	// ServiceShare is the share of requests that go to the plain service and may not be repeated.
	ServiceShare float64
	ServicePath  string
	// StreamShare and BatchShare are shares of the requests to model engines.
	StreamShare float64
	BatchShare  float64
	// Tokens and BatchTokens are the lengths of answers.
	Tokens      int
	BatchTokens int
	// PromptBytes is the length of prompts.
	PromptBytes int
	// Timeout bounds one request.
	Timeout time.Duration
	// TLS holds the authorities that https entries are checked by; nil means the system's.
	TLS *tls.Config
	// MaxInFlight bounds the requests in flight; those beyond are counted as not sent.
	MaxInFlight int
}

// Adapter is a model name, and the client accounts that may use it; none named means all.
type Adapter struct {
	Model    string
	Accounts []string
}

// Account is a client account and its key.
type Account struct {
	Name string
	Key  string
	// Weight is the account's share of the requests, relative to the others'.
	Weight float64
}

// Kind tells requests apart in the report.
type Kind string

// Kinds of request. Those to model engines are named after their priority class.
const (
	Interactive Kind = Kind(bundle.Interactive)
	Batch       Kind = Kind(bundle.Batch)
	Service     Kind = "service"
)

// call is one request of the plan.
type call struct {
	// tag is unique to the request. Its prompt or its body holds it.
	tag string
	// at is when the request is due, from the start.
	at      time.Duration
	entry   string
	account *Account
	kind    Kind
	// path is the path of a call to the plain service.
	path   string
	model  string
	stream bool
	tokens int
	prompt string
}

// plan makes the calls one after the other.
type plan struct {
	opts   Options
	random *rand.Rand
	number int
	clock  time.Duration
	// accounts holds the cumulated weights of the accounts.
	accounts []float64
	choices  map[string]choice
}

// choice holds the adapters of one account, with the cumulated popularity.
type choice struct {
	models []string
	sums   []float64
}

// newPlan checks the options.
func newPlan(opts Options) (*plan, error) {
	switch {
	case len(opts.Entries) == 0:
		return nil, errors.New("no entry")
	case opts.Rate <= 0 || opts.Duration <= 0:
		return nil, errors.New("rate and duration must be positive")
	case len(opts.Accounts) == 0:
		return nil, errors.New("no account")
	}
	p := &plan{
		opts:    opts,
		random:  rand.New(rand.NewPCG(opts.Seed, 0)),
		choices: map[string]choice{},
	}
	sum := 0.0
	for _, account := range opts.Accounts {
		sum += account.Weight
		p.accounts = append(p.accounts, sum)
		p.choices[account.Name] = choiceOf(opts, account.Name)
		if len(p.choices[account.Name].models) == 0 && opts.ServiceShare < 1 {
			return nil, errors.Errorf("client account %s may use no adapter", account.Name)
		}
	}
	if sum <= 0 {
		return nil, errors.New("no account has a weight")
	}
	return p, nil
}

func choiceOf(opts Options, account string) choice {
	var out choice
	sum := 0.0
	for i, adapter := range opts.Adapters {
		if !allows(adapter, account) {
			continue
		}
		sum += math.Pow(float64(i+1), -opts.Zipf)
		out.models = append(out.models, adapter.Model)
		out.sums = append(out.sums, sum)
	}
	return out
}

func allows(adapter Adapter, account string) bool {
	for _, name := range adapter.Accounts {
		if name == account {
			return true
		}
	}
	return len(adapter.Accounts) == 0
}

// next returns the next call, or false after the last.
func (p *plan) next() (call, bool) {
	p.clock += time.Duration(p.random.ExpFloat64() / p.opts.Rate * float64(time.Second))
	if p.clock >= p.opts.Duration {
		return call{}, false
	}
	p.number++
	account := &p.opts.Accounts[pick(p.random, p.accounts)]
	c := call{
		tag:     fmt.Sprintf("load-%x-%d", p.opts.Seed, p.number),
		at:      p.clock,
		entry:   p.opts.Entries[p.random.IntN(len(p.opts.Entries))],
		account: account,
		kind:    Service,
		path:    p.opts.ServicePath,
	}
	if p.random.Float64() >= p.opts.ServiceShare {
		p.completion(&c)
	}
	return c, true
}

// completion makes the call one to a model engine.
func (p *plan) completion(c *call) {
	choice := p.choices[c.account.Name]
	c.model = choice.models[pick(p.random, choice.sums)]
	c.kind, c.tokens = Interactive, p.opts.Tokens
	if p.random.Float64() < p.opts.BatchShare {
		c.kind, c.tokens = Batch, p.opts.BatchTokens
	}
	c.stream = p.random.Float64() < p.opts.StreamShare
	c.prompt = c.tag + " " + strings.Repeat("x", max(0, p.opts.PromptBytes-len(c.tag)-1))
}

// pick returns an index with a probability in proportion to its weight, given cumulated weights.
func pick(random *rand.Rand, sums []float64) int {
	point := random.Float64() * sums[len(sums)-1]
	return min(sort.SearchFloat64s(sums, point), len(sums)-1)
}
