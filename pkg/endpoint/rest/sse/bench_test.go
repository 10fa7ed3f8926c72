package sse

import (
	"fmt"
	"io"
	"strings"
	"testing"
)

// BenchmarkParser parses a stream of 1000 completion events, each with 200 bytes of content.
func BenchmarkParser(b *testing.B) {
	const events = 1000
	var stream strings.Builder
	for i := range events {
		fmt.Fprintf(&stream, "id: %d\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", i, strings.Repeat("x", 200))
	}
	text := stream.String()
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		p := NewParser(strings.NewReader(text), 1<<20)
		n := 0
		for {
			if _, err := p.Next(); err == io.EOF {
				break
			} else if err != nil {
				b.Fatal(err)
			}
			n++
		}
		if n != events {
			b.Fatalf("parsed %d events, want %d", n, events)
		}
	}
}
