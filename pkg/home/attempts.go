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
	reserving map[string]int // reservations without a reply, by incarnation of the home that was asked
}

func newAttemptTracker() *attemptTracker {
	return &attemptTracker{streams: make(map[string]struct{}), reserving: make(map[string]int)}
}

// beginReserve counts a reservation that a home was asked for as open until endReserve.
func (a *attemptTracker) beginReserve(holder string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reserving[holder]++
}

// endReserve ends the count that beginReserve started and, if the attempt was
// granted, records its stream under the same lock, so that the attempt is counted
// without a gap. A reservation that failed is never dispatched, even if the home
// granted it, and is therefore not recorded.
func (a *attemptTracker) endReserve(holder string, reply ReserveReply, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reserving[holder]--; a.reserving[holder] == 0 {
		delete(a.reserving, holder)
	}
	if err == nil && reply.Outcome == Granted {
		a.streams[reply.Stream] = struct{}{}
	}
}

// markSettled removes a stream whose settlement is durable.
func (a *attemptTracker) markSettled(stream string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.streams, stream)
}

// countOpen returns the number of open attempts on grants of a holder, including
// reservations without a reply.
func (a *attemptTracker) countOpen(holder string) int {
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
