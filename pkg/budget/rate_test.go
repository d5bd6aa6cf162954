package budget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a rate that is computed too low during the first minute after
// the first request, so that grants cover less traffic than configured for the
// customer.
func TestRateIsAccurateSoonAfterStart(t *testing.T) {
	const perSecond = 1000
	var r rate
	start := time.Unix(1000, 0)
	now := start
	for range 600 {
		r.add(now, perSecond/10)
		now = now.Add(100 * time.Millisecond)
		if age := now.Sub(start); age >= 3*time.Second {
			got := r.perSecond(now)
			assert.Assert(t, got > 0.93*perSecond && got < 1.07*perSecond, "after %v the rate is %v tokens/s", age, got)
		}
	}
}

// Guards against a rate far above the real use after a single request, which
// makes the next grant too large, and against a rate that does not decay after
// the traffic has ended.
func TestRateAfterSingleRequest(t *testing.T) {
	var r rate
	now := time.Unix(1000, 0)
	assert.Equal(t, r.perSecond(now), 0.0)
	r.add(now, 100)
	assert.Assert(t, r.perSecond(now) < 60, r.perSecond(now))
	assert.Assert(t, r.perSecond(now.Add(2*time.Minute)) < 0.1)
}
