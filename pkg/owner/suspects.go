package owner

import (
	"time"

	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/scheduler"
	"github.com/mallowlink/mallowlink/pkg/suspect"
)

// Suspects counts endpoint crashes for each request fingerprint that was running when they occurred, so that
// a request that crashes endpoints is stopped. *suspect.Table implements it.
type Suspects interface {
	Admit(now time.Time, fingerprint uint64) (suspect.Decision, time.Duration)
	Endpoints(fingerprint uint64) []string
	Started(now time.Time, fingerprint uint64, endpoint string) bool
	Ended(now time.Time, fingerprint uint64, endpoint string, completed bool)
	CrashSeen(now time.Time, fingerprint uint64, crash string) int
}

// checkSuspect refuses a fingerprint that has crashed too many endpoints. If one more crash would be too many,
// it restricts the endpoints on which the item may run.
func (r *runner) checkSuspect(now time.Time, fingerprint uint64, item *scheduler.Item) *result.Error {
	decision, after := r.owner.cfg.Suspects.Admit(now, fingerprint)
	switch decision {
	case suspect.Refuse:
		err := result.New(result.Suspect, "the same request crashed endpoints")
		err.RetryAfter = after
		return err
	case suspect.Isolate:
		item.Isolated = true
	case suspect.Wait:
		r.pin(fingerprint, item)
	}
	return nil
}

// pin restricts the item to an endpoint that already runs a copy of the request, if there is one.
func (r *runner) pin(fingerprint uint64, item *scheduler.Item) {
	running := r.owner.cfg.Suspects.Endpoints(fingerprint)
	if len(running) > 0 {
		item.Endpoint = running[0]
	}
}

// recordStart records with Suspects that the attempt runs on the link's endpoint. If that could crash one endpoint
// too many, the attempt is returned to the queue, where it is restricted or refused, and recordStart reports
// false.
func (r *runner) recordStart(a *attempt, l *link) bool {
	if r.owner.cfg.Suspects.Started(time.Now(), a.req.Fingerprint, l.spec.Name) {
		return true
	}
	if a.markQueued() {
		r.notifyFinished(a.req.ID, 0, errCopyRunning)
		r.requeue(a)
		return false
	}
	r.notifyFinished(a.req.ID, 0, nil)
	return false
}
