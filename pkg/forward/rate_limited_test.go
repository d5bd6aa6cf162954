package forward

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/ratelimit"
	"github.com/peppertrail/peppertrail/pkg/standin/replica"
)

// limitedFixture returns a fixture whose host has other hosts, none of which answers, and that
// has learned from each replica that it takes perSecond requests a second.
func limitedFixture(t *testing.T, replicas int, perSecond float64) *fixture {
	f := newFixture(t, replicas)
	f.handler.RateLimits = ratelimit.New(ratelimit.Options{Self: "a", Log: f.handler.Log, Ask: func(context.Context, string, ratelimit.PermitRequest) (ratelimit.PermitReply, error) {
		return ratelimit.PermitReply{}, errors.New("connection refused")
	}})
	f.handler.RateLimits.Resume([]string{"b", "c"}, time.Now())
	for _, r := range f.replicas {
		r.SetFaults(replica.Faults{RateLimit: strconv.FormatFloat(perSecond, 'f', -1, 64)})
		f.handler.RateLimits.Observe(ratelimit.Target{ID: r.ID}, perSecond, true, time.Now(), time.Now())
	}
	return f
}

// Guards against a request that waits for a target which takes no more, and against a refusal without the time to come back or with a status that promises nothing.
func TestRequestBeyondLimitsIsRefusedAtOnce(t *testing.T) {
	f := limitedFixture(t, 1, 0.3)
	assert.Equal(t, f.post("r1", "/unsafe/x").status, http.StatusOK)
	start := time.Now()
	answer := f.post("r2", "/unsafe/x")
	assert.Equal(t, answer.status, http.StatusServiceUnavailable)
	assert.Equal(t, answer.body, "rate_limited\n")
	wait, err := strconv.ParseFloat(answer.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, wait >= retryAfterNoTarget.Seconds() && wait < 5, "%v s", wait)
	assert.Assert(t, time.Since(start) < time.Second)
	assert.Equal(t, f.totalRuns(), 1)
	assert.Equal(t, f.observer.refused[RateLimited], 1)
}

// Guards against a request that is refused although a target without a limit has room.
func TestRequestBeyondLimitsGoesToOtherTarget(t *testing.T) {
	f := limitedFixture(t, 3, 0.3)
	free := f.replicas[2]
	free.SetFaults(replica.Faults{})
	now := time.Now()
	f.handler.RateLimits.Observe(ratelimit.Target{ID: free.ID}, 0, false, now.Add(time.Millisecond), now.Add(time.Millisecond))
	for i := range 30 {
		answer := f.post("r"+strconv.Itoa(i), "/unsafe/x")
		assert.Equal(t, answer.status, http.StatusOK, answer.body)
	}
	assert.Assert(t, len(free.Runs()) >= 28, "%d requests at the target without a limit", len(free.Runs()))
}

// Guards against a malformed limit that is believed or answered with an error, and against a limit that ends because of an answer that another target gives.
func TestUnusableRateLimitIsIgnored(t *testing.T) {
	f := newFixture(t, 1)
	for _, value := range []string{"many", "-3", "NaN", "Inf", "1e999"} {
		f.replicas[0].SetFaults(replica.Faults{RateLimit: value})
		for i := range 3 {
			assert.Equal(t, f.post(value+strconv.Itoa(i), "/unsafe/x").status, http.StatusOK, value)
		}
		assert.Equal(t, len(f.handler.RateLimits.Limited()), 0, value)
	}
	f.replicas[0].SetFaults(replica.Faults{RateLimit: "1000000"})
	for i := range 5 {
		assert.Equal(t, f.post("huge"+strconv.Itoa(i), "/unsafe/x").status, http.StatusOK)
	}
}
