package platform

import (
	"sync"
	"time"
)

// writeLimit is a token bucket for writes. Its burst is the number of writes that the
// rate allows in one second.
type writeLimit struct {
	mu     sync.Mutex
	tokens float64   // number of writes still allowed at the time in last
	last   time.Time // time of the last call of allow with a limit; zero: none
}

// allow takes a token and reports whether there was one. rate is in writes per
// second; 0 means no limit.
func (l *writeLimit) allow(rate float64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if rate <= 0 {
		l.last = time.Time{}
		return true
	}
	if l.last.IsZero() {
		l.tokens = max(rate, 1)
	} else {
		l.tokens = min(max(rate, 1), l.tokens+rate*now.Sub(l.last).Seconds())
	}
	l.last = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
