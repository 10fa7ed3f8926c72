package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"

	"github.com/go-faster/errors"

	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/standin/engine"
)

// tagPattern matches the tags of calls.
var tagPattern = regexp.MustCompile(`load-[0-9a-f]+-[0-9]+`)

// run is what is read of the record that a stand-in keeps of a request.
type run struct {
	Body   string      `json:"body"`
	Header http.Header `json:"header"`
}

// Audit compares what callers were told with what ran at the stand-ins.
type Audit struct {
	// Doubled counts the requests that may not be repeated and ran more than once.
	Doubled int
	// Lost counts those that were answered and did not run.
	Lost int
	// FalseNotRun counts the requests of any kind that ran and were refused as not run.
	FalseNotRun int
	// Leaked counts the runs that saw a caller's key.
	Leaked int
	// Repeated counts the other requests that ran more than once, as they may.
	Repeated int
}

// Check compares the report with the records of the stand-ins at the base URLs.
func (r *Report) Check(ctx context.Context, urls []string, accounts []Account) (Audit, error) {
	var audit Audit
	counts := map[string]int{}
	for _, url := range urls {
		runs, err := fetchRuns(ctx, url)
		if err != nil {
			return Audit{}, err
		}
		for _, run := range runs {
			counts[tagPattern.FindString(run.Body)]++
			if leaks(run, accounts) {
				audit.Leaked++
			}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for tag, end := range r.tags {
		audit.count(end, counts[tag])
	}
	return audit, nil
}

// count takes in one request that ran n times.
func (a *Audit) count(end ending, n int) {
	if n > 0 && end.verdict == refused && end.outcome == result.NotRun {
		a.FalseNotRun++
	}
	switch {
	case n > 1 && end.once:
		a.Doubled++
	case n > 1:
		a.Repeated++
	case n == 0 && end.once && end.verdict == answered:
		a.Lost++
	}
}

// Bad returns the number of broken promises.
func (a Audit) Bad() int { return a.Doubled + a.Lost + a.FalseNotRun + a.Leaked }

// Write writes the audit as one line of key=value pairs.
func (a Audit) Write(w io.Writer) {
	fmt.Fprintf(w, "event=audit doubled=%d lost=%d false_not_run=%d leaked=%d repeated=%d\n",
		a.Doubled, a.Lost, a.FalseNotRun, a.Leaked, a.Repeated)
}

func leaks(run run, accounts []Account) bool {
	var seen strings.Builder
	seen.WriteString(run.Body)
	for _, values := range run.Header {
		seen.WriteString("\n" + strings.Join(values, "\n"))
	}
	for _, account := range accounts {
		if account.Key != "" && strings.Contains(seen.String(), account.Key) {
			return true
		}
	}
	return false
}

func fetchRuns(ctx context.Context, url string) ([]run, error) {
	target := strings.TrimRight(url, "/") + engine.RanPath
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "fetch record")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s answers status %d", target, resp.StatusCode)
	}
	var runs []run
	if err := json.NewDecoder(resp.Body).Decode(&runs); err != nil {
		return nil, errors.Wrap(err, "decode record")
	}
	return runs, nil
}
