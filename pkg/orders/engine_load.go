package orders

import (
	"time"

	"github.com/mallowlink/mallowlink/pkg/dialect"
)

const (
	// initialTokenTime is the processing time per prompt token that is assumed before any has been measured.
	initialTokenTime = 30 * time.Microsecond
	// tokenTimeWeight is the weight of a new measurement in the moving average of the time per token.
	tokenTimeWeight = 0.1
	// minTokenTime and maxTokenTime bound the average.
	minTokenTime = 10 * time.Microsecond
	maxTokenTime = 500 * time.Microsecond
	// baseFirstTokenTime is the time to the first token of an empty prompt at an idle engine.
	baseFirstTokenTime = 15 * time.Millisecond
	// Requests slow each other down once more than contentionShare of an engine's request slots are taken.
	// maxContentionDelay is the time that this adds to the first token when all slots are taken.
	contentionShare    = 0.4
	maxContentionDelay = 250 * time.Millisecond
	// permitGrace is how long a permit is kept beyond the longest time that its request can last. After that,
	// the permit expires even if no update says that the request has ended.
	permitGrace = 500 * time.Millisecond
)

// permitKey identifies a permit by the caller's process and the number that the process gave it.
type permitKey struct {
	incarnation string
	permit      uint64
}

// permit describes a request that may be running on the engine.
type permit struct {
	adapter string
	// unread is the number of the request's prompt tokens that the engine has to process.
	unread int
	// queued is the number of tokens that the engine had to process when the permit was granted, including
	// the request's own.
	queued  int
	started bool
	expires time.Time
}

// engineLoad estimates how busy an engine is from the permits granted for it.
type engineLoad struct {
	permits map[permitKey]*permit
	// unread is the number of prompt tokens to be processed for requests without a first token yet.
	unread       int
	running      int
	requestSlots int
	tokenTime    time.Duration
	cache        promptCache
}

func newEngineLoad(slots, capacity int) engineLoad {
	return engineLoad{permits: map[permitKey]*permit{}, requestSlots: slots, tokenTime: initialTokenTime, cache: newPromptCache(capacity)}
}

// estimate returns the expected time to the first token of a request with that many tokens to process.
func (l *engineLoad) estimate(tokens int) time.Duration {
	return l.idleEstimate(l.unread+tokens) + l.contentionDelay()
}

// idleEstimate returns the expected time to the first token of a request with that many tokens to process at
// an idle engine.
func (l *engineLoad) idleEstimate(tokens int) time.Duration {
	return baseFirstTokenTime + time.Duration(tokens)*l.tokenTime
}

// contentionDelay returns the time that the number of running requests adds to the first token.
func (l *engineLoad) contentionDelay() time.Duration {
	if l.requestSlots == 0 {
		return 0
	}
	beyond := float64(l.running)/float64(l.requestSlots) - contentionShare
	return time.Duration(max(beyond, 0) / (1 - contentionShare) * float64(maxContentionDelay))
}

// add records a granted permit.
func (l *engineLoad) add(key permitKey, adapter string, tokens int, expires time.Time) {
	l.unread += tokens
	l.running++
	l.permits[key] = &permit{adapter: adapter, unread: tokens, queued: l.unread, expires: expires}
}

// markStarted records that a request's first token has arrived that long after the request was sent, and
// updates the average time per token.
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

// remove removes a permit and returns it, or nil if there is no such permit.
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

// promptCache estimates which parts of prompts an engine still has in its prompt cache.
type promptCache struct {
	capacity int
	tokens   int
	clock    uint64
	parts    map[partKey]*cachedPart
}

// partKey identifies a part of a prompt processed with an adapter. Engines cache parts for each adapter
// separately.
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

// unread returns the number of prompt tokens that the engine has to process: all but the leading parts that
// it has cached.
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

// add records that the engine processes a prompt, and evicts old parts if the cache is over its capacity.
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

// evictionSample is the number of parts among which evictOldest chooses.
const evictionSample = 16

// evictOldest removes the least recently used of a sample of the parts.
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

// removeAdapter removes all parts of an adapter.
func (c *promptCache) removeAdapter(adapter string) {
	for key, p := range c.parts {
		if key.adapter == adapter {
			c.tokens -= p.tokens
			delete(c.parts, key)
		}
	}
}
