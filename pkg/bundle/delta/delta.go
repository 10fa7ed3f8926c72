// Package delta writes a bundle's canonical text as changes to an earlier one.
//
// A delta is a sequence of steps. Each skips some bytes of the earlier text, copies some, and adds
// some of its own. Sections stand in the same order in both texts, so the steps never go back.
package delta

import (
	"bytes"
	"encoding/binary"

	"github.com/go-faster/errors"
)

// ErrMalformed says that a delta does not fit the text that it is applied to.
var ErrMalformed = errors.New("delta: malformed")

// separator stands between two sections.
var separator = []byte("\n\n")

// Make returns the delta that leads from old to now.
func Make(old, now []byte) []byte {
	m := &maker{old: old, oldBlocks: split(old)}
	for _, b := range split(now) {
		m.block(now[b.from:b.to])
	}
	m.flush()
	return m.out
}

// span is a range of a text.
type span struct {
	from, to int
}

// split returns the sections of a text with the empty line that follows each.
func split(text []byte) []span {
	var spans []span
	from := 0
	for from < len(text) {
		to := len(text)
		if i := bytes.Index(text[from:], separator); i >= 0 {
			to = from + i + len(separator)
		}
		spans = append(spans, span{from, to})
		from = to
	}
	return spans
}

// maker collects steps. A step that is not yet written copies old[copyFrom:copyTo] and then adds
// literal.
type maker struct {
	old       []byte
	oldBlocks []span
	// next is the first section of old that is not yet used.
	next int
	// headers finds sections of old by their first line; it is built when first needed.
	headers map[string]int

	written  int
	copyFrom int
	copyTo   int
	literal  []byte
	out      []byte
}

func (m *maker) block(text []byte) {
	at := m.find(text)
	if at < 0 {
		m.literal = append(m.literal, text...)
		return
	}
	m.next = at + 1
	b := m.oldBlocks[at]
	was := m.old[b.from:b.to]
	head := commonPrefix(was, text)
	tail := commonPrefixReversed(was[head:], text[head:])
	m.copy(b.from, b.from+head)
	m.literal = append(m.literal, text[head:len(text)-tail]...)
	m.copy(b.to-tail, b.to)
}

// find returns the section of old with the same first line, or -1.
func (m *maker) find(text []byte) int {
	if m.next == len(m.oldBlocks) {
		return -1
	}
	b := m.oldBlocks[m.next]
	if bytes.Equal(header(m.old[b.from:b.to]), header(text)) {
		return m.next
	}
	if m.headers == nil {
		m.index()
	}
	at, ok := m.headers[string(header(text))]
	if !ok || at < m.next {
		return -1
	}
	return at
}

func (m *maker) index() {
	m.headers = make(map[string]int, len(m.oldBlocks))
	for i, b := range m.oldBlocks {
		m.headers[string(header(m.old[b.from:b.to]))] = i
	}
}

func header(block []byte) []byte {
	line, _, _ := bytes.Cut(block, []byte("\n"))
	return line
}

func (m *maker) copy(from, to int) {
	if from == to {
		return
	}
	if len(m.literal) == 0 && m.copyTo == from {
		m.copyTo = to
		return
	}
	m.flush()
	m.copyFrom, m.copyTo = from, to
}

func (m *maker) flush() {
	if m.copyFrom == m.copyTo && len(m.literal) == 0 {
		return
	}
	m.out = binary.AppendUvarint(m.out, uint64(m.copyFrom-m.written))
	m.out = binary.AppendUvarint(m.out, uint64(m.copyTo-m.copyFrom))
	m.out = binary.AppendUvarint(m.out, uint64(len(m.literal)))
	m.out = append(m.out, m.literal...)
	m.written = m.copyTo
	m.copyFrom = m.copyTo
	m.literal = nil
}

func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

func commonPrefixReversed(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[len(a)-1-i] != b[len(b)-1-i] {
			return i
		}
	}
	return n
}

// Apply returns the text that the delta leads to from old. It fails with ErrMalformed, also if the
// text would be larger than limit bytes.
func Apply(old, delta []byte, limit int) ([]byte, error) {
	r := &reader{rest: delta}
	out := make([]byte, 0, min(len(old)+len(delta), limit))
	at := 0
	for len(r.rest) > 0 {
		skip, length, added := r.number(), r.number(), r.number()
		literal := r.take(added)
		if r.failed || skip > len(old)-at || length > len(old)-at-skip {
			return nil, errors.Wrap(ErrMalformed, "step outside the text")
		}
		if length+added > limit-len(out) {
			return nil, errors.Wrap(ErrMalformed, "text too large")
		}
		at += skip
		out = append(out, old[at:at+length]...)
		out = append(out, literal...)
		at += length
	}
	return out, nil
}

type reader struct {
	rest   []byte
	failed bool
}

func (r *reader) number() int {
	n, size := binary.Uvarint(r.rest)
	if size <= 0 || n > 1<<40 {
		r.failed = true
		return 0
	}
	r.rest = r.rest[size:]
	return int(n)
}

func (r *reader) take(n int) []byte {
	if r.failed || n > len(r.rest) {
		r.failed = true
		return nil
	}
	part := r.rest[:n]
	r.rest = r.rest[n:]
	return part
}
