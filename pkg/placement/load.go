package placement

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
)

// PermitKey identifies a permit by the caller's process and the number that the process gave it.
type PermitKey struct {
	Incarnation string
	Permit      uint64
}

// permit describes a request that may be running on the engine.
type permit struct {
	adapter string
	// unread is the number of the request's prompt tokens that the engine has to process.
	unread int
	// queued is the number of tokens that the engine had to process when the permit was granted, including
	// the request's own.
	queued int
	work   Work
	// otherWait is the part of the expected time to the first token that is not spent on prompts.
	otherWait time.Duration
	started   bool
	expires   time.Time
}

// ranks is the number of urgencies that are told apart. Less urgent requests count as the least urgent of them.
const ranks = 10

// Work is what an engine has to do for a request.
type Work struct {
	// Unread is the number of prompt tokens that the engine has to process, and Memory the number of tokens of its
	// cache that the request takes up besides the parts that are cached already.
	Unread, Memory int
	// Events is the expected number of events of the response; 0 if it is not known.
	Events int
	// Prompt is the number of all prompt tokens, with the parts that the engine holds.
	Prompt int
	// Urgency ranks the request; 0 is the most urgent.
	Urgency int
}

// rank returns the urgency as an index below ranks.
func (w Work) rank() int { return min(max(w.Urgency, 0), ranks-1) }

// byRank is a sum of work for each urgency.
type byRank [ranks]Work

func (b *byRank) add(w Work)    { b[w.rank()].Unread += w.Unread; b[w.rank()].Memory += w.Memory }
func (b *byRank) remove(w Work) { b[w.rank()].Unread -= w.Unread; b[w.rank()].Memory -= w.Memory }

// upTo returns the sum of the work that is at least as urgent as w.
func (b *byRank) upTo(w Work) (unread, memory int) {
	for _, other := range b[:w.rank()+1] {
		unread += other.Unread
		memory += other.Memory
	}
	return unread, memory
}

// Forecast is the expected course of a request at an engine.
type Forecast struct {
	// First is the time to the first token, without the wait for the adapter. Own is the part of it that the request
	// would take at an idle engine.
	First, Own time.Duration
	// Full is what Own would be at an engine that holds no part of the prompt; 0 if it is not known.
	Full time.Duration
	// Run is the time from the first token to the end of the response; 0 if it is not known.
	Run time.Duration
	// Displaced is the time that the engine needs for the prompts of less urgent requests, which the request delays.
	Displaced time.Duration
	// other is the part of First that is not spent on prompts or the first event.
	other time.Duration
}

// Load estimates how busy an engine is from the permits granted for it. It is not safe for concurrent use.
type Load struct {
	permits map[PermitKey]*permit
	// unread is the number of prompt tokens to be processed for requests without a first token yet.
	unread       int
	running      int
	requestSlots int
	tokenTime    time.Duration
	cache        promptCache
	// cost, if not nil, is what is needed for forecasts by cost.
	cost *costLoad
}

// NewLoad returns the load of an engine without permits. The engine runs that many requests at once, and its prompt
// cache holds capacity tokens.
func NewLoad(slots, capacity int) Load {
	return Load{permits: map[PermitKey]*permit{}, requestSlots: slots, tokenTime: initialTokenTime, cache: newPromptCache(capacity)}
}

// Estimate returns the expected time to the first token of a request with that many tokens to process.
func (l *Load) Estimate(tokens int) time.Duration {
	return l.IdleEstimate(l.unread+tokens) + l.contentionDelay()
}

// IdleEstimate returns the expected time to the first token of a request with that many tokens to process at
// an idle engine.
func (l *Load) IdleEstimate(tokens int) time.Duration {
	return baseFirstTokenTime + time.Duration(tokens)*l.tokenTime
}

// contentionDelay returns the time that the number of running requests adds to the first token.
func (l *Load) contentionDelay() time.Duration {
	if l.requestSlots == 0 {
		return 0
	}
	beyond := float64(l.running)/float64(l.requestSlots) - contentionShare
	return time.Duration(max(beyond, 0) / (1 - contentionShare) * float64(maxContentionDelay))
}

