package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/mallowlink/mallowlink/platform/standin"
)

// findings are promises that were broken.
type findings struct {
	w    *world
	list []string
}

func (f *findings) add(format string, args ...any) {
	f.list = append(f.list, fmt.Sprintf(format, args...))
}

// at returns a moment in seconds from the start, as the list of faults has it.
func (f *findings) at(t time.Time) string { return fmt.Sprintf("%.2f", t.Sub(f.w.begun).Seconds()) }

// check holds what callers and endpoints have seen against the promises.
func check(w *world, c *callers, ch *changes) []string {
	f := &findings{w: w}
	f.list = append(f.list, w.audit.Violations()...)
	attempts := c.all()
	for _, a := range attempts {
		f.checkAnswer(a)
		f.checkJunk(a)
		f.checkRuns(a, ch)
		f.checkEnd(a)
		f.checkConfig(a, ch)
	}
	f.checkOrders()
	f.checkDraining()
	f.checkRepeats(attempts)
	f.checkLeaving(attempts)
	f.checkPauses(attempts)
	f.checkRequestLimits(attempts)
	f.checkCrashes(attempts)
	f.checkQuota(attempts)
	return f.list
}

// checkAnswer: a success is the request's own whole answer; what arrives of a cut one is its beginning.
func (f *findings) checkAnswer(a *attempt) {
	if a.status != http.StatusOK {
		return
	}
	if a.signature != standin.Signature(a.expected()) {
		f.add("mixed: %s got the signature of another answer", a.id)
	}
	if a.whole && !bytes.Equal(a.body, a.expectedRest()) {
		f.add("mixed: %s got %d bytes as a whole answer of %d", a.id, len(a.body), len(a.expectedRest()))
	}
	if !bytes.HasPrefix(a.expectedRest(), a.body) {
		f.add("order: %s got %q", a.id, a.body)
	}
}

// checkRuns: a request runs for the account of its key, on its adapter in a version that is not too old, not
// more often than it may, and not at all if its answer says so.
func (f *findings) checkRuns(a *attempt, ch *changes) {
	runs := f.w.audit.Runs(a.id)
	if a.kind.once && len(runs) > 1 {
		f.add("twice: %s ran %d times", a.id, len(runs))
	}
	if a.promised() && len(runs) > 0 {
		f.add("refused: %s was answered %d and ran at %s", a.id, a.status, runs[0].Endpoint)
	}
	for _, run := range runs {
		if run.Account != a.account {
			f.add("unasked: %s of %s ran for %q", a.id, a.account, run.Account)
		}
		if a.adapter != "" && run.Adapter != modelName+"/"+a.adapter {
			f.add("unasked: %s for %s ran on %s", a.id, a.adapter, run.Adapter)
		}
		f.checkVersion(a, run, ch)
	}
	ch.mu.Lock()
	gone, withdrawn := ch.withdrawn[a.key]
	ch.mu.Unlock()
	if withdrawn && len(runs) > 0 && a.sent.Sub(gone) > keyWithdrawal {
		f.add("key: %s ran %v after its key was withdrawn", a.id, a.sent.Sub(gone))
	}
}

func (f *findings) checkVersion(a *attempt, run standin.Run, ch *changes) {
	if a.adapter == "" {
		return
	}
	ch.mu.Lock()
	defer ch.mu.Unlock()
	for _, n := range ch.versions[a.adapter] {
		due := n.at.Add(versionTime)
		if run.Version < n.version && run.StartedAt.After(due) && f.w.faults.calm(n.at, run.StartedAt, false) {
			f.add("version: %s began on %s@%d at %s, %v after version %d was declared",
				a.id, a.adapter, run.Version, f.at(run.StartedAt), run.StartedAt.Sub(n.at), n.version)
		}
	}
}

// lossSlack is the time after which a request that was sent to a stopping VM counts as read.
const lossSlack = 200 * time.Millisecond

// checkEnd: in the absence of faults, also around planned stops, each request that was taken gets an answer,
// in time.
func (f *findings) checkEnd(a *attempt) {
	if a.gaveUp || !f.w.faults.calm(a.sent, a.ended, false) {
		return
	}
	took := a.ended.Sub(a.sent)
	answered := a.status > 0 && a.whole
	if !answered && (len(f.w.audit.Runs(a.id)) > 0 || took > lossSlack) {
		f.add("lost: %s (%s) at %s of %s ended after %v without an answer: status %d, %v",
			a.id, a.kind.name, f.at(a.sent), a.vm.name, took, a.status, a.err)
	}
	if a.status == http.StatusInternalServerError || a.status == http.StatusBadRequest {
		f.add("denied: %s got %d", a.id, a.status)
	}
}

// checkConfig: routes that were added are served once they must be in force.
func (f *findings) checkConfig(a *attempt, ch *changes) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	if a.status != http.StatusNotFound {
		return
	}
	if !strings.HasPrefix(a.prefix, "/added") {
		f.add("denied: %s got 404 for %s", a.id, a.prefix)
		return
	}
	for _, r := range ch.added {
		if r.prefix == a.prefix && a.sent.Sub(r.at) > configTime && f.w.faults.calm(r.at, a.ended, false) {
			f.add("config: %s got 404 from %s at %s, %v after the route was added", a.id, a.vm.name, f.at(a.sent), a.sent.Sub(r.at))
		}
	}
}

