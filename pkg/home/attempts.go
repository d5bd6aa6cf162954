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
}

func newAttempts() *attempts {
	return &attempts{streams: make(map[string]struct{})}
}

func (a *attempts) begin(stream string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.streams[stream] = struct{}{}
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
	n := 0
	for stream := range a.streams {
		if budget.HolderOfGrant(budget.GrantOfStream(stream)) == holder {
			n++
		}
	}
	return n
}
