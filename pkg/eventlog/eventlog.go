// Package eventlog writes structured log lines without blocking the code that logs. Lines are queued and
// written by a separate goroutine. A line is dropped if the queue is full or the rate limit exceeded; the number
// of dropped lines is logged.
package eventlog

import (
	"io"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

// Defaults of Options.
const (
	// DefaultLinesPerSecond is the maximum rate of lines of a process. Under load a VM serves up to about 100
	// requests a second, and logs one line for each and about as many again for decisions on their way.
	DefaultLinesPerSecond = 400
	// DefaultQueueBytes is the maximum size of the queue of lines to be written: the lines of a few seconds.
	DefaultQueueBytes = 512 << 10
)

// MetricDropped is the name of the counter of dropped lines.
const MetricDropped = "log.dropped"

// Options configure a Log.
type Options struct {
	// Level is the least severe level that is logged.
	Level logrus.Level
	// JSON selects lines in JSON instead of key=value pairs.
	JSON bool
	// LinesPerSecond is the maximum rate of lines; zero means DefaultLinesPerSecond.
	LinesPerSecond int
	// QueueBytes is the maximum size of the queue; zero means DefaultQueueBytes.
	QueueBytes int
	// Metrics is the registry for MetricDropped; nil means that the counter is not published.
	Metrics metrics.Registry
}

// Log is a logger whose lines are written in the background.
type Log struct {
	*logrus.Logger
	sink *sink
}

// New starts a Log that writes to out. Close stops it.
func New(out io.Writer, o Options) *Log {
	if o.LinesPerSecond == 0 {
		o.LinesPerSecond = DefaultLinesPerSecond
	}
	if o.QueueBytes == 0 {
		o.QueueBytes = DefaultQueueBytes
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	var format logrus.Formatter = &logfmt{}
	if o.JSON {
		format = &logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}
	}
	s := newSink(out, o.QueueBytes, format, metrics.GetOrRegisterCounter(MetricDropped, o.Metrics))
	logger := logrus.New()
	logger.SetLevel(o.Level)
	logger.SetOutput(s)
	logger.SetFormatter(&rateLimitedFormatter{format: format, limiter: newRateLimiter(o.LinesPerSecond), dropped: s.drop})
	go s.run()
	return &Log{Logger: logger, sink: s}
}

// Close stops the Log, and waits for at most the timeout until the queued lines are written. Later lines are
// dropped.
func (l *Log) Close(timeout time.Duration) { l.sink.close(timeout) }

// rateLimitedFormatter is a formatter that drops lines over the rate limit before it spends time on formatting
// them.
type rateLimitedFormatter struct {
	format  logrus.Formatter
	limiter *rateLimiter
	// dropped is called for each dropped line.
	dropped func()
}

// Format implements logrus.Formatter. For a dropped line it returns no bytes, which sink.Write ignores.
func (r *rateLimitedFormatter) Format(entry *logrus.Entry) ([]byte, error) {
	if !r.limiter.allow(entry.Level, entry.Time) {
		r.dropped()
		return nil, nil
	}
	return r.format.Format(entry)
}