// thawSlack excuses orders that were on their way when their sender was stopped or cut.
const thawSlack = 300 * time.Millisecond

// checkOrders: numbers of holders rise, none is shared, and holders do not take turns.
func (f *findings) checkOrders() {
	type run struct {
		endpoint string
		started  int64
	}
	byRun := map[run][]standin.ReceivedOrder{}
	for _, o := range f.w.audit.Orders() {
		key := run{o.Endpoint, o.Started}
		byRun[key] = append(byRun[key], o)
	}
	for key, orders := range byRun {
		lastOf := map[string]time.Time{}
		for i, o := range orders {
			if i == 0 {
				lastOf[o.Holder] = o.At
				continue
			}
			before := orders[i-1]
			if o.Fencing < before.Fencing && !f.thawed(o) {
				f.add("one: %s got number %d of %s after %d of %s at %s", key.endpoint, o.Fencing, o.Holder, before.Fencing, before.Holder, f.at(o.At))
			}
			if o.Fencing == before.Fencing && o.Holder != before.Holder {
				f.add("one: %s got number %d of both %s and %s", key.endpoint, o.Fencing, o.Holder, before.Holder)
			}
			if last, known := lastOf[o.Holder]; known && before.Holder != o.Holder && o.At.Sub(last) < orderTurns && !f.thawed(o) {
				f.add("one: %s got orders of %s and %s in turn within %v at %s", key.endpoint, o.Holder, before.Holder, o.At.Sub(last), f.at(o.At))
			}
			lastOf[o.Holder] = o.At
		}
	}
}

// thawed reports whether an order's sender was stopped, or anything cut, just before the order arrived.
func (f *findings) thawed(o standin.ReceivedOrder) bool {
	l := f.w.faults
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.spans, func(s *span) bool {
		cut := strings.Contains(s.what, "_cut") || s.what == "freeze" && s.on == o.Holder
		return cut && s.from.Before(o.At) && (s.to.IsZero() || o.At.Sub(s.to) < thawSlack)
	})
}

// checkDraining: a leaving endpoint gets no new requests.
func (f *findings) checkDraining() {
	for _, a := range f.w.audit.Arrivals() {
		if a.DrainingSince.IsZero() || a.At.Sub(a.DrainingSince) <= drainTime || !f.w.faults.calm(a.DrainingSince, a.At, false) {
			continue
		}
		f.add("drain: %s reached %s %v after it said that it leaves, at %s", a.ID, a.Endpoint, a.At.Sub(a.DrainingSince), f.at(a.At))
	}
}

// checkRepeats: arrivals beyond the first of each request stay within their share.
func (f *findings) checkRepeats(attempts []*attempt) {
	type event struct {
		at     time.Time
		repeat bool
	}
	groups := map[string][]event{}
	for _, a := range attempts {
		group := serviceGroup
		if a.kind.events > 0 {
			group = engineGroup
		}
		groups[group] = append(groups[group], event{at: a.sent})
	}
	seen := map[string]bool{}
	for _, a := range f.w.audit.Arrivals() {
		if seen[a.ID] {
			groups[a.Group] = append(groups[a.Group], event{at: a.At, repeat: true})
		}
		seen[a.ID] = true
	}
	for group, events := range groups {
		slices.SortFunc(events, func(a, b event) int { return a.at.Compare(b.at) })
		first, requests, repeats := 0, 0, 0
		for _, e := range events {
			if e.repeat {
				repeats++
			} else {
				requests++
			}
			for ; e.at.Sub(events[first].at) > retryWindow; first++ {
				if events[first].repeat {
					repeats--
				} else {
					requests--
				}
			}
			if float64(repeats) > retryShare*float64(requests)+retryReserve {
				f.add("budget: %d repeats for %d requests to %s at %s", repeats, requests, group, f.at(e.at))
				return
			}
		}
	}
}

// checkQuota: what runs of an account stays within its limit in every window.
func (f *findings) checkQuota(attempts []*attempt) {
	type spending struct {
		sent, at time.Time
		tokens   int64
	}
	used := map[string][]spending{}
	for _, a := range attempts {
		if runs := f.w.audit.Runs(a.id); len(runs) > 0 {
			used[a.account] = append(used[a.account], spending{a.sent, runs[0].StartedAt, a.kind.tokens})
		}
	}
	for _, account := range f.w.accounts {
		if account.rate == 0 {
			continue
		}
		limit := (account.rate*quotaWindow.Seconds()+account.burst)*(1+quotaOverage) + quotaSlack
		list := used[account.name]
		slices.SortFunc(list, func(a, b spending) int { return a.at.Compare(b.at) })
		first, sum := 0, int64(0)
		for _, s := range list {
			sum += s.tokens
			for ; s.at.Sub(list[first].at) > quotaWindow; first++ {
				sum -= list[first].tokens
			}
			if float64(sum) > limit {
				early := int64(0)
				for _, other := range list[first:] {
					if other.sent.Before(s.at.Add(-quotaWindow)) && !other.at.After(s.at) {
						early += other.tokens
					}
				}
				f.add("quota: %s used %d of %.0f tokens within %v at %s, %d sent before", account.name, sum, limit, quotaWindow, f.at(s.at), early)
				break
			}
		}
	}
}
