package placement

import (
	"math"
	"sync"
	"time"
)

const (
	// lengthWeight is the weight of a new response in the averages of a route and adapter.
	lengthWeight = 0.05
	// errorWeight is the weight of a new response in the error of an account's hints.
	errorWeight = 0.1
	// maxHintFactor bounds how far a hint moves the expected length. Hints are right at the median, and often far off.
	maxHintFactor = 2.0
	// A hint counts fully if the account's hints were off by a factor of e^goodHintError or less, and not at all from
	// e^badHintError on. initialHintError is assumed for accounts without responses, whose hints count little.
	goodHintError    = 0.4
	badHintError     = 1.2
	initialHintError = 1.0
	// lengthRetention is how long the lengths of routes, adapters and accounts that are not used are kept.
	lengthRetention = 10 * time.Minute
	// perEventDecay lets the tokens of an event rise again if responses no longer reach their limit.
	perEventDecay = 1.001
)

// LengthKey identifies the requests whose responses are alike in length.
type LengthKey struct{ Route, Model, Adapter string }

// Lengths learns the lengths of responses by route and adapter. A caller's hint is taken relative to the usual hint of
// the same route and adapter, and counts as much as the hints of its account have been right. It is safe for concurrent
// use.
type Lengths struct {
	mu       sync.Mutex
	known    map[LengthKey]*length  // guarded by mu
	accounts map[string]*hintErrors // guarded by mu
}

// length is what is known of the responses of a key. The lengths are logarithms of numbers of events.
type length struct {
	mean     float64
	hint     float64
	hinted   bool
	perEvent float64
	lastUse  time.Time
}

// hintErrors is the average error of an account's hints, as the absolute difference of logarithms.
type hintErrors struct {
	mean    float64
	lastUse time.Time
}

// NewLengths returns a table without responses.
func NewLengths() *Lengths {
	return &Lengths{known: map[LengthKey]*length{}, accounts: map[string]*hintErrors{}}
}

// Length is the expected length of a response.
type Length struct {
	// Events is the number of events of the stream; 0 if it is not known.
	Events int
	// Tokens is the number of tokens, at most the limit that the request states.
	Tokens int
}

// Expect returns the expected length of the response to a request of an account, which states the hint (0 if none) and
// the limit, in tokens.
func (l *Lengths) Expect(key LengthKey, account string, hint, limit int) Length {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.known[key]
	if k == nil {
		return Length{Tokens: limit}
	}
	events := math.Exp(k.mean + l.hintShift(k, account, hint))
	length := Length{Events: int(math.Ceil(events)), Tokens: limit}
	if tokens := math.Ceil(events * k.perEvent); limit > 0 && tokens < float64(limit) {
		length.Tokens = int(tokens)
	}
	return length
}

// hintShift returns by how much a hint moves the expected length, as a logarithm. l.mu must be held.
func (l *Lengths) hintShift(k *length, account string, hint int) float64 {
	if hint <= 0 || !k.hinted {
		return 0
	}
	wrong := initialHintError
	if a := l.accounts[account]; a != nil {
		wrong = a.mean
	}
	weight := min(max((badHintError-wrong)/(badHintError-goodHintError), 0), 1)
	bound := math.Log(maxHintFactor)
	return weight * min(max(math.Log(float64(hint))-k.hint, -bound), bound)
}

// Record records the length of a response.
func (l *Lengths) Record(key LengthKey, account string, hint, limit, events int, now time.Time) {
	if events <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := math.Log(float64(events))
	k := l.known[key]
	if k == nil {
		k = &length{mean: seen, perEvent: math.Inf(1)}
		l.known[key] = k
	}
	k.mean += lengthWeight * (seen - k.mean)
	k.lastUse = now
	// A response that reaches its limit has as many tokens as that; others have fewer.
	if limit > 0 {
		k.perEvent = max(min(k.perEvent*perEventDecay, float64(limit)/float64(events)), 1)
	}
	if hint > 0 {
		l.recordHint(k, account, math.Log(float64(hint)), seen, now)
	}
}

// recordHint updates the usual hint and the error of the account's hints. l.mu must be held.
func (l *Lengths) recordHint(k *length, account string, hint, seen float64, now time.Time) {
	if !k.hinted {
		k.hint, k.hinted = hint, true
	}
	a := l.accounts[account]
	if a == nil {
		a = &hintErrors{mean: initialHintError}
		l.accounts[account] = a
	}
	a.lastUse = now
	a.mean += errorWeight * (math.Abs((hint-k.hint)-(seen-k.mean)) - a.mean)
	// A hint moves the usual one by a bounded step, so that far-off hints do not shift it.
	k.hint += lengthWeight * min(max(hint-k.hint, -1), 1)
}

// Sweep discards what has not been used for lengthRetention.
func (l *Lengths) Sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, k := range l.known {
		if now.Sub(k.lastUse) > lengthRetention {
			delete(l.known, key)
		}
	}
	for account, a := range l.accounts {
		if now.Sub(a.lastUse) > lengthRetention {
			delete(l.accounts, account)
		}
	}
}
