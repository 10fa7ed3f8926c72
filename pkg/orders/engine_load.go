package orders

import (
	"time"

	"github.com/mallowlink/mallowlink/pkg/dialect"
)

const (
	// initialTokenTime is the time per token of a prompt that is assumed before it was measured.
	initialTokenTime = 30 * time.Microsecond
	// tokenTimeWeight is the weight of a new measurement in the average.
	tokenTimeWeight = 0.1
	// minTokenTime and maxTokenTime bound the average.
	minTokenTime = 10 * time.Microsecond
	maxTokenTime = 500 * time.Microsecond
	// baseFirstTokenTime is the time to the first token of an empty prompt at an idle engine.
	baseFirstTokenTime = 15 * time.Millisecond
	// contentionShare is the part of an engine's slots from which further requests slow the others down, and
	// maxContentionDelay the time that this adds when all slots are taken.
	contentionShare    = 0.4
	maxContentionDelay = 250 * time.Millisecond
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
	// unread are the prompt tokens that the engine still has to read for it.
	unread int
	// queued are the tokens that were to be read when the request was let through, its own included.
	queued  int
	started bool
	expires time.Time
}

// engineLoad estimates how busy an engine is by the requests that were let through to it.
type engineLoad struct {
	permits map[permitKey]*permit
	// unread are the prompt tokens of requests that have not begun.
	unread       int
	running      int
	requestSlots int
	tokenTime    time.Duration
	cache        promptCache
}

func newEngineLoad(slots, capacity int) engineLoad {
	return engineLoad{permits: map[permitKey]*permit{}, requestSlots: slots, tokenTime: initialTokenTime, cache: newPromptCache(capacity)}
}

// estimate returns the expected time to the first token of a request with that many tokens to read.
func (l *engineLoad) estimate(tokens int) time.Duration {
	return l.idleEstimate(l.unread+tokens) + l.contentionDelay()
}

// idleEstimate returns the expected time to the first token of a request with that many tokens to read at an idle
// engine.
func (l *engineLoad) idleEstimate(tokens int) time.Duration {
	return baseFirstTokenTime + time.Duration(tokens)*l.tokenTime
}

// contentionDelay returns the time that requests beyond a share of the slots add.
func (l *engineLoad) contentionDelay() time.Duration {
	if l.requestSlots == 0 {
		return 0
	}
	beyond := float64(l.running)/float64(l.requestSlots) - contentionShare
	return time.Duration(max(beyond, 0) / (1 - contentionShare) * float64(maxContentionDelay))
}

// add notes a request that is let through.
func (l *engineLoad) add(key permitKey, adapter string, tokens int, expires time.Time) {
	l.unread += tokens
	l.running++
	l.permits[key] = &permit{adapter: adapter, unread: tokens, queued: l.unread, expires: expires}
}

// started notes that a request's first token has arrived after that time.
func (l *engineLoad) markStarted(key permitKey, after time.Duration) {
	p := l.permits[key]
	if p == nil || p.started {
		return
	}
	p.started = true
	l.unread -= p.unread
	if p.queued <= 0 {
		return
	}
	seen := max(after-baseFirstTokenTime, 0) / time.Duration(p.queued)
	l.tokenTime += time.Duration(tokenTimeWeight * float64(seen-l.tokenTime))
	l.tokenTime = min(max(l.tokenTime, minTokenTime), maxTokenTime)
}

// remove removes a request and returns it, or nil if it is not known.
func (l *engineLoad) remove(key permitKey) *permit {
	p := l.permits[key]
	if p == nil {
		return nil
	}
	delete(l.permits, key)
	l.running--
	if !p.started {
		l.unread -= p.unread
	}
	return p
}

// expired returns the permits whose requests must have ended.
func (l *engineLoad) expired(now time.Time) []permitKey {
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
	tokens   int
	clock    uint64
	parts    map[partKey]*cachedPart
}

// partKey names a part of a prompt under an adapter.
type partKey struct {
	adapter string
	id      string
}

type cachedPart struct {
	tokens  int
	lastUse uint64
}

func newPromptCache(capacity int) promptCache {
	return promptCache{capacity: capacity, parts: map[partKey]*cachedPart{}}
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

// add takes in that the engine reads a prompt.
func (c *promptCache) add(adapter string, prompt []dialect.PromptPart) {
	for _, p := range prompt {
		c.clock++
		key := partKey{adapter, p.ID}
		if known := c.parts[key]; known != nil {
			known.lastUse = c.clock
			continue
		}
		c.parts[key] = &cachedPart{tokens: p.Tokens, lastUse: c.clock}
		c.tokens += p.Tokens
	}
	for c.tokens > c.capacity && len(c.parts) > 0 {
		c.evictOldest()
	}
}

// evictionSample is the number of parts among which the one used least recently is dropped.
const evictionSample = 16

// evictOldest drops the part used least recently among a sample.
func (c *promptCache) evictOldest() {
	var oldest partKey
	var found *cachedPart
	seen := 0
	for key, p := range c.parts {
		if found == nil || p.lastUse < found.lastUse {
			oldest, found = key, p
		}
		if seen++; seen == evictionSample {
			break
		}
	}
	c.tokens -= found.tokens
	delete(c.parts, oldest)
}

// removeAdapter drops what was kept for an adapter.
func (c *promptCache) removeAdapter(adapter string) {
	for key, p := range c.parts {
		if key.adapter == adapter {
			c.tokens -= p.tokens
			delete(c.parts, key)
		}
	}
}
