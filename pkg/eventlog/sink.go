package eventlog

import (
	"io"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

// noticePause is the least time between two lines that say how many were dropped.
const noticePause = time.Second

// sink queues lines and writes them in the background.
type sink struct {
	out    io.Writer
	limit  int
	format logrus.Formatter
	total  metrics.Counter
	wake   chan struct{}
	ended  chan struct{}

	mu sync.Mutex
	// The fields below are guarded by mu.

	queue []byte
	// dropped are the lines dropped since the last notice.
	dropped  int
	noticeAt time.Time
	closed   bool
}

func newSink(out io.Writer, limit int, format logrus.Formatter, total metrics.Counter) *sink {
	return &sink{
		out: out, limit: limit, format: format, total: total,
		wake: make(chan struct{}, 1), ended: make(chan struct{}),
	}
}

// Write queues a line. It implements io.Writer and never fails.
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

// drop notes a line that is not written.
func (s *sink) drop() {
	s.total.Inc(1)
	s.mu.Lock()
	s.dropped++
	s.mu.Unlock()
	s.signal()
}

func (s *sink) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run writes what is queued until the sink is closed.
func (s *sink) run() {
	defer close(s.ended)
	var spare []byte
	for {
		batch, wait, closed := s.take(spare, time.Now())
		if len(batch) > 0 {
			// Nobody can be told that the log cannot be written.
			_, _ = s.out.Write(batch)
			spare = batch[:0]
			continue
		}
		if closed {
			return
		}
		s.await(wait)
	}
}

// take returns the queued lines and puts an empty buffer in their place. If there are none it returns how
// long to wait for a notice that is due; 0 for none.
func (s *sink) take(spare []byte, now time.Time) (batch []byte, wait time.Duration, closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dropped > 0 {
		wait = s.noticeAt.Add(noticePause).Sub(now)
		if wait <= 0 || s.closed {
			s.queue = append(s.queue, s.notice(now)...)
			s.dropped, s.noticeAt, wait = 0, now, 0
		}
	}
	if len(s.queue) > 0 {
		batch, s.queue = s.queue, spare
	}
	return batch, wait, s.closed
}

// notice returns the line that says how many lines were dropped. s.mu is held.
func (s *sink) notice(now time.Time) []byte {
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

func (s *sink) await(wait time.Duration) {
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

func (s *sink) close(within time.Duration) {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.signal()
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case <-s.ended:
	case <-timer.C:
	}
}
