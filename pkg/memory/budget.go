// Package memory bounds the bytes that a VM holds for callers and endpoints, whatever these send.
package memory

import (
	"io"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// Budget bounds the bytes held. It is safe for concurrent use.
type Budget struct {
	limit atomic.Int64
	used  atomic.Int64
}

// NewBudget returns a Budget of limit bytes.
func NewBudget(limit int64) *Budget {
	b := &Budget{}
	b.limit.Store(limit)
	return b
}

// SetLimit changes the limit. What is held beyond it stays.
func (b *Budget) SetLimit(limit int64) { b.limit.Store(limit) }

// Take reserves n bytes, or reports false.
func (b *Budget) Take(n int64) bool {
	if b.used.Add(n) <= b.limit.Load() {
		return true
	}
	b.used.Add(-n)
	return false
}

// Give gives n bytes back.
func (b *Budget) Give(n int64) { b.used.Add(-n) }

// Used returns the bytes reserved.
func (b *Budget) Used() int64 { return b.used.Load() }

// firstRead is the buffer with which reading begins, in bytes, and smallest the least one where the size is known.
const (
	firstRead = 4 << 10
	smallest  = 512
)

var (
	// ErrExhausted says that the budget is used up.
	ErrExhausted = errors.New("memory: budget exhausted")
	// ErrTooLarge says that there is more to read than allowed.
	ErrTooLarge = errors.New("memory: too large")
)

// ReadAll reads all of src, at most limit bytes; 0 is no limit. size is what src is said to hold, -1 if that is not known.
// The buffer grows with what has arrived, not with what was announced. What was read is returned also with an error. The
// memory that it takes, held, is given back by the caller.
func (b *Budget) ReadAll(src io.Reader, size, limit int64) (data []byte, held int64, err error) {
	first := int64(firstRead)
	if size >= 0 {
		// One more byte, so that the end is found without growing.
		first = min(max(size+1, smallest), firstRead)
	}
	for {
		if len(data) == cap(data) {
			more := max(first, int64(cap(data)))
			if !b.Take(more) {
				return data, held, ErrExhausted
			}
			held += more
			next := make([]byte, len(data), int64(len(data))+more)
			copy(next, data)
			data = next
		}
		n, err := src.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if limit > 0 && int64(len(data)) > limit {
			return data, held, ErrTooLarge
		}
		if err == io.EOF {
			return data, held, nil
		}
		if err != nil {
			return data, held, err
		}
	}
}
