package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a second run of a request that must run once, a second answer
// to one that is being answered, and hedges on the strength of few times.
func TestHedgeAfter(t *testing.T) {
	tests := []struct {
		desc       string
		samples    int
		idempotent bool
		received   bool
		want       time.Duration
		ok         bool
	}{
		{"idempotent, nothing received", hedgeSamples, true, false, 190 * time.Millisecond, true},
		{"non-idempotent", hedgeSamples, false, false, 0, false},
		{"answer begun", hedgeSamples, true, true, 0, false},
		{"too few samples", minHedgeSamples - 1, true, false, 0, false},
		{"enough samples", minHedgeSamples, true, false, 38 * time.Millisecond, true},
		{"old samples are forgotten", 2 * hedgeSamples, true, false, 390 * time.Millisecond, true},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			var f FirstTokens
			for i := range test.samples {
				f.Observe(time.Duration(i+1) * time.Millisecond)
			}
			after, ok := f.HedgeAfter(test.idempotent, test.received)
			assert.Equal(t, ok, test.ok)
			assert.Equal(t, after, test.want)
		})
	}
}
