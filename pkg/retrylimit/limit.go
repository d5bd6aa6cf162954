// Package retrylimit limits the retries of a host, so that the retries of the whole
// fleet cannot amplify an overload. Each host enforces its own share of the limit,
// so that hosts need not communicate.
package retrylimit

import (
	"sync"
	"time"
)

const (
	// windowSlots is the number of slots that the window is divided into.
	windowSlots = 20
	// requestSlots is the number of slots for which a request counts, the current one
	// included. It is less than the window, so that any period of the window's length in
	// which retries arrive holds the requests that allow them, also if a host has read a
	// request up to a slot after it was sent.
	requestSlots = windowSlots - 1
	// retrySlots is the number of slots for which a retry counts, the current one included.
	// It is more than the window, as the limit must hold for any period of that length, and
	// a retry may arrive up to a slot after it was allowed: a connection is opened first.
	retrySlots = windowSlots + 2
)

// burstShare is the part of the reserve that can be used at once. The rest accrues over
// the window, so that the reserve holds for any period of the window's length.
const burstShare = 0.5

// Limit limits the retries of one service by the number of its requests in a sliding
// window. It is safe for concurrent use.
//
// A process knows nothing of the retries that its host sent before it started. A new
// limit therefore has no reserve; it accrues from the start of the process. So the
// limit also holds for a host whose process restarts any number of times.
type Limit struct {
	ratio     float64 // retries per request
	window    time.Duration
	startedAt time.Time // start of slot 0

	mu          sync.Mutex // guards the fields below
	reserve     float64    // retries per window regardless of requests
	accrued     float64    // part of the reserve that can be used
	accruedAt   time.Time  // time up to which accrued is calculated
	requests    [retrySlots]int
	retries     [retrySlots]int
	byRatio     [retrySlots]float64 // retries and fractions of them that the ratio allowed; the reserve allowed the rest
	currentSlot int64               // number of the newest slot, counted from startedAt
}

// New returns a limit that allows, within any window, ratio retries per request plus
// reserve retries. The reserve accrues from startedAt, the start of the process.
func New(ratio, reserve float64, window time.Duration, startedAt time.Time) *Limit {
	return &Limit{ratio: ratio, reserve: reserve, window: window, startedAt: startedAt, accruedAt: startedAt}
}

// SetReserve sets the number of retries per window that are allowed regardless of the
// number of requests. A reserve of 0 means that it is not known yet: the time until it
// is set counts for the accrual.
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
	requests, retries, byRatio := l.totals()
	left := min(max(0, l.ratio*float64(requests)-byRatio), 1) // part of this retry that the ratio allows
	l.accrue(now)
	if left+l.accrued < 1 || float64(retries+1) > l.ratio*float64(requests)+l.reserve {
		return false
	}
	l.accrued -= 1 - left
	l.byRatio[slot] += left
	l.retries[slot]++
	return true
}

// totals returns the requests and retries that count, and the part of the retries that the
// ratio allowed. The caller holds the mutex.
func (l *Limit) totals() (requests, retries int, byRatio float64) {
	for i := range l.retries {
		retries += l.retries[i]
		byRatio += l.byRatio[i]
	}
	for number := max(0, l.currentSlot-requestSlots+1); number <= l.currentSlot; number++ {
		requests += l.requests[number%retrySlots]
	}
	return requests, retries, byRatio
}

// Usage is what counts towards the limit at a moment.
type Usage struct {
	Requests int // requests that allow retries
	Retries  int // retries that were allowed
}

// Usage returns what counts at the time now, for logs.
func (l *Limit) Usage(now time.Time) Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	requests, retries, _ := l.totals()
	return Usage{Requests: requests, Retries: retries}
}

// accrue adds the part of the reserve that has accrued since the last call. The caller
// holds the mutex.
func (l *Limit) accrue(now time.Time) {
	if l.reserve == 0 {
		return
	}
	elapsed := max(0, now.Sub(l.accruedAt))
	l.accrued += l.reserve * (1 - burstShare) * elapsed.Seconds() / l.window.Seconds()
	l.accrued = min(l.accrued, l.reserve*burstShare)
	l.accruedAt = now
}

// advance clears the slots that have begun since the last call and returns the index
// of the current one. The caller holds the mutex.
func (l *Limit) advance(now time.Time) int {
	newest := max(int64(now.Sub(l.startedAt)/(l.window/windowSlots)), l.currentSlot)
	for l.currentSlot < newest {
		l.currentSlot++
		if newest-l.currentSlot >= retrySlots {
			continue // a newer slot uses the same array element and clears it
		}
		l.requests[l.currentSlot%retrySlots] = 0
		l.retries[l.currentSlot%retrySlots] = 0
		l.byRatio[l.currentSlot%retrySlots] = 0
	}
	return int(l.currentSlot % retrySlots)
}
