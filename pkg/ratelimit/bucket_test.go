package ratelimit

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against permits beyond the rate and the burst of a bucket in any period, with rates that change meanwhile.
func TestBucketIssuesNoMoreThanItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Now()
		b := newBucket(start)
		highest := rapid.Float64Range(0, 40).Draw(t, "highest rate")
		var issued []time.Time
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.Int64Range(-5, 400).Draw(t, "pause")) * time.Millisecond)
			b.setRate(highest*rapid.Float64Range(0, 1).Draw(t, "part of it"), now)
			if b.take("h", rapid.Bool().Draw(t, "light"), rapid.Float64Range(0, 0.999).Draw(t, "random"), now) == 0 {
				issued = append(issued, now)
			}
		}
		rate := max(highest, minRate)
		for i, from := range issued {
			for n, to := range issued[i:] {
				allowed := 1 + rate*(burstTime+max(0, to.Sub(from))).Seconds()
				assert.Assert(t, float64(n+1) <= math.Floor(allowed+1e-6)+1, "%d permits in %v at %v a second", n+1, to.Sub(from), rate)
			}
		}
	})
}

// Guards against light requests that take every permit, and against permits that nobody uses when there are no other requests.
func TestLightRequestLeavesPermit(t *testing.T) {
	now := time.Now()
	b := newBucket(now)
	b.setRate(4, now)
	now = now.Add(time.Second) // the bucket is full, with three permits
	assert.Equal(t, b.take("h", true, 0, now), time.Duration(0))
	assert.Equal(t, b.take("h", true, 0, now), time.Duration(0))
	assert.Assert(t, b.take("h", true, 0, now) > 0)
	assert.Equal(t, b.take("h", false, 0, now), time.Duration(0))

	slow := newBucket(now)
	slow.setRate(0.5, now)
	assert.Assert(t, slow.take("h", true, 0, now) > 0, "another request may come")
	now = now.Add(time.Second)
	assert.Equal(t, slow.take("h", true, 0, now), time.Duration(0))
}

// Guards against hosts that all return for the next permit, and against a host that is sent away for longer than a limit may last unnoticed.
func TestContendersReturnSpread(t *testing.T) {
	now := time.Now()
	b := newBucket(now)
	b.setRate(2, now)
	assert.Equal(t, b.take("first", false, 0, now), time.Duration(0))
	alone := b.take("a", false, 0.99, now)
	assert.Equal(t, alone, 500*time.Millisecond, "a single host returns for the next permit")
	for _, host := range []string{"b", "c", "d"} {
		b.take(host, false, 0, now)
	}
	assert.Equal(t, b.take("a", false, 0, now), 500*time.Millisecond)
	assert.Equal(t, b.take("a", false, 0.5, now), time.Second)
	assert.Equal(t, newBucket(now).take("a", false, 0, now), time.Duration(0))
}

// Guards against a target without any request while it takes none, so that nobody learns when that ends, and against more than the users allow then.
func TestTargetThatTakesNothingIsAskedNowAndThen(t *testing.T) {
	now := time.Now()
	const window = 4 * time.Second
	issued := 0
	buckets := []*bucket{newBucket(now), newBucket(now), newBucket(now)}
	for end := now.Add(window); now.Before(end); now = now.Add(10 * time.Millisecond) {
		for _, b := range buckets {
			b.setRate(0, now)
			if b.take("h", false, 0, now) == 0 {
				issued++
			}
		}
	}
	assert.Assert(t, issued >= 1 && issued <= 5, "%d requests in %v", issued, window)
}
