package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/roster"
	"github.com/mallowlink/mallowlink/pkg/suspect"
	"github.com/mallowlink/mallowlink/pkg/upstream"
)

// Suspects protects endpoints from requests that crash the endpoints that run them. A request is suspect while
// crashes of endpoints are attributed to it. *suspect.Detector implements it.
type Suspects interface {
	// NoSuspects reports whether no request is suspect, so that requests need no fingerprint before they are sent.
	NoSuspects() bool
	// Admit decides whether a request may be sent. After Refuse the duration is the time to retry after.
	Admit(fingerprint uint64) (suspect.Decision, time.Duration)
	// SuspectEndpoints returns the endpoints at which other suspects run.
	SuspectEndpoints(fingerprint uint64) []string
	// Started records that a suspect is about to be sent to an endpoint, and reports false if it must not be
	// sent there. Ended records that it has ended there.
	Started(fingerprint uint64, endpoint string) bool
	Ended(fingerprint uint64, endpoint string)
	// AwaitLiveness waits briefly until it is known whether an incarnation of an endpoint has ended.
	AwaitLiveness(ctx context.Context, id roster.Incarnation)
	// Served records that a request got a complete response.
	Served(fingerprint uint64)
	// Responded records that an endpoint has responded to a request that was sent to it at the given time.
	Responded(id roster.Incarnation, sent time.Time)
	// AdmitParts decides whether a request with the parts in its prompt may be sent. See suspect.Detector.AdmitParts.
	AdmitParts(ctx context.Context, parts []string, granted uint64) (decision suspect.Decision, held suspect.HeldPart, trial uint64)
	// PartsServed records that an endpoint has completed its answer to the request.
	PartsServed(id, account string, parts []string)
	// PartsLost records that the endpoint closed or reset the connection of a request, sent at the given time, before its answer was
	// complete. writing is for how long it had been writing the answer; 0 if it had not begun to.
	PartsLost(e roster.Endpoint, account string, parts []string, sent time.Time, writing time.Duration)
	// ConnectionLost records that the endpoint closed or reset the connection of a request, sent at the given time,
	// before the response was complete. running is for how long the endpoint had been responding.
	ConnectionLost(e roster.Endpoint, account string, fingerprint uint64, sent time.Time, running time.Duration)
}

const (
	// suspectPollInterval is the time between two checks whether a suspect may be sent.
	suspectPollInterval = 20 * time.Millisecond
	// isolationTimeout bounds how long a suspect waits for an endpoint at which no other suspect runs. It is
	// most likely innocent, and must not be delayed for what others do.
	isolationTimeout = 200 * time.Millisecond
)

// isolate waits until a suspect request may be sent, and returns the endpoints that it should not go to. The
// error says why it must not be sent at all.
func (c *call) isolate() ([]string, *result.Error) {
	c.suspected = false
	if c.maybeCrashed != nil {
		c.g.cfg.Suspects.AwaitLiveness(c.ctx, *c.maybeCrashed)
		c.maybeCrashed = nil
	}
	if c.g.cfg.Suspects.NoSuspects() {
		return nil, nil
	}
	for {
		decision, after := c.g.cfg.Suspects.Admit(c.fingerprint())
		switch decision {
		case suspect.Allow:
			return nil, nil
		case suspect.Refuse:
			e := result.New(result.Suspect, "the same request ended several endpoints, fingerprint "+suspect.FormatFingerprint(c.fingerprint()))
			e.RetryAfter = after
			return nil, e
		case suspect.Isolate:
			c.suspected = true
			return c.g.cfg.Suspects.SuspectEndpoints(c.fingerprint()), nil
		}
		if e := c.abortReason(); e != nil {
			return nil, e
		}
		clock.Sleep(c.ctx, suspectPollInterval)
	}
}

// requestPlacement gets a placement from the dispatcher. A suspect goes to an endpoint at which no other
// suspect runs, if there is one soon: it must not be blamed for a crash that the other one causes.
func (c *call) requestPlacement(ctx context.Context) (Placement, error) {
	began := time.Now()
	for {
		avoid, e := c.isolate()
		if e == nil {
			e = c.admitParts()
		}
		if e != nil {
			return Placement{}, e
		}
		req := c.dispatchRequest()
		if time.Since(began) >= isolationTimeout {
			avoid = nil
		}
		req.Exclude = append(avoid, req.Exclude...)
		placement, err := c.g.cfg.Dispatcher.Place(ctx, req)
		if err != nil && len(avoid) > 0 && c.abortReason() == nil {
			clock.Sleep(ctx, suspectPollInterval)
			continue
		}
		if err != nil || !c.suspected || c.g.cfg.Suspects.Started(c.fingerprint(), placement.Endpoint.ID) {
			return placement, err
		}
		placement.Done(Outcome{Canceled: true})
	}
}