// Forecast returns the expected course of a request.
func (l *Load) Forecast(w Work, now time.Time) Forecast {
	if l.cost != nil {
		return l.cost.forecast(w, l.running, l.requestSlots, now)
	}
	return Forecast{First: l.Estimate(w.Unread), Own: l.IdleEstimate(w.Unread)}
}

// Add records a permit granted at now. f is the forecast by which it was granted.
func (l *Load) Add(key PermitKey, adapter string, w Work, f Forecast, now, expires time.Time) {
	l.unread += w.Unread
	l.running++
	p := &permit{adapter: adapter, unread: w.Unread, queued: l.unread, work: w, otherWait: f.other, expires: expires}
	l.permits[key] = p
	if l.cost != nil {
		p.queued = l.cost.add(w, now)
	}
}

// MarkStarted records that a request's first token has arrived that long after the request was sent, and
// updates the average time per token.
func (l *Load) MarkStarted(key PermitKey, after time.Duration, now time.Time) {
	p := l.permits[key]
	if p == nil || p.started {
		return
	}
	p.started = true
	l.unread -= p.unread
	if l.cost != nil {
		l.cost.started(p, after, now)
	}
	if p.queued <= 0 {
		return
	}
	seen := max(after-baseFirstTokenTime, 0) / time.Duration(p.queued)
	l.tokenTime += time.Duration(tokenTimeWeight * float64(seen-l.tokenTime))
	l.tokenTime = min(max(l.tokenTime, minTokenTime), maxTokenTime)
}

// Remove removes a permit and returns the adapter of its request. It reports false if there is no such permit.
func (l *Load) Remove(key PermitKey) (adapter string, ok bool) {
	p := l.permits[key]
	if p == nil {
		return "", false
	}
	delete(l.permits, key)
	l.running--
	if !p.started {
		l.unread -= p.unread
	}
	if l.cost != nil {
		l.cost.remove(p.work, p.started)
	}
	return p.adapter, true
}

// RecordRun records that a response has ended that long after its first event, after that many events. It has no
// effect if there is no such permit.
func (l *Load) RecordRun(key PermitKey, ran time.Duration, events int, now time.Time) {
	if l.cost != nil && l.permits[key] != nil {
		l.cost.speed.ended(ran, events, now)
	}
}

// Adapter returns the adapter of the request that a permit was granted for. It reports false if there is no such
// permit.
func (l *Load) Adapter(key PermitKey) (string, bool) {
	p := l.permits[key]
	if p == nil {
		return "", false
	}
	return p.adapter, true
}

// Running returns the number of permits in force, and unread the number of prompt tokens to be processed for those of
// them whose requests have no first token yet.
func (l *Load) Running() (permits, unread int) { return l.running, l.unread }

// TokenTime returns the expected processing time per prompt token.
func (l *Load) TokenTime() time.Duration { return l.tokenTime }

// Unread returns the number of prompt tokens that the engine has to process for a request: all but the leading parts
// that it has cached.
func (l *Load) Unread(adapter string, prompt []dialect.PromptPart, tokens int) int {
	return l.cache.unread(adapter, prompt, tokens)
}

// CachePrompt records that the engine processes a prompt.
func (l *Load) CachePrompt(adapter string, prompt []dialect.PromptPart) { l.cache.add(adapter, prompt) }

// ForgetAdapter records that the engine has evicted an adapter, and with it all prompt parts of the adapter.
func (l *Load) ForgetAdapter(adapter string) { l.cache.removeAdapter(adapter) }

// Expired returns the permits whose requests must have ended.
func (l *Load) Expired(now time.Time) []PermitKey {
	var keys []PermitKey
	for key, p := range l.permits {
		if now.After(p.expires) {
			keys = append(keys, key)
		}
	}
	return keys
}
