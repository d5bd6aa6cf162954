package engine

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// chunkedReader returns its input in reads of the given lengths, then the rest at once.
type chunkedReader struct {
	rest    []byte
	lengths []int
}

// Read implements io.Reader.
func (p *chunkedReader) Read(buf []byte) (int, error) {
	if len(p.rest) == 0 {
		return 0, io.EOF
	}
	n := len(p.rest)
	if len(p.lengths) > 0 {
		n = min(n, p.lengths[0])
		p.lengths = p.lengths[1:]
	}
	n = copy(buf, p.rest[:n])
	p.rest = p.rest[n:]
	return n, nil
}

// Guards against events that depend on how the network splits the stream into
// reads.
func TestSSEReaderRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		patterns := rapid.SliceOfN(rapid.StringMatching(`[a-z:{}" ]{0,30}`), 0, 6).Draw(t, "patterns")
		repeat := rapid.IntRange(1, 100).Draw(t, "repeat") // makes the longest text exceed the read buffer
		var texts []string
		for _, p := range patterns {
			texts = append(texts, strings.Repeat(p, repeat))
		}
		end := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "line end")
		var input bytes.Buffer
		for i, text := range texts {
			fmt.Fprintf(&input, ": comment%sid: %d%sdata: %s%s%s", end, i, end, text, end, end)
		}
		lengths := rapid.SliceOfN(rapid.IntRange(1, 4000), 0, 50).Draw(t, "lengths")
		r := newSSEReader(&chunkedReader{rest: input.Bytes(), lengths: lengths}, 4096)
		for i, text := range texts {
			e, err := r.next()
			if err != nil || e.id != i || string(e.data) != text {
				t.Fatalf("event %d: got %+v, %v, want %q", i, e, err, text)
			}
		}
		if _, err := r.next(); !errors.Is(err, io.EOF) {
			t.Fatalf("after the last event: %v", err)
		}
	})
}

// Guards against input that makes the reader panic or return an event above the
// size limit.
func TestSSEReaderArbitraryInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 64
		input := rapid.SliceOf(rapid.SampledFrom([]byte("id:data \r\n0123x"))).Draw(t, "input")
		r := newSSEReader(bytes.NewReader(input), limit)
		for {
			e, err := r.next()
			if err != nil {
				return
			}
			if len(e.data) > limit {
				t.Fatalf("event of %d bytes", len(e.data))
			}
		}
	})
}
