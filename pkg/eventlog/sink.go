package eventlog

import (
	"io"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

// dropReportInterval is the minimum time between two lines that report dropped lines.
const dropReportInterval = time.Second

// sink queues log lines and writes them in a separate goroutine. It is safe for concurrent use.
type sink struct {
	out io.Writer
	// limit is the maximum size of the queue, in bytes.
	limit int
	// format formats the reports of dropped lines.
	format       logrus.Formatter
	droppedTotal metrics.Counter
	// wake has a buffer of one, so that a signal is kept while run is writing.
	wake chan struct{}
	// done is closed when run returns.
	done chan struct{}

	mu sync.Mutex
	// The fields below are guarded by mu.

	queue []byte
	// dropped is the number of lines dropped since the last report.
	dropped int
	// reportedAt is when dropped lines were last reported.
	reportedAt time.Time
	closed     bool
}

// newSink returns a sink whose lines are written by run, which must be started.
func newSink(out io.Writer, limit int, format logrus.Formatter, total metrics.Counter) *sink {
	return &sink{
		out: out, limit: limit, format: format, droppedTotal: total,
		wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
}

// Write queues a line, or drops it if it does not fit. It implements io.Writer and never fails. An empty line is
// one that rateLimitedFormatter has dropped.
func (s *sink) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil
	}
	s.mu.Lock()
	fits := !s.closed && len(s.queue)+len(line) <= s.limit
	if fits {
		s.queue = append(s.queue, line...)
	}
	s.mu.Unlock()
	if !fits {
		s.drop()
		return len(line), nil
	}
	s.signal()
	return len(line), nil
}

// drop counts a dropped line.
func (s *sink) drop() {
	s.droppedTotal.Inc(1)
	s.mu.Lock()
	s.dropped++
	s.mu.Unlock()
	s.signal()
}

// signal wakes the goroutine that writes.
func (s *sink) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run writes the queued lines until the sink is closed and the queue empty.
func (s *sink) run() {
	defer close(s.done)
	var spare []byte
	for {
		batch, wait, closed := s.takeBatch(spare, time.Now())
		if len(batch) > 0 {
			// An error of the log's own output cannot be reported anywhere.
			_, _ = s.out.Write(batch)
			spare = batch[:0]
			continue
		}
		if closed {
			return
		}
		s.waitForWork(wait)
	}
}

// takeBatch returns the queued lines, with a report of dropped lines if one is due, and makes the empty buffer
// spare the new queue. If a report is not due yet, wait is the time until it is; otherwise wait is 0.
func (s *sink) takeBatch(spare []byte, now time.Time) (batch []byte, wait time.Duration, closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dropped > 0 {
		wait = s.reportedAt.Add(dropReportInterval).Sub(now)
		if wait <= 0 || s.closed {
			s.queue = append(s.queue, s.dropReport(now)...)
			s.dropped, s.reportedAt, wait = 0, now, 0
		}
	}
	if len(s.queue) > 0 {
		batch, s.queue = s.queue, spare
	}
	return batch, wait, s.closed
}

// dropReport returns the line that reports how many lines were dropped. The caller must hold s.mu.
func (s *sink) dropReport(now time.Time) []byte {
	entry := &logrus.Entry{
		Level: logrus.WarnLevel, Time: now,
		Data: logrus.Fields{eventKey: "log_lines_dropped", "lines": s.dropped},
	}
	line, err := s.format.Format(entry)
	if err != nil {
		return nil
	}
	return line
}

// waitForWork returns on the next signal or, if wait is positive, after that time.
func (s *sink) waitForWork(wait time.Duration) {
	if wait <= 0 {
		<-s.wake
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-s.wake:
	case <-timer.C:
	}
}

// close closes the sink, and waits for at most the timeout until the queued lines are written.
func (s *sink) close(timeout time.Duration) {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.signal()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-s.done:
	case <-timer.C:
	}
}
