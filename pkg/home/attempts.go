package home

import (
	"sync"

	"github.com/peppertrail/peppertrail/pkg/budget"
)

// attemptTracker records the streams that were granted to this daemon and whose
// settlement is not known to be durable. It is safe for concurrent use.
type attemptTracker struct {
	mu        sync.Mutex
	streams   map[string]struct{}
	reserving map[string]int // reservations without a reply, by incarnation of the home
}

func newAttemptTracker() *attemptTracker {
	return &attemptTracker{streams: make(map[string]struct{}), reserving: make(map[string]int)}
}

// beginReserve counts a reservation at a home as open until endReserve.
func (a *attemptTracker) beginReserve(home string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reserving[home]++
}

// endReserve replaces the count of beginReserve by the granted stream in one
// step. A reservation that failed is never dispatched, whatever the home decided.
func (a *attemptTracker) endReserve(home string, reply ReserveReply, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reserving[home]--; a.reserving[home] == 0 {
		delete(a.reserving, home)
	}
	if err == nil && reply.Outcome == Granted {
		a.streams[reply.Stream] = struct{}{}
	}
}

func (a *attemptTracker) settled(stream string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.streams, stream)
}

// openOn returns the number of attempts on grants of a holder, including
// reservations without a reply.
func (a *attemptTracker) openOn(holder string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := a.reserving[holder]
	for stream := range a.streams {
		if budget.HolderOfGrant(budget.GrantOfStream(stream)) == holder {
			n++
		}
	}
	return n
}
