// Package retrylimit bounds how often a host sends requests once more, so that
// retries of a whole fleet cannot multiply an overload. Each host keeps its
// share of the bound, so that no message is needed.
package retrylimit

import (
	"sync"
	"time"
)

// slots divides the window. The bound holds for any span of the window's length,
// so that a retry counts for one slot longer.
const slots = 10

// Limit counts requests and retries of one service over a sliding window. It is
// safe for concurrent use.
type Limit struct {
	ratio float64
	slot  time.Duration
	start time.Time // of the clock of the slots

	mu       sync.Mutex
	reserve  float64
	requests [slots + 1]int
	retries  [slots + 1]int
	current  int64 // number of the newest slot
}

// New returns a limit of ratio retries per request within a window, and reserve
// further ones.
func New(ratio, reserve float64, window time.Duration) *Limit {
	return &Limit{ratio: ratio, reserve: reserve, slot: window / slots, start: time.Now()}
}

// SetReserve changes the retries that are allowed whatever the requests are.
func (l *Limit) SetReserve(reserve float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reserve = reserve
}

// Observe counts a request.
func (l *Limit) Observe(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[l.advance(now)]++
}

// Allow reports whether a retry may be sent, and counts it if so.
func (l *Limit) Allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := l.advance(now)
	requests, retries := 0, 0
	for i := range l.requests {
		retries += l.retries[i]
		requests += l.requests[i]
	}
	if float64(retries+1) > l.ratio*float64(requests)+l.reserve {
		return false
	}
	l.retries[at]++
	return true
}

// advance empties the slots that have passed and returns the index of the
// current one.
func (l *Limit) advance(now time.Time) int {
	number := max(int64(now.Sub(l.start)/l.slot), l.current)
	for l.current < number {
		l.current++
		if number-l.current > slots {
			continue
		}
		l.requests[l.current%(slots+1)] = 0
		l.retries[l.current%(slots+1)] = 0
	}
	return int(l.current % (slots + 1))
}
