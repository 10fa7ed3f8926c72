package orders

import (
	"time"

	"github.com/mallowlink/mallowlink/pkg/dialect"
)

const (
	// firstTokenTime is the time per token of a prompt that is assumed before it was measured.
	firstTokenTime = 30 * time.Microsecond
	// tokenTimeRate is the weight of a new measurement in the average.
	tokenTimeRate = 0.1
	// minTokenTime and maxTokenTime bound the average.
	minTokenTime = 10 * time.Microsecond
	maxTokenTime = 500 * time.Microsecond
	// baseTime is the time to the first token of an empty prompt at an idle engine.
	baseTime = 15 * time.Millisecond
	// crowdedShare is the part of an engine's slots from which further requests slow the others down, and
	// crowdedTime the time that this adds when all slots are taken.
	crowdedShare = 0.4
	crowdedTime  = 250 * time.Millisecond
	// permitGrace is how long after a request's time is over its permit is dropped without a notice.
	permitGrace = 500 * time.Millisecond
)

// permitKey names a permit.
type permitKey struct {
	incarnation string
	permit      uint64
}

// permit is a request that was let through to the engine.
type permit struct {
	adapter string
	// tokens are the prompt tokens that the engine still has to read for it.
	tokens int
	// ahead are the tokens that were to be read when the request was let through, its own included.
	ahead   int
	started bool
	expires time.Time
}

// load estimates how busy an engine is by the requests that were let through to it.
type load struct {
	permits map[permitKey]*permit
	// pending are the prompt tokens of requests that have not begun.
	pending int
	running int
	slots   int
	perTok  time.Duration
	cache   promptCache
}

func newLoad(slots, capacity int) load {
	return load{permits: map[permitKey]*permit{}, slots: slots, perTok: firstTokenTime, cache: newPromptCache(capacity)}
}

// estimate returns the expected time to the first token of a request with that many tokens to read.
func (l *load) estimate(tokens int) time.Duration {
	return l.own(l.pending+tokens) + l.crowding()
}

// own returns the expected time to the first token of a request with that many tokens to read at an idle
// engine.
func (l *load) own(tokens int) time.Duration { return baseTime + time.Duration(tokens)*l.perTok }

// crowding returns the time that requests beyond a share of the slots add.
func (l *load) crowding() time.Duration {
	if l.slots == 0 {
		return 0
	}
	beyond := float64(l.running)/float64(l.slots) - crowdedShare
	return time.Duration(max(beyond, 0) / (1 - crowdedShare) * float64(crowdedTime))
}

// add notes a request that is let through.
func (l *load) add(key permitKey, adapter string, tokens int, expires time.Time) {
	l.pending += tokens
	l.running++
	l.permits[key] = &permit{adapter: adapter, tokens: tokens, ahead: l.pending, expires: expires}
}

// started notes that a request's first token has arrived after that time.
func (l *load) start(key permitKey, after time.Duration) {
	p := l.permits[key]
	if p == nil || p.started {
		return
	}
	p.started = true
	l.pending -= p.tokens
	if p.ahead <= 0 {
		return
	}
	seen := max(after-baseTime, 0) / time.Duration(p.ahead)
	l.perTok += time.Duration(tokenTimeRate * float64(seen-l.perTok))
	l.perTok = min(max(l.perTok, minTokenTime), maxTokenTime)
}

// end removes a request and returns it, or nil if it is not known.
func (l *load) end(key permitKey) *permit {
	p := l.permits[key]
	if p == nil {
		return nil
	}
	delete(l.permits, key)
	l.running--
	if !p.started {
		l.pending -= p.tokens
	}
	return p
}

// expired returns the permits whose requests must have ended.
func (l *load) expired(now time.Time) []permitKey {
	var keys []permitKey
	for key, p := range l.permits {
		if now.After(p.expires) {
			keys = append(keys, key)
		}
	}
	return keys
}

// promptCache remembers which parts of prompts an engine is likely to keep.
type promptCache struct {
	capacity int
	used     int
	clock    uint64
	parts    map[partKey]*part
}

// partKey names a part of a prompt under an adapter.
type partKey struct {
	adapter string
	id      string
}

type part struct {
	tokens int
	used   uint64
}

func newPromptCache(capacity int) promptCache {
	return promptCache{capacity: capacity, parts: map[partKey]*part{}}
}

// unread returns the tokens of a prompt that the engine has to read: those from the first part on that
// it does not keep.
func (c *promptCache) unread(adapter string, prompt []dialect.PromptPart, tokens int) int {
	kept := 0
	for _, p := range prompt {
		if c.parts[partKey{adapter, p.ID}] == nil {
			break
		}
		kept += p.Tokens
	}
	return max(tokens-kept, 0)
}

// note takes in that the engine reads a prompt.
func (c *promptCache) note(adapter string, prompt []dialect.PromptPart) {
	for _, p := range prompt {
		c.clock++
		key := partKey{adapter, p.ID}
		if known := c.parts[key]; known != nil {
			known.used = c.clock
			continue
		}
		c.parts[key] = &part{tokens: p.Tokens, used: c.clock}
		c.used += p.Tokens
	}
	for c.used > c.capacity && len(c.parts) > 0 {
		c.dropOldest()
	}
}

// sampleParts is the number of parts among which the one used least recently is dropped.
const sampleParts = 16

// dropOldest drops the part used least recently among a sample.
func (c *promptCache) dropOldest() {
	var oldest partKey
	var found *part
	seen := 0
	for key, p := range c.parts {
		if found == nil || p.used < found.used {
			oldest, found = key, p
		}
		if seen++; seen == sampleParts {
			break
		}
	}
	c.used -= found.tokens
	delete(c.parts, oldest)
}

// forget drops what was kept for an adapter.
func (c *promptCache) forget(adapter string) {
	for key, p := range c.parts {
		if key.adapter == adapter {
			c.used -= p.tokens
			delete(c.parts, key)
		}
	}
}
