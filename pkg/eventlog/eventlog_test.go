package eventlog

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// output is a writer that collects what is written. With a gate, writes block until the gate is closed.
type output struct {
	mu   sync.Mutex
	text strings.Builder
	gate chan struct{}
}

func (o *output) Write(p []byte) (int, error) {
	if o.gate != nil {
		<-o.gate
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) lines() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Split(strings.TrimSuffix(o.text.String(), "\n"), "\n")
}

func TestLinesAreKeyValuePairs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &output{}
		log := New(out, Options{Level: logrus.InfoLevel})
		log.WithFields(logrus.Fields{
			"vm": "a", "event": "request", "took": 15 * time.Millisecond, "cause": "no engine: \"x\"=1",
			"runs": 2, "fencing": int64(7), "empty": "", "excess": true, "error": errors.New("line\nbreak"),
		}).Info()
		log.WithField("event", "hidden").Debug()
		log.Close(time.Second)
		lines := out.lines()
		require.Len(t, lines, 1)
		_, rest, _ := strings.Cut(lines[0], " ")
		require.Equal(t, `level=info event=request cause="no engine: \"x\"=1" empty="" error="line\nbreak" excess=true fencing=7 runs=2 took=15ms vm=a`, rest)
	})
}

// If the output blocks, the code that logs must not block with it: lines that no longer fit the queue are dropped,
// counted and reported.
func TestBlockedOutputDropsLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &output{gate: make(chan struct{})}
		registry := metrics.NewRegistry()
		log := New(out, Options{Level: logrus.InfoLevel, QueueBytes: 4096, LinesPerSecond: 1000, Metrics: registry})
		begun := time.Now()
		for range 500 {
			log.WithField("event", "x").Info()
		}
		require.Zero(t, time.Since(begun))
		close(out.gate)
		log.Close(time.Second)
		written := 0
		for _, line := range out.lines() {
			if strings.Contains(line, "event=x") {
				written++
			}
		}
		require.Positive(t, written)
		dropped := metrics.GetOrRegisterCounter(MetricDropped, registry).Count()
		require.EqualValues(t, 500, int64(written)+dropped)
		require.Contains(t, out.text.String(), "event=log_lines_dropped lines=")
	})
}

// At twice the allowed rate, info lines are dropped and every warning is still written.
func TestRateLimitDropsLowerSeverityFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &output{}
		log := New(out, Options{Level: logrus.DebugLevel, LinesPerSecond: 100})
		for range 1000 {
			log.WithField("event", "answered").Info()
			log.WithField("event", "failed").Warn()
			time.Sleep(10 * time.Millisecond)
		}
		log.Close(time.Second)
		text := out.text.String()
		failed, answered := strings.Count(text, "event=failed"), strings.Count(text, "event=answered")
		require.Equal(t, 1000, failed)
		require.LessOrEqual(t, answered+failed, 10*100+2*100)
		require.GreaterOrEqual(t, strings.Count(text, "event=log_lines_dropped"), 8)
	})
}

// The sink reuses its buffers: a line must not overwrite one that is still to be written.
func TestReusedBuffersKeepEveryLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &output{}
		log := New(out, Options{Level: logrus.InfoLevel, LinesPerSecond: 10_000})
		for i := range 2000 {
			log.WithField("n", i).Info()
			if i%3 == 0 {
				synctest.Wait()
			}
		}
		log.Close(time.Second)
		for i, line := range out.lines() {
			require.Contains(t, line, fmt.Sprintf(" n=%d", i))
		}
	})
}

// If the output blocks, Close must return after its timeout.
func TestCloseReturnsWhenOutputIsBlocked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &output{gate: make(chan struct{})}
		log := New(out, Options{Level: logrus.InfoLevel})
		log.Info("x")
		begun := time.Now()
		log.Close(200 * time.Millisecond)
		require.Equal(t, 200*time.Millisecond, time.Since(begun))
		close(out.gate)
	})
}

func TestJSON(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &output{}
		log := New(out, Options{Level: logrus.InfoLevel, JSON: true})
		log.WithField("event", "x").Info()
		log.Close(time.Second)
		require.Contains(t, out.lines()[0], `"event":"x"`)
	})
}
