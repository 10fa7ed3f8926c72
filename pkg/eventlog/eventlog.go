// Package eventlog writes structured log lines without holding up the code that logs. Lines are queued
// and written by a goroutine of their own. A line that finds the queue full, or the rate of lines
// exceeded, is dropped; how many were is logged.
package eventlog

import (
	"io"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

// Defaults of Options.
const (
	// DefaultLinesPerSecond bounds the lines of a process. A VM answers up to about 100 requests a second
	// under load, with one line each and about as many for decisions on the way.
	DefaultLinesPerSecond = 400
	// DefaultQueueBytes bounds the lines that wait to be written: a few seconds of them.
	DefaultQueueBytes = 512 << 10
)

// MetricDropped counts the lines that were dropped.
const MetricDropped = "log.dropped"

// Options say what is logged.
type Options struct {
	// Level is the least severe level that is logged.
	Level logrus.Level
	// JSON selects JSON instead of key=value pairs.
	JSON bool
	// LinesPerSecond bounds the rate of lines; zero stands for DefaultLinesPerSecond.
	LinesPerSecond int
	// QueueBytes bounds the queue; zero stands for DefaultQueueBytes.
	QueueBytes int
	// Metrics receives MetricDropped; nil for none.
	Metrics metrics.Registry
}

// Log is a logger whose lines are written in the background.
type Log struct {
	*logrus.Logger
	sink *sink
}

// New starts a logger that writes to out. Close ends it.
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
	logger.SetFormatter(&rationed{format: format, budget: newBudget(o.LinesPerSecond), dropped: s.drop})
	go s.run()
	return &Log{Logger: logger, sink: s}
}

// Close writes the lines that are queued, for at most that time, and ends the logger. Later lines are
// dropped.
func (l *Log) Close(within time.Duration) { l.sink.close(within) }

// rationed is a formatter that drops lines beyond a budget, before the work of formatting them.
type rationed struct {
	format  logrus.Formatter
	budget  *budget
	dropped func()
}

// Format implements logrus.Formatter. It returns nothing for a line that is dropped.
func (r *rationed) Format(entry *logrus.Entry) ([]byte, error) {
	if !r.budget.take(entry.Level, entry.Time) {
		r.dropped()
		return nil, nil
	}
	return r.format.Format(entry)
}
