// Package retrylimit limits the retries of a host, so that the retries of the whole
// fleet cannot amplify an overload. Each host enforces its own share of the limit,
// so that hosts need not communicate.
package retrylimit

import (
	"sync"
	"time"
)

// windowSlots is the number of slots that the window is divided into. Requests and
// retries count for one slot longer than the window, so that the limit holds for any
// period of the window's length and not only for periods that begin with a slot.
const windowSlots = 10

// Limit limits the retries of one service by the number of its requests in a sliding
// window. It is safe for concurrent use.
type Limit struct {
	ratio      float64 // retries per request
	slotLength time.Duration
	startedAt  time.Time // start of slot 0

	mu          sync.Mutex // guards the fields below
	reserve     float64    // retries per window regardless of requests
	requests    [windowSlots + 1]int
	retries     [windowSlots + 1]int
	currentSlot int64 // number of the newest slot, counted from startedAt
}

// New returns a limit that allows, within any window, ratio retries per request plus
// reserve retries.
func New(ratio, reserve float64, window time.Duration) *Limit {
	return &Limit{ratio: ratio, reserve: reserve, slotLength: window / windowSlots, startedAt: time.Now()}
}

// SetReserve sets the number of retries per window that are allowed regardless of the
// number of requests.
func (l *Limit) SetReserve(reserve float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reserve = reserve
}

// CountRequest counts a request.
func (l *Limit) CountRequest(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[l.advance(now)]++
}

// AllowRetry reports whether a retry may be sent, and counts it if it may.
func (l *Limit) AllowRetry(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	slot := l.advance(now)
	requests, retries := 0, 0
	for i := range l.requests {
		retries += l.retries[i]
		requests += l.requests[i]
	}
	if float64(retries+1) > l.ratio*float64(requests)+l.reserve {
		return false
	}
	l.retries[slot]++
	return true
}

// advance clears the slots that have begun since the last call and returns the index
// of the current one. The caller holds the mutex.
func (l *Limit) advance(now time.Time) int {
	newest := max(int64(now.Sub(l.startedAt)/l.slotLength), l.currentSlot)
	for l.currentSlot < newest {
		l.currentSlot++
		if newest-l.currentSlot > windowSlots {
			continue // a newer slot uses the same array element and clears it
		}
		l.requests[l.currentSlot%(windowSlots+1)] = 0
		l.retries[l.currentSlot%(windowSlots+1)] = 0
	}
	return int(l.currentSlot % (windowSlots + 1))
}
