// Package tokenbucket implements a token bucket whose tokens are granted to VMs in batches, so that a
// VM can spend them locally. Callers pass in the time, and the package does no I/O. A Bucket is not
// safe for concurrent use.
package tokenbucket

import (
	"math"
	"time"
)

// Limit is the rate and burst of a bucket.
type Limit struct {
	// Rate is in tokens per second.
	Rate float64
	// Burst is in tokens.
	Burst float64
}

// Request reports the tokens that one process on a VM holds and asks for more.
type Request struct {
	VM          string
	Incarnation string
	// Seq increases with every request of the process.
	Seq uint64
	// Accepted is the Seq of the last request whose reply the VM received and applied.
	Accepted uint64
	// Want is the number of tokens asked for. Need is the smallest grant that is of use.
	Want, Need int64
	// Held is the number of unspent tokens that the VM keeps. Returned is the number that it gives
	// back.
	Held, Returned int64
	Refunds        []Refund
}

// Refund gives back tokens that were spent in advance but turned out not to be needed.
type Refund struct {
	Tokens int64
	// Since is the Stamp of a reply that the VM had applied before it spent the tokens.
	Since time.Duration
}

// Reply is the response to a Request.
type Reply struct {
	Tokens int64
	// Stamp is the time of the reply, measured from the creation of the bucket.
	Stamp time.Duration
	// RetryAfter is the delay until Need tokens will be available. It is set if Tokens is less than
	// Need.
	RetryAfter time.Duration
	// Wait reports that the rate and burst alone would allow Need tokens. They are missing only
	// because VMs hold or have lost them, or because the bucket had to start at a lower level than
	// its predecessor may have had.
	Wait bool
	// Usable is the number of tokens that the fleet may spend from now on, by the rate and burst
	// alone.
	Usable int64
}

// holding records the unspent tokens of one process.
type holding struct {
	seq    uint64
	tokens int64
	// lastGrant is the part of tokens that the last grant added.
	lastGrant int64
	// charged is the part of lastGrant that a waiting request spends at once. It has already been
	// deducted from idealLevel.
	charged int64
	// expires is the time by which the VM is certain to have stopped spending the tokens.
	expires time.Time
}

// Bucket is a token bucket together with the tokens granted from it.
//
// Invariant: the level and the unspent tokens at VMs never exceed the burst together, and their sum
// grows by no more than rate per second. Hence the tokens spent in any interval of length t are at
// most burst + rate·t.
type Bucket struct {
	limit   Limit
	level   float64
	updated time.Time
	// holdings records the tokens that processes hold, indexed by the result of key.
	holdings map[string]holding
	// unreported is the set of VMs that may hold tokens of an earlier bucket until unreportedUntil.
	// Together they may hold as much as the whole burst.
	unreported      map[string]bool
	unreportedUntil time.Time
	// idealLevel is the level of a bucket that is charged only with tokens known to be spent. It
	// decides whether a request is refused or waits; it never allows a grant.
	idealLevel float64
	headroom   headroom
}

// New returns a bucket that starts at now. The level must be one that is proven to be safe to grant.
// The VMs in vms may hold tokens of earlier buckets that expire before unreportedUntil.
func New(limit Limit, level float64, vms []string, now, unreportedUntil time.Time) *Bucket {
	b := &Bucket{
		limit: limit, level: min(level, limit.Burst), updated: now, idealLevel: limit.Burst,
		holdings: map[string]holding{}, unreported: map[string]bool{}, unreportedUntil: unreportedUntil,
	}
	for _, vm := range vms {
		b.unreported[vm] = true
	}
	b.headroom.reset(now)
	return b
}

// Level returns the tokens that can be granted now.
func (b *Bucket) Level() float64 { return b.level }

// AllReported reports whether the tokens held by every VM are known: each has reported or its tokens
// have expired.
func (b *Bucket) AllReported() bool { return len(b.unreported) == 0 }

// key identifies one process in Bucket.holdings.
func key(vm, incarnation string) string { return vm + "/" + incarnation }

// outstanding returns an upper bound of the unspent tokens that VMs hold.
func (b *Bucket) outstanding() float64 {
	total := int64(0)
	for _, h := range b.holdings {
		total += h.tokens
	}
	return float64(total)
}

// Advance adds the tokens refilled until now and discards expired holdings.
func (b *Bucket) Advance(now time.Time) {
	if !now.Before(b.unreportedUntil) {
		clear(b.unreported)
	}
	if len(b.unreported) > 0 || !now.After(b.updated) {
		// The VMs that have not reported may hold the whole burst, so there may be no room for a
		// refill. The tokens of this interval are added once the holdings are known.
		return
	}
	refill := now.Sub(b.updated).Seconds() * b.limit.Rate
	b.updated = now
	fullest := min(b.level+b.outstanding()+refill, b.limit.Burst)
	for k, h := range b.holdings {
		if !now.Before(h.expires) {
			delete(b.holdings, k)
		}
	}
	b.level = max(min(b.level+refill, b.limit.Burst-b.outstanding()), 0)
	b.idealLevel = min(b.idealLevel+refill, b.limit.Burst)
	b.headroom.record(now, b.limit.Burst-fullest)
}

