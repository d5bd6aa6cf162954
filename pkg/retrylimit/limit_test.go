package retrylimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against more retries in any window than the ratio and the reserve allow.
func TestLimitHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		ratio := rapid.Float64Range(0, 0.5).Draw(t, "ratio")
		reserve := float64(rapid.IntRange(0, 10).Draw(t, "reserve"))
		l := New(ratio, reserve, window)
		now := l.startedAt
		var requests, retries []time.Time
		for range 120 {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "retry") {
				if l.AllowRetry(now) {
					retries = append(retries, now)
				}
				continue
			}
			l.CountRequest(now)
			requests = append(requests, now)
		}
		for _, end := range retries {
			from := end.Add(-window)
			got, allowed := float64(countBetween(retries, from, end)), ratio*float64(countBetween(requests, from.Add(-window/windowSlots), end))+reserve
			assert.Assert(t, got <= allowed, "window that ends %v after the start: %v retries, allowed: %v", end.Sub(l.startedAt), got, allowed)
		}
	})
}

func countBetween(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			n++
		}
	}
	return n
}

// Guards against a limit that allows no retries after it was reached once.
func TestLimitRecoversAfterWindow(t *testing.T) {
	l := New(0, 2, time.Second)
	now := l.startedAt
	assert.Assert(t, l.AllowRetry(now))
	assert.Assert(t, l.AllowRetry(now))
	assert.Assert(t, !l.AllowRetry(now))
	assert.Assert(t, l.AllowRetry(now.Add(1200*time.Millisecond)))
	assert.Assert(t, l.AllowRetry(now.Add(time.Hour)))
}
