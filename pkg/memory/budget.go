// Package memory bounds the bytes that a VM buffers for callers and endpoints, whatever they send.
package memory

import (
	"io"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// Budget bounds the number of bytes reserved at any time. A Budget is safe for concurrent use.
type Budget struct {
	limit atomic.Int64
	used  atomic.Int64
	// parent is the budget of which this one is a share; nil if it is none. share is the part of the parent's limit.
	parent *Budget
	share  float64
}

// NewBudget returns a Budget of limit bytes.
func NewBudget(limit int64) *Budget {
	b := &Budget{}
	b.limit.Store(limit)
	return b
}

// Share returns a budget whose bytes are reserved in b too, and that takes at most a share, from 0 to 1, of b's limit. What
// uses it leaves the rest of b to others.
func (b *Budget) Share(share float64) *Budget { return &Budget{parent: b, share: share} }

// bytes returns the limit in bytes.
func (b *Budget) bytes() int64 {
	if b.parent != nil {
		return int64(b.share * float64(b.parent.bytes()))
	}
	return b.limit.Load()
}

// SetLimit changes the limit, which has no effect on a share. Bytes already reserved stay reserved, even if they exceed the new limit.
func (b *Budget) SetLimit(limit int64) { b.limit.Store(limit) }

// Reserve reserves n bytes. It reports false, and reserves nothing, if that would exceed the limit.
func (b *Budget) Reserve(n int64) bool {
	if b.used.Add(n) <= b.bytes() && (b.parent == nil || b.parent.Reserve(n)) {
		return true
	}
	b.used.Add(-n)
	return false
}

// Release releases n reserved bytes.
func (b *Budget) Release(n int64) {
	b.used.Add(-n)
	if b.parent != nil {
		b.parent.Release(n)
	}
}

// Used returns the number of bytes reserved.
func (b *Budget) Used() int64 { return b.used.Load() }

// Sizes of the buffer with which ReadAll starts, in bytes.
const (
	// initialBufferSize is used if the size of the source is not known, and is the most that is used if it is known.
	initialBufferSize = 4 << 10
	// minBufferSize is the least that is used if the size of the source is known.
	minBufferSize = 512
)

var (
	// ErrExhausted is returned if the budget has too few bytes left.
	ErrExhausted = errors.New("memory: budget exhausted")
	// ErrTooLarge is returned if a source holds more bytes than the limit.
	ErrTooLarge = errors.New("memory: too large")
)

// ReadAll reads src to its end, but at most limit bytes; a limit of 0 means no limit. size is the announced size of src, or
// -1 if it is not known. The buffer grows with the bytes that have arrived, not with the announced size, so that a false
// announcement reserves no memory. The data read so far is returned also with an error. held is the number of bytes
// reserved for the buffer, which the caller must release, also after an error.
func (b *Budget) ReadAll(src io.Reader, size, limit int64) (data []byte, held int64, err error) {
	first := int64(initialBufferSize)
	if size >= 0 {
		// One more byte than announced, so that the end of src is found without growing the buffer.
		first = min(max(size+1, minBufferSize), initialBufferSize)
	}
	for {
		if len(data) == cap(data) {
			growth := max(first, int64(cap(data)))
			if !b.Reserve(growth) {
				return data, held, ErrExhausted
			}
			held += growth
			grown := make([]byte, len(data), int64(len(data))+growth)
			copy(grown, data)
			data = grown
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
