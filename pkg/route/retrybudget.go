package route

import (
	"sync"
	"time"
)

// Defaults of a RetryBudget.
const (
	DefaultRetryRatio = 0.1 // retries per request
	DefaultRetryMin   = 1.0 // retries per second that are always allowed
)

// retryWindowSeconds is the time over which requests and retries are counted, in
// slots of one second.
const retryWindowSeconds = 10

// RetryBudget bounds the retries of a daemon to a share of its requests of the
// last retryWindow seconds, so that retries can't multiply an overload. It is
// safe for concurrent use.
type RetryBudget struct {
	ratio float64
	minRate   float64 // per second

	mu    sync.Mutex
	startedAt time.Time // of the first call; time of day may jump, the time since then does not
	buckets [retryWindowSeconds]retryBucket
}

// retryBucket counts one second.
type retryBucket struct {
	second   int64 // since the start
	requests int
	retries  int
}

// NewRetryBudget returns a budget of ratio retries per request and at least
// minimum retries per second.
func NewRetryBudget(ratio, minRate float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, minRate: minRate}
}

// Observe counts a request, retries not included.
func (b *RetryBudget) Observe(now time.Time) {
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

// second returns the number of the second that now is in, from 1.
func (b *RetryBudget) second(now time.Time) int64 {
	if b.startedAt.IsZero() {
		b.startedAt = now
	}
	return int64(now.Sub(b.startedAt)/time.Second) + 1
}

// bucket returns the bucket of now, emptied if it counted an earlier second.
func (b *RetryBudget) bucket(now time.Time) *retryBucket {
	second := b.second(now)
	s := &b.buckets[((second%retryWindowSeconds)+retryWindowSeconds)%retryWindowSeconds]
	if s.second != second {
		*s = retryBucket{second: second}
	}
	return s
}

// totals sums the slots of the window that ends at now.
func (b *RetryBudget) totals(now time.Time) (requests, retries int) {
	second := b.second(now)
	for _, s := range b.buckets {
		if s.second > second-retryWindowSeconds && s.second <= second {
			requests += s.requests
			retries += s.retries
		}
	}
	return requests, retries
}
