package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/mallowlink/mallowlink/pkg/result"
)

// Range and precision of the histograms.
const (
	minTime           = time.Microsecond
	maxTime           = time.Hour
	significantDigits = 3
)

// maxExamples bounds the examples of one verdict that a report keeps.
const maxExamples = 5

// percentiles are what a report shows of a histogram.
var percentiles = []float64{50, 95, 99}

// Refusal is what refusals are counted by.
type Refusal struct {
	Code    result.Code
	Outcome result.Outcome
	Status  int
}

// Report tells how the requests of a load were answered.
type Report struct {
	Elapsed time.Duration

	mu       sync.Mutex
	verdicts map[Kind]map[verdict]int
	refusals map[Refusal]int
	first    map[Kind]*hdrhistogram.Histogram
	total    map[Kind]*hdrhistogram.Histogram
	gaps     map[Kind]*hdrhistogram.Histogram
	accounts map[string]*hdrhistogram.Histogram
	examples map[verdict][]string
	// tags holds the verdict and outcome of each request, by its tag.
	tags map[string]ending
}

func newReport() *Report {
	return &Report{
		verdicts: map[Kind]map[verdict]int{},
		refusals: map[Refusal]int{},
		first:    map[Kind]*hdrhistogram.Histogram{},
		total:    map[Kind]*hdrhistogram.Histogram{},
		gaps:     map[Kind]*hdrhistogram.Histogram{},
		accounts: map[string]*hdrhistogram.Histogram{},
		examples: map[verdict][]string{},
		tags:     map[string]ending{},
	}
}

// add counts one request.
func (r *Report) add(c call, end ending) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.verdicts[c.kind] == nil {
		r.verdicts[c.kind] = map[verdict]int{}
	}
	r.verdicts[c.kind][end.verdict]++
	r.tags[c.tag] = ending{verdict: end.verdict, once: c.kind == Service, outcome: end.outcome}
	switch end.verdict {
	case answered:
		record(r.total, c.kind, end.total)
		if c.kind == Service {
			break
		}
		if c.stream {
			record(r.first, c.kind, end.first)
		}
		for _, gap := range end.gaps {
			record(r.gaps, c.kind, gap)
		}
		if c.kind == Interactive {
			record(r.accounts, c.account.Name, end.total)
		}
	case refused:
		r.refusals[Refusal{Code: end.code, Outcome: end.outcome, Status: end.status}]++
	default:
		if len(r.examples[end.verdict]) < maxExamples {
			r.examples[end.verdict] = append(r.examples[end.verdict], c.tag+": "+end.detail)
		}
	}
}

func record[K comparable](histograms map[K]*hdrhistogram.Histogram, key K, value time.Duration) {
	h := histograms[key]
	if h == nil {
		h = hdrhistogram.New(int64(minTime), int64(maxTime), significantDigits)
		histograms[key] = h
	}
	// Times beyond the range count as its ends.
	_ = h.RecordValue(int64(min(max(value, minTime), maxTime)))
}

// Totals counts the requests of a load by how they ended.
type Totals struct {
	// Sent counts all requests but those that were not sent because too many were in flight.
	Sent     int
	Answered int
	Refused  int
	// Wrong counts answers of another request, Cut those that ended early, and Failed the requests
	// without any answer.
	Wrong   int
	Cut     int
	Failed  int
	NotSent int
}

// Totals returns the counts over all kinds of request.
func (r *Report) Totals() Totals {
	r.mu.Lock()
	defer r.mu.Unlock()
	var t Totals
	for _, counts := range r.verdicts {
		t.Answered += counts[answered]
		t.Refused += counts[refused]
		t.Wrong += counts[wrong]
		t.Cut += counts[cut]
		t.Failed += counts[failed]
		t.NotSent += counts[notSent]
	}
	t.Sent = t.Answered + t.Refused + t.Wrong + t.Cut + t.Failed
	return t
}

// Bad returns the number of requests whose answer was wrong or cut.
func (r *Report) Bad() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, counts := range r.verdicts {
		n += counts[wrong] + counts[cut]
	}
	return n
}

// Count returns how many requests of the kind ended so, by the verdict's name in the report.
func (r *Report) Count(kind Kind, name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.verdicts[kind][verdict(name)]
}

// Refusals returns the refusals by code, outcome and status.
func (r *Report) Refusals() map[Refusal]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.refusals)
}

// Write writes the report, one line of key=value pairs for each item.
func (r *Report) Write(w io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, kind := range slices.Sorted(maps.Keys(r.verdicts)) {
		counts := r.verdicts[kind]
		for _, v := range slices.Sorted(maps.Keys(counts)) {
			rate := float64(counts[v]) / r.Elapsed.Seconds()
			fmt.Fprintf(w, "event=ended kind=%s verdict=%s count=%d per_second=%.2f\n", kind, v, counts[v], rate)
		}
	}
	for refusal, count := range r.refusals {
		fmt.Fprintf(w, "event=refusals code=%d name=%s outcome=%s status=%d count=%d\n",
			refusal.Code, codeName(refusal.Code), refusal.Outcome, refusal.Status, count)
	}
	writeTimes(w, "first-token", "kind", r.first)
	writeTimes(w, "between-tokens", "kind", r.gaps)
	writeTimes(w, "whole-answer", "kind", r.total)
	writeTimes(w, "whole-interactive-answer", "account", r.accounts)
	for _, v := range slices.Sorted(maps.Keys(r.examples)) {
		for _, example := range r.examples[v] {
			fmt.Fprintf(w, "event=example verdict=%s detail=%q\n", v, example)
		}
	}
}

func codeName(code result.Code) string {
	if code == 0 {
		return "none"
	}
	return code.Name()
}

func writeTimes[K ~string](w io.Writer, name, by string, histograms map[K]*hdrhistogram.Histogram) {
	for _, key := range slices.Sorted(maps.Keys(histograms)) {
		h := histograms[key]
		fmt.Fprintf(w, "event=times of=%s %s=%s count=%d", name, by, key, h.TotalCount())
		for _, p := range percentiles {
			fmt.Fprintf(w, " p%g_ms=%.2f", p, milliseconds(h.ValueAtPercentile(p)))
		}
		fmt.Fprintf(w, " max_ms=%.2f\n", milliseconds(h.Max()))
	}
}

func milliseconds(nanoseconds int64) float64 {
	return float64(nanoseconds) / float64(time.Millisecond)
}
