package slopes

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a percentile that is off by one rank, which would hide slow requests.
func TestQuantile(t *testing.T) {
	var values []time.Duration
	for i := 100; i > 0; i-- {
		values = append(values, time.Duration(i)*time.Millisecond)
	}
	assert.Equal(t, quantile(values, 0.95), 95.0)
	assert.Equal(t, quantile(values[:1], 0.95), 1.0)
	assert.Equal(t, quantile(nil, 0.95), 0.0)
}

// Guards against an interrupted stream that is counted as a complete answer.
func TestStreamWithoutLastEventIsIncomplete(t *testing.T) {
	s := &streamLatencies{}
	complete, err := s.read(strings.NewReader("data: {}\n\ndata: {}\n\n"), time.Now())
	assert.NilError(t, err)
	assert.Assert(t, !complete)
	complete, err = s.read(strings.NewReader("data: {}\n\ndata: [DONE]\n\n"), time.Now())
	assert.NilError(t, err)
	assert.Assert(t, complete)
	assert.Equal(t, len(s.firstEvents), 2)
	assert.Equal(t, len(s.gaps), 1)
}
