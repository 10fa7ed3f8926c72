package placement

import "github.com/mallowlink/mallowlink/pkg/dialect"

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
