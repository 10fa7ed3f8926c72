package ratelimit

import (
	"slices"
	"time"
)

const (
	// window is the time over which the requests to an endpoint are counted when a limit begins or falls.
	window = 4 * time.Second
	// binWidth is the resolution of the count.
	binWidth = 500 * time.Millisecond
	// binCount is the number of bins that touch a window.
	binCount = int(window/binWidth) + 1
	// windowFactor times the limit plus windowSlack is the number of requests within a window up to which requests
	// are granted although more than the limit were sent before the limit was known.
	windowFactor = 1.35
	windowSlack  = 2
)

// roomInWindow reports whether an endpoint may get one more request when it got so many within the window.
func roomInWindow(limit float64, count int) bool {
	return float64(count+1) <= windowFactor*effectiveRate(limit)*window.Seconds()+windowSlack
}

// counts are numbers of requests by age, the newest first, as of a time.
type counts struct {
	at   time.Time
	bins [binCount]int
}

// advance shifts the bins to the present.
func (c *counts) advance(now time.Time) {
	n := int(now.Sub(c.at) / binWidth)
	if c.at.IsZero() || n >= binCount {
		*c = counts{at: now}
		return
	}
	if n <= 0 {
		return
	}
	copy(c.bins[n:], c.bins[:binCount-n])
	clear(c.bins[:n])
	c.at = c.at.Add(time.Duration(n) * binWidth)
}

// add counts a request.
func (c *counts) add(now time.Time) {
	c.advance(now)
	c.bins[0]++
}

// sum returns the number of requests that are within the window at a time.
func (c *counts) sum(now time.Time) int {
	n := max(int(now.Sub(c.at)/binWidth), 0)
	total := 0
	for _, count := range c.bins[:max(binCount-n, 0)] {
		total += count
	}
	return total
}

// within returns the number of requests of a time up to now that is shorter than the window, rounded up to whole bins.
func (c *counts) within(d time.Duration, now time.Time) int {
	skipped := max(int(now.Sub(c.at)/binWidth), 0)
	bins := int(d/binWidth) + 1 - skipped
	total := 0
	for _, count := range c.bins[:max(min(bins, binCount), 0)] {
		total += count
	}
	return total
}

// recent returns the bins as of now for a message.
func (c *counts) recent(now time.Time) []int {
	c.advance(now)
	return slices.Clone(c.bins[:])
}

// countsOf returns the counts of a message that arrived at a time.
func countsOf(recent []int, now time.Time) counts {
	c := counts{at: now}
	copy(c.bins[:], recent)
	return c
}
