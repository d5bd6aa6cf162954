package route

import (
	"sync"
	"time"
)

// Defaults of a RetryBudget.
const (
	DefaultRetryRatio   = 0.1 // retries per request
	DefaultMinRetryRate = 1.0 // retries per second that are allowed regardless of the number of requests
)

// retryWindowSeconds is the length of the sliding window over which requests
// and retries are counted. The window has one bucket per second.
const retryWindowSeconds = 10

// RetryBudget limits the retries of a daemon to a share of its requests in the
// last retryWindowSeconds seconds, so that retries cannot multiply an overload.
// It is safe for concurrent use.
type RetryBudget struct {
	ratio   float64 // retries per request
	minRate float64 // retries per second that are always allowed

	mu sync.Mutex
	// startedAt is the time of the first call. Seconds are counted from it with
	// the monotonic clock, since the time of day may jump.
	startedAt time.Time
	buckets   [retryWindowSeconds]retryBucket
}

// retryBucket counts the requests and retries of one second.
type retryBucket struct {
	second   int64 // seconds since startedAt, counted from 1; 0: unused
	requests int
	retries  int
}

// NewRetryBudget returns a budget that allows ratio retries per request and at
// least minRate retries per second.
func NewRetryBudget(ratio, minRate float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, minRate: minRate}
}

// ObserveRequest counts a request. It must not be called for retries.
func (b *RetryBudget) ObserveRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(now).requests++
}

// Allow reports whether a retry may start at now, and counts it if so.
func (b *RetryBudget) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	requests, retries := b.totals(now)
	allowed := max(b.ratio*float64(requests), b.minRate*retryWindowSeconds)
	if float64(retries+1) > allowed {
		return false
	}
	b.bucket(now).retries++
	return true
}

// second returns the number of the second that now falls in, counted from 1 at
// the first call.
func (b *RetryBudget) second(now time.Time) int64 {
	if b.startedAt.IsZero() {
		b.startedAt = now
	}
	return int64(now.Sub(b.startedAt)/time.Second) + 1
}

// bucket returns the bucket of now, cleared if it counted an earlier second.
func (b *RetryBudget) bucket(now time.Time) *retryBucket {
	second := b.second(now)
	// The second, and so its remainder, may be negative if now is before startedAt.
	bucket := &b.buckets[((second%retryWindowSeconds)+retryWindowSeconds)%retryWindowSeconds]
	if bucket.second != second {
		*bucket = retryBucket{second: second}
	}
	return bucket
}

// totals sums the buckets of the window that ends at now.
func (b *RetryBudget) totals(now time.Time) (requests, retries int) {
	second := b.second(now)
	for _, bucket := range b.buckets {
		if bucket.second > second-retryWindowSeconds && bucket.second <= second {
			requests += bucket.requests
			retries += bucket.retries
		}
	}
	return requests, retries
}