// endPlacement ends the use of the endpoint and reports the outcome.
func (c *call) endPlacement(o Outcome) {
	c.placement.Done(o)
	if c.suspected {
		c.suspected = false
		c.g.cfg.Suspects.Ended(c.fingerprint(), c.placement.Endpoint.ID)
	}
}

// reportBrokenConnection reports that the endpoint closed or reset the connection, if that is why the response
// failed: the endpoint may have crashed because of the request.
func (c *call) reportBrokenConnection(err error) {
	if c.ctx.Err() != nil || !upstream.ConnectionClosed(err) {
		return
	}
	var running, writing time.Duration
	if !c.headAt.IsZero() {
		running = time.Since(c.headAt)
	}
	if !c.writingSince.IsZero() {
		writing = time.Since(c.writingSince)
	}
	c.maybeCrashed = &c.placement.Endpoint.Incarnation
	c.g.cfg.Suspects.PartsLost(c.placement.Endpoint, c.account, c.sharedParts(), c.sentAt, writing)
	c.g.cfg.Suspects.ConnectionLost(c.placement.Endpoint, c.account, c.fingerprint(), c.sentAt, running)
}

// maxRecordedBody bounds the bodies of requests that are recorded as served while no request is suspect, in
// bytes. Larger bodies hardly ever recur, and fingerprinting them takes long.
const maxRecordedBody = 256 << 10

// recordServed records that an endpoint has responded to the request completely. A failure is no evidence: the endpoint may not have
// begun to run the request.
func (c *call) recordServed() {
	if retryableStatus(c.response.Status) {
		return
	}
	if len(c.body) <= maxRecordedBody || !c.g.cfg.Suspects.NoSuspects() {
		c.g.cfg.Suspects.Served(c.fingerprint())
	}
}

// sharedParts returns the IDs of the parts of the prompt that other requests may share: all but the last one, which belongs
// to the request or its session.
func (c *call) sharedParts() []string {
	if c.cachedParts != nil || len(c.terms.Prompt) < 2 {
		return c.cachedParts
	}
	shared := c.terms.Prompt[:len(c.terms.Prompt)-1]
	c.cachedParts = make([]string, 0, len(shared))
	known := make(map[string]bool, len(shared))
	for _, part := range shared {
		if !known[part.ID] {
			known[part.ID] = true
			c.cachedParts = append(c.cachedParts, part.ID)
		}
	}
	return c.cachedParts
}

// admitParts returns an error if the prompt has a part that crashes endpoints. It waits while that is being decided.
func (c *call) admitParts() *result.Error {
	for {
		decision, held, trial := c.g.cfg.Suspects.AdmitParts(c.ctx, c.sharedParts(), c.partTrial)
		switch decision {
		case suspect.Allow:
			c.partTrial = trial
			return nil
		case suspect.Refuse:
			return c.refusePart(held)
		}
		if e := c.abortReason(); e != nil {
			return e
		}
		clock.Sleep(c.ctx, suspectPollInterval)
	}
}

// refusePart returns the error for a request with a part that crashes endpoints, and logs what is known of the part.
func (c *call) refusePart(held suspect.HeldPart) *result.Error {
	c.g.cfg.Log.WithFields(logrus.Fields{
		"event": "part_refused", "id": c.terms.ID, "account": c.account, "part": held.Part, "crashes": held.Crashes,
		"seen_by": strings.Join(held.SeenBy, ","), "age": held.Age.Round(time.Millisecond), "trials": held.Trials,
		"next_trial": held.NextTrial.Round(time.Millisecond),
	}).Info("request refused: a part of its prompt crashes endpoints")
	e := result.New(result.SuspectPart, "endpoints crashed under requests with the prompt part "+held.Part)
	e.RetryAfter = held.NextTrial
	return e
}

// recordPartsServed records that the endpoint has completed its answer, unless that is an error. The beginning of an answer shows
// nothing: a part may crash each endpoint that has begun to write one.
func (c *call) recordPartsServed() {
	if c.response.Status >= http.StatusMultipleChoices {
		return
	}
	c.g.cfg.Suspects.PartsServed(c.terms.ID, c.account, c.sharedParts())
}
