package budget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a rate that is measured too low for a minute after the first
// request, so that grants cover less traffic than the customer's setting says.
func TestRateIsRightFromTheStart(t *testing.T) {
	const perSecond = 1000
	var r rate
	start := time.Unix(1000, 0)
	now := start
	for range 600 {
		r.add(now, perSecond/10)
		now = now.Add(100 * time.Millisecond)
		if age := now.Sub(start); age >= 3*time.Second {
			got := r.perSecond(now)
			assert.Assert(t, got > 0.93*perSecond && got < 1.07*perSecond, "after %v: %v", age, got)
		}
	}
}

// Guards against a grant of many times the budget's use after a single request,
// and against a rate that stays after the traffic has ended.
func TestRateOfSingleRequest(t *testing.T) {
	var r rate
	now := time.Unix(1000, 0)
	assert.Equal(t, r.perSecond(now), 0.0)
	r.add(now, 100)
	assert.Assert(t, r.perSecond(now) < 60, r.perSecond(now))
	assert.Assert(t, r.perSecond(now.Add(2*time.Minute)) < 0.1)
}
