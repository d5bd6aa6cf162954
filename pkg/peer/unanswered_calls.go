package peer

import (
	"sync"
	"time"
)

// maxUnansweredCalls is the number of consecutive unanswered calls after which a
// connection may be closed. With a lower limit, single slow calls would close it.
const maxUnansweredCalls = 8

// unansweredCalls detects a peer that keeps a connection open but does not reply.
// jsonrpc2 keeps each call until its reply or the end of the connection, so calls
// to such a peer would accumulate in memory.
type unansweredCalls struct {
	maxDuration time.Duration // time without a reply after which the connection may be closed

	mu    sync.Mutex
	count int
	since time.Time // when the first of the unanswered calls ended
}

// reset sets the count to zero after a reply.
func (u *unansweredCalls) reset() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.count = 0
}

// add counts an unanswered call and reports whether the connection should be
// closed. It also requires maxDuration to have passed, since callers may cancel
// many calls at once although the peer is responsive.
func (u *unansweredCalls) add() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.count == 0 {
		u.since = time.Now()
	}
	u.count++
	return u.count >= maxUnansweredCalls && time.Since(u.since) >= u.maxDuration
}
