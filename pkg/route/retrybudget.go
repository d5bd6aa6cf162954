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

// retryWindow is the time over which requests and retries are counted, in
// slots of one second.
const retryWindow = 10

// RetryBudget bounds the retries of a daemon to a share of its requests of the
// last retryWindow seconds, so that retries can't multiply an overload. It is
// safe for concurrent use.
type RetryBudget struct {
	ratio float64
	min   float64 // per second

	mu    sync.Mutex
	start time.Time // of the first call; time of day may jump, the time since then does not
	slots [retryWindow]retrySlot
}

// retrySlot counts one second.
type retrySlot struct {
	second   int64 // since the start
	requests int
	retries  int
}

// NewRetryBudget returns a budget of ratio retries per request and at least
// minimum retries per second.
func NewRetryBudget(ratio, minimum float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, min: minimum}
}

// Observe counts a request, retries not included.
func (b *RetryBudget) Observe(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slot(now).requests++
}

// Allow reports whether a retry may start at now, and counts it if so.
func (b *RetryBudget) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	requests, retries := b.totals(now)
	allowed := max(b.ratio*float64(requests), b.min*retryWindow)
	if float64(retries+1) > allowed {
		return false
	}
	b.slot(now).retries++
	return true
}

// second returns the number of the second that now is in, from 1.
func (b *RetryBudget) second(now time.Time) int64 {
	if b.start.IsZero() {
		b.start = now
	}
	return int64(now.Sub(b.start)/time.Second) + 1
}

// slot returns the slot of now, emptied if it counted an earlier second.
func (b *RetryBudget) slot(now time.Time) *retrySlot {
	second := b.second(now)
	s := &b.slots[((second%retryWindow)+retryWindow)%retryWindow]
	if s.second != second {
		*s = retrySlot{second: second}
	}
	return s
}

// totals sums the slots of the window that ends at now.
func (b *RetryBudget) totals(now time.Time) (requests, retries int) {
	second := b.second(now)
	for _, s := range b.slots {
		if s.second > second-retryWindow && s.second <= second {
			requests += s.requests
			retries += s.retries
		}
	}
	return requests, retries
}
