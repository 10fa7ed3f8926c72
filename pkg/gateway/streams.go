package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/dispatch/software"
	"github.com/mallowlink/mallowlink/pkg/result"
)

// Streams decides at which software version of the endpoints resumable streams begin and go on. *software.Keeper implements it.
type Streams interface {
	// Begin returns the version at which a stream begins, TakeUp the one at which a stream has begun. id is that of the caller's attempt
	// that brings, or brought, its first event. The error is a *software.Unknown.
	Begin(ctx context.Context, group, id string) (software.Decision, error)
	TakeUp(ctx context.Context, group, id string) (software.Decision, error)
	// Began records that events of a stream have come from a version.
	Began(group, id, version string)
	// Serves reports whether the endpoint that is listed under an ID has the version, or none is listed any more.
	Serves(endpoint, version string) bool
}

// streamVersion is the software version at which the stream of a call may run.
type streamVersion struct {
	software.Decision
	// bound says that the stream may run at no other version, takenUp that it has begun in an earlier attempt of the caller.
	bound, takenUp bool
}

// bindVersion decides at which software version a resumable stream may run. A stream that has begun keeps its version.
func (c *call) bindVersion() *result.Error {
	if !c.route.Stream || !c.route.Resumable || c.relay.headSent || c.version.takenUp {
		return nil
	}
	var d software.Decision
	var err error
	takenUp := c.terms.LastEvent != ""
	if takenUp {
		d, err = c.g.cfg.Streams.TakeUp(c.ctx, c.group.Name, c.terms.Resumes)
	} else {
		d, err = c.g.cfg.Streams.Begin(c.ctx, c.group.Name, c.terms.ID)
	}
	var unknown *software.Unknown
	if errors.As(err, &unknown) {
		e := result.New(result.VersionUnknown, unknown.Reason)
		e.RetryAfter = unknown.RetryAfter
		return e
	}
	if err != nil {
		return asResult(err)
	}
	c.version = streamVersion{Decision: d, bound: true, takenUp: takenUp}
	return nil
}

// servesVersion reports whether the endpoint that is listed under the ID of the chosen one still has the version at which the stream
// may run.
func (c *call) servesVersion() bool {
	return !c.version.bound || c.g.cfg.Streams.Serves(c.placement.Endpoint.ID, c.version.Version)
}

// recordBegun records that the first events of a stream are passed on.
func (c *call) recordBegun() {
	if !c.version.bound {
		return
	}
	c.g.cfg.Streams.Began(c.group.Name, c.terms.ID, c.placement.Endpoint.Software)
	if c.version.takenUp {
		c.g.cfg.Streams.Began(c.group.Name, c.terms.Resumes, c.placement.Endpoint.Software)
	}
}

// logFields returns what decided the version, for logs.
func (v streamVersion) logFields() logrus.Fields {
	if !v.bound {
		return nil
	}
	return logrus.Fields{"stream_version": v.Version, "version_by": v.Source, "version_age": v.Age.Round(time.Millisecond), "taken_up": v.takenUp}
}

// attemptsOfStream is how many times the time limit of its route a stream may be taken up after it was begun: its caller may have as
// much time again.
const attemptsOfStream = 2

// streamLife returns how long resumable streams may be taken up, by group.
func streamLife(b *bundle.Bundle) map[string]time.Duration {
	life := map[string]time.Duration{}
	for _, r := range b.Routes {
		if !r.Stream || !r.Resumable {
			continue
		}
		limit := r.Timeout
		if limit == 0 {
			limit = defaultTimeLimit
		}
		groups := []string{r.Group}
		for _, backend := range r.Backends {
			groups = append(groups, backend.Group)
		}
		for _, name := range groups {
			if name != "" {
				life[name] = max(life[name], attemptsOfStream*limit)
			}
		}
	}
	return life
}
