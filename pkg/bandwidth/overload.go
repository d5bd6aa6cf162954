package bandwidth

import (
	"sync"
	"time"
)

// overloadMemory is how long after it was measured an overload explains late responses. A call
// takes up to 0.8 s, and a broker that has not answered is not asked again for 2 s.
const overloadMemory = 3 * time.Second

// Overload knows whether a host has measured lately that its link is saturated. The zero value
// has measured nothing. It is safe for concurrent use.
type Overload struct {
	mu sync.Mutex
	at time.Time // last measurement; zero: none
}

// Record records that the link is saturated.
func (o *Overload) Record(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.at = now
}

// Recent reports whether the link was saturated within the last seconds.
func (o *Overload) Recent(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.at.IsZero() && now.Sub(o.at) <= overloadMemory
}
