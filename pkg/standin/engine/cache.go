package engine

import (
	"time"

	"github.com/mallowlink/mallowlink/pkg/endpoint"
)

// maxCacheEvents bounds the events that are kept. Older ones are lost, which readers see as a gap.
const maxCacheEvents = 4096

// cacheEvent is an event and the time when it happened.
type cacheEvent struct {
	endpoint.CacheEvent
	at time.Time
}

// cache holds the prompt prefixes in order of use, and the events about them. Server.mu guards it.
type cache struct {
	limit    int
	prefixes []cached
	events   []cacheEvent
	seq      uint64
	// lose reports whether the event that just got its number is lost.
	lose func() bool
}

type cached struct {
	prefix  uint64
	adapter endpoint.AdapterVersion
}

// use reports whether the prefix is cached for the adapter, and caches it.
func (c *cache) use(prefix uint64, adapter endpoint.AdapterVersion, now time.Time) bool {
	for i, entry := range c.prefixes {
		if entry.prefix == prefix && entry.adapter == adapter {
			c.prefixes = append(append(c.prefixes[:i:i], c.prefixes[i+1:]...), entry)
			return true
		}
	}
	c.store(cached{prefix: prefix, adapter: adapter}, now)
	return false
}

func (c *cache) store(entry cached, now time.Time) {
	c.prefixes = append(c.prefixes, entry)
	c.note(entry, true, now)
	if len(c.prefixes) > c.limit {
		oldest := c.prefixes[0]
		c.prefixes = c.prefixes[1:]
		c.note(oldest, false, now)
	}
}

func (c *cache) note(entry cached, stored bool, now time.Time) {
	c.seq++
	if c.lose() {
		return
	}
	event := endpoint.CacheEvent{Seq: c.seq, Stored: stored, Adapter: entry.adapter, Prefix: entry.prefix}
	c.events = append(c.events, cacheEvent{CacheEvent: event, at: now})
	if len(c.events) > maxCacheEvents {
		c.events = append([]cacheEvent(nil), c.events[len(c.events)-maxCacheEvents:]...)
	}
}

// dropAdapter drops the prefixes of an adapter.
func (c *cache) dropAdapter(adapter endpoint.AdapterVersion, now time.Time) {
	kept := c.prefixes[:0:0]
	for _, entry := range c.prefixes {
		if entry.adapter == adapter {
			c.note(entry, false, now)
			continue
		}
		kept = append(kept, entry)
	}
	c.prefixes = kept
}

// since returns the events after a number that happened at or before until.
func (c *cache) since(seq uint64, until time.Time) []endpoint.CacheEvent {
	var out []endpoint.CacheEvent
	for _, event := range c.events {
		if event.Seq > seq && !event.at.After(until) {
			out = append(out, event.CacheEvent)
		}
	}
	return out
}

// find returns a cached prefix of any adapter.
func (c *cache) find(prefix uint64) (cached, bool) {
	for _, entry := range c.prefixes {
		if entry.prefix == prefix {
			return entry, true
		}
	}
	return cached{}, false
}
