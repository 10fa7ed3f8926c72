package soak

import (
	"slices"
	"strings"
	"time"

	"github.com/mallowlink/mallowlink/platform/standin"
)

// pauseSlack is the time after an endpoint has asked for a pause in which requests on their way may arrive, and
// maxInPause the requests that may arrive after that before the pause is over.
const (
	pauseSlack = 500 * time.Millisecond
	maxInPause = 2
)

// visit is what requests of one VM go to: a run of an endpoint.
type visit struct {
	vm       *vm
	endpoint string
	started  int64
}

// arrival is a request that has reached an endpoint, with the caller's side of it.
type arrival struct {
	standin.Arrival
	attempt *attempt
}

// visits returns the arrivals at endpoints by the VM that has sent them and the run that they have reached, in order.
func (f *findings) visits(attempts []*attempt) map[visit][]arrival {
	byID := map[string]*attempt{}
	for _, a := range attempts {
		byID[a.id] = a
	}
	visits := map[visit][]arrival{}
	for _, a := range f.w.audit.Arrivals() {
		if from := byID[a.ID]; from != nil {
			v := visit{from.vm, a.Endpoint, a.Started}
			visits[v] = append(visits[v], arrival{a, from})
		}
	}
	return visits
}

// struck reports whether a VM was restarted, frozen or cut between two moments.
func (l *faultLog) struck(v *vm, from, to time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.spans, func(s *span) bool {
		return (s.on == v.name || s.what == "kill_all") && s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
	})
}

// checkLeaving: an endpoint that has said in an answer that it leaves gets no new requests from the VM that has passed the
// answer on.
func (f *findings) checkLeaving(attempts []*attempt) {
	for v, list := range f.visits(attempts) {
		var told time.Time
		for _, a := range list {
			if a.Leaving && a.attempt.ok() && (told.IsZero() || a.attempt.ended.Before(told)) {
				told = a.attempt.ended
			}
		}
		for _, a := range list {
			if !told.IsZero() && a.attempt.sent.After(told.Add(drainTime)) && !f.w.faults.struck(v.vm, told, a.At) {
				f.add("leaving: %s reached %s from %s, sent %v after an answer that said that it leaves",
					a.ID, v.endpoint, v.vm.name, a.attempt.sent.Sub(told))
			}
		}
	}
}

// checkPauses: an endpoint that has asked a VM for a pause gets hardly any request from it until the pause is over.
func (f *findings) checkPauses(attempts []*attempt) {
	for v, list := range f.visits(attempts) {
		for _, asked := range list {
			if asked.RetryAfter == 0 {
				continue
			}
			in := 0
			for _, a := range list {
				if a.At.After(asked.At.Add(pauseSlack)) && a.At.Before(asked.At.Add(asked.RetryAfter)) {
					in++
				}
			}
			if in > maxInPause && !f.w.faults.struck(v.vm, asked.At, asked.At.Add(asked.RetryAfter)) {
				f.add("pause: %d requests reached %s from %s within the pause of %v that it had asked for at %s",
					in, v.endpoint, v.vm.name, asked.RetryAfter, f.at(asked.At))
			}
		}
	}
}

// checkJunk: callers get nothing of what endpoints send that is no answer.
func (f *findings) checkJunk(a *attempt) {
	if strings.Contains(string(a.body), standin.Junk) {
		f.add("junk: %s got bytes that are no answer", a.id)
	}
}
