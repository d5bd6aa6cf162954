package route

import (
	"testing"
	"time"

	"github.com/peppertrail/peppertrail/pkg/verdict"
	"gotest.tools/v3/assert"
)

// Guards against running a non-idempotent request twice, and against appending
// the response of a second run to a partial response of the first.
func TestMayRetry(t *testing.T) {
	tests := []struct {
		desc            string
		v               verdict.Verdict
		idempotent      bool
		responseStarted bool
		attempt         int
		want            bool
	}{
		{"not run, idempotent", verdict.NotRun, true, false, 1, true},
		{"not run, non-idempotent", verdict.NotRun, false, false, 1, true},
		{"not run, second attempt", verdict.NotRun, false, false, 2, true},
		{"not run, attempts used up", verdict.NotRun, true, false, MaxAttempts, false},
		{"not run, response started", verdict.NotRun, true, true, 1, false},
		{"may have run, idempotent", verdict.MayHaveRun, true, false, 1, true},
		{"may have run, idempotent, attempts used up", verdict.MayHaveRun, true, false, MaxAttempts, false},
		{"may have run, idempotent, response started", verdict.MayHaveRun, true, true, 1, false},
		{"may have run, non-idempotent", verdict.MayHaveRun, false, false, 1, false},
		{"may have run, non-idempotent, response started", verdict.MayHaveRun, false, true, 1, false},
		{"ran, idempotent", verdict.Ran, true, false, 1, false},
		{"ran, non-idempotent", verdict.Ran, false, false, 1, false},
		{"unknown verdict", verdict.Verdict("?"), true, false, 1, false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			assert.Equal(t, MayRetry(test.v, test.idempotent, test.responseStarted, test.attempt), test.want)
		})
	}
}

// Guards against retries that multiply an overload, and against a daemon with
// few requests that may not retry at all.
func TestRetryBudget(t *testing.T) {
	tests := []struct {
		desc     string
		requests int
		want     int
	}{
		{"no requests: the minimum", 0, 10},
		{"few requests: the minimum", 50, 10},
		{"many requests: the ratio", 1000, 100},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			b := NewRetryBudget(DefaultRetryRatio, DefaultMinRetryRate)
			for range test.requests {
				b.ObserveRequest(now)
			}
			assert.Equal(t, allowedRetries(b, now), test.want)
			assert.Equal(t, allowedRetries(b, now.Add((retryWindowSeconds-1)*time.Second)), 0)
			assert.Equal(t, allowedRetries(b, now.Add(retryWindowSeconds*time.Second)), 10)
		})
	}
}

// allowedRetries uses up the retries that b allows at one time and returns
// their number.
func allowedRetries(b *RetryBudget, at time.Time) int {
	n := 0
	for b.Allow(at) {
		n++
	}
	return n
}
