package sharedread

import (
	"sync"
	"time"
)

const (
	// copyLinkShare is the share of a reader's link that copies of the table may take. It is
	// below the use of 0.65 from which a host refuses connections of callers.
	copyLinkShare = 0.6
	// maxCopyTurnWait is the longest time for which a request for a copy waits for its turn. With
	// the time to connect and to send, it is below copyTimeout.
	maxCopyTurnWait = 800 * time.Millisecond
)

// copyQueue decides when a reader sends copies of the table: one after the other, in the order of
// arrival, at copyLinkShare of its link. It handles the followers of a reader that all start
// together, or all need a copy at once because the store has returned from an older copy. Its
// methods are given the time, and it is safe for concurrent use.
type copyQueue struct {
	bytesPerSecond float64

	mu     sync.Mutex
	freeAt time.Time // when the copies that have a turn are sent
}

// newCopyQueue returns the queue of a host with a link of the given rate. A host that does not
// state its rate is preferred as a reader like one of slowLinkMbps, and counts as such.
func newCopyQueue(linkMbps float64) *copyQueue {
	if linkMbps <= 0 {
		linkMbps = slowLinkMbps
	}
	return &copyQueue{bytesPerSecond: copyLinkShare * linkMbps * 1e6 / 8}
}

// reserve returns how long a copy of the given size waits for its turn, which it then has. It
// returns false if that is longer than maxCopyTurnWait: another reader may be free earlier.
func (q *copyQueue) reserve(bytes int, now time.Time) (wait time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	wait = max(0, q.freeAt.Sub(now))
	if wait > maxCopyTurnWait {
		return 0, false
	}
	q.freeAt = now.Add(wait + time.Duration(float64(bytes)/q.bytesPerSecond*float64(time.Second)))
	return wait, true
}
