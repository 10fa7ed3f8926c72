package load

import (
	"context"
	"sync"
	"time"

	"github.com/mallowlink/mallowlink/pkg/httponce"
)

// Run sends the load and returns how it was answered. It ends early if the context does.
func Run(ctx context.Context, opts Options) (*Report, error) {
	p, err := newPlan(opts)
	if err != nil {
		return nil, err
	}
	sender := &client{http: httponce.New(httponce.Options{MaxIdlePerHost: opts.MaxInFlight, TLS: opts.TLS})}
	report := newReport()
	slots := make(chan struct{}, opts.MaxInFlight)
	var group sync.WaitGroup
	start := time.Now()
	for {
		c, ok := p.next()
		if !ok || !sleepUntil(ctx, start.Add(c.at)) {
			break
		}
		select {
		case slots <- struct{}{}:
		default:
			report.add(c, ending{verdict: notSent})
			continue
		}
		group.Go(func() {
			defer func() { <-slots }()
			callCtx, cancel := context.WithTimeout(ctx, opts.Timeout)
			defer cancel()
			report.add(c, sender.send(callCtx, c, start.Add(c.at)))
		})
	}
	group.Wait()
	report.Elapsed = time.Since(start)
	return report, nil
}

// sleepUntil waits, and reports false if the context ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
