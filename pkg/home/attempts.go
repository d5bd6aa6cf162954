package home

import (
	"sync"

	"github.com/peppertrail/peppertrail/pkg/budget"
)

// attempts are the streams that this daemon was granted and whose settlement
// is not known to be durable. It is safe for concurrent use.
type attempts struct {
	mu      sync.Mutex
	streams map[string]struct{}
	asked   map[string]int // reservations under way, by the incarnation asked
}

func newAttempts() *attempts {
	return &attempts{streams: make(map[string]struct{}), asked: make(map[string]int)}
}

// ask counts a reservation at a home until answered.
func (a *attempts) ask(home string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asked[home]++
}

// answered ends ask. A granted stream counts from the same moment on. A
// reservation that failed is never dispatched, whatever the home decided.
func (a *attempts) answered(home string, reply ReserveReply, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.asked[home]--; a.asked[home] == 0 {
		delete(a.asked, home)
	}
	if err == nil && reply.Outcome == Granted {
		a.streams[reply.Stream] = struct{}{}
	}
}

func (a *attempts) end(stream string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.streams, stream)
}

// open returns the number of attempts on grants of a holder.
func (a *attempts) open(holder string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := a.asked[holder]
	for stream := range a.streams {
		if budget.HolderOfGrant(budget.GrantOfStream(stream)) == holder {
			n++
		}
	}
	return n
}
