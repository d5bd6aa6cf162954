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
		now := time.Now()
		l := New(ratio, reserve, window, now)
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
			got, allowed := float64(countBetween(retries, from, end)), ratio*float64(countBetween(requests, from, end))+reserve
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

// Guards against a limit that never allows retries again after it was reached, and against one whose reserve grows while it is not used.
func TestLimitRecoversAfterWindow(t *testing.T) {
	start := time.Now()
	l := New(0, 2, time.Second, start)
	assert.Assert(t, !l.AllowRetry(start))
	for _, now := range []time.Time{start.Add(time.Second), start.Add(2 * time.Second), start.Add(time.Hour)} {
		assert.Assert(t, l.AllowRetry(now))
		assert.Assert(t, !l.AllowRetry(now))
	}
}

// Guards against a reserve that begins to accrue only when the number of hosts is known or the service gets its first request.
func TestReserveAccruesFromStartOfProcess(t *testing.T) {
	start := time.Now()
	l := New(0, 0, time.Second, start)
	assert.Assert(t, !l.AllowRetry(start.Add(900*time.Millisecond)))
	l.SetReserve(2)
	assert.Assert(t, l.AllowRetry(start.Add(time.Second)))
	assert.Assert(t, !l.AllowRetry(start.Add(time.Second)))
}

// Guards against a fleet that exceeds the limit because its restarted processes do not know what they have sent before.
func TestLimitHoldsForRestartedFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const (
			window  = 10 * time.Second
			reserve = 56.0
		)
		ratio := rapid.SampledFrom([]float64{0, 0.25}).Draw(t, "ratio")
		hosts := make([]*Limit, rapid.IntRange(1, 81).Draw(t, "hosts"))
		now := time.Now()
		restart := func(i int) { hosts[i] = New(ratio, reserve/float64(len(hosts)), window, now) }
		for i := range hosts {
			restart(i)
		}
		var requests, retries []time.Time
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 12_000).Draw(t, "ms")) * time.Millisecond)
			restarted := rapid.Bool().Draw(t, "restarted")
			perHost := rapid.IntRange(0, 8).Draw(t, "requests")
			for i, l := range hosts {
				for range perHost {
					l.CountRequest(now)
					requests = append(requests, now)
				}
				for l.AllowRetry(now) {
					retries = append(retries, now)
				}
				if restarted {
					restart(i)
				}
			}
		}
		for _, end := range retries {
			from := end.Add(-window)
			firstCounted := from.Add(-window - window/windowSlots) // a request allows a retry up to a window and a slot later
			got, allowed := countBetween(retries, from, end), ratio*float64(countBetween(requests, firstCounted, end))+reserve
			assert.Assert(t, float64(got) <= allowed, "%d hosts: %d retries in a window, allowed: %v", len(hosts), got, allowed)
		}
	})
}