// SetLimit replaces the rate and burst from now on.
func (b *Bucket) SetLimit(limit Limit, now time.Time) {
	if limit == b.limit {
		return
	}
	b.Advance(now)
	b.limit = limit
	b.level = min(b.level, limit.Burst)
	b.idealLevel = min(b.idealLevel, limit.Burst)
	b.headroom.reset(now)
}

// RecordHeld records the tokens of earlier buckets that a VM holds. They expire before expires.
func (b *Bucket) RecordHeld(vm, incarnation string, held int64, now, expires time.Time) {
	if !b.unreported[vm] {
		return
	}
	b.Advance(now)
	delete(b.unreported, vm)
	k := key(vm, incarnation)
	if _, ok := b.holdings[k]; !ok {
		b.holdings[k] = holding{tokens: held, expires: expires}
	}
	b.Advance(now)
}

// Grant handles a request at now. The VM stops spending the granted tokens before expires. Grant
// reports false if the process has already sent this request or a later one.
func (b *Bucket) Grant(req Request, now, expires time.Time) (Reply, bool) {
	b.Advance(now)
	k := key(req.VM, req.Incarnation)
	old, known := b.holdings[k]
	if known && req.Seq <= old.seq {
		return Reply{}, false
	}
	b.applyReport(k, req, expires)
	b.Advance(now)
	b.refund(req.Refunds)
	tokens := b.grantSize(req)
	b.level -= float64(tokens)
	charged := min(tokens, req.Need)
	b.idealLevel = max(b.idealLevel-float64(charged), 0)
	b.holdings[k] = holding{seq: req.Seq, tokens: req.Held + tokens, lastGrant: tokens, charged: charged, expires: expires}
	reply := Reply{Tokens: tokens, Stamp: b.headroom.stamp(now)}
	if tokens < req.Need {
		reply.RetryAfter = b.refillTime(req.Need)
		reply.Wait = b.idealLevel+epsilon >= float64(req.Need)
		reply.Usable = int64(b.idealLevel + epsilon)
	}
	return reply, true
}

// applyReport replaces the holding of the process by the one in its request. Tokens that were
// returned, or granted by a reply that the VM did not apply, go back into the bucket only as far as
// the previous holding covers them, since only so much room was kept free for them.
func (b *Bucket) applyReport(k string, req Request, expires time.Time) {
	old, known := b.holdings[k]
	delete(b.unreported, req.VM)
	b.holdings[k] = holding{seq: req.Seq, tokens: req.Held, expires: expires}
	if !known {
		return
	}
	freed := max(old.tokens-req.Held, 0)
	returned := req.Returned
	if req.Accepted < old.seq {
		returned += old.lastGrant
	}
	returned = min(max(returned, 0), freed)
	b.level += float64(returned)
	b.idealLevel = max(b.idealLevel-float64(freed-returned-old.charged), 0)
}

const (
	// spareDivisor limits what one request may take beyond its need: need and extra together stay
	// within level/spareDivisor.
	spareDivisor = 4
	// epsilon absorbs rounding of the level.
	epsilon = 1e-6
)

// grantSize returns the number of tokens to grant: those needed, and as many of the further ones
// asked for as leave most of the level to other VMs.
func (b *Bucket) grantSize(req Request) int64 {
	available := int64(math.Floor(b.level + epsilon))
	if available < req.Need {
		return 0
	}
	spare := max(int64(b.level/spareDivisor)-req.Need, 0)
	extra := min(max(req.Want-req.Need, 0), spare)
	return req.Need + extra
}

const (
	minRetry = 10 * time.Millisecond
	maxRetry = time.Hour
)

// refillTime returns the time until need tokens are available if nothing else is granted.
func (b *Bucket) refillTime(need int64) time.Duration {
	missing := float64(need) - b.level
	if b.limit.Rate <= 0 {
		return maxRetry
	}
	seconds := min(missing/b.limit.Rate, maxRetry.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), minRetry)
}

// refund puts back tokens that were not used, as far as the bucket has had room for them at every
// moment since they were spent. Its level is then the same as if they had never been spent.
func (b *Bucket) refund(refunds []Refund) {
	if !b.AllReported() {
		return
	}
	for _, r := range refunds {
		credit := min(float64(r.Tokens), b.headroom.minSince(r.Since))
		if credit <= 0 {
			continue
		}
		b.level += credit
		b.idealLevel = min(b.idealLevel+credit, b.limit.Burst)
		b.headroom.reduce(r.Since, credit)
	}
}
