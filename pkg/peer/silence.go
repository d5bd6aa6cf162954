package peer

import (
	"sync"
	"time"
)

// maxSilentCalls is the number of successive unanswered calls after which a
// connection may be given up. Fewer would break it because of single slow calls.
const maxSilentCalls = 8

// silence detects a peer that keeps a connection open and answers nothing.
// jsonrpc2 remembers each call until its reply or the end of the connection, so
// that calls to such a peer would pile up in memory.
type silence struct {
	limit time.Duration

	mu    sync.Mutex
	calls int
	since time.Time // end of the first unanswered call
}

// end starts again after a reply.
func (s *silence) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = 0
}

// extend counts an unanswered call and reports whether the peer is given up.
// The duration matters too: callers that cancel many calls at once prove nothing.
func (s *silence) extend() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls == 0 {
		s.since = time.Now()
	}
	s.calls++
	return s.calls >= maxSilentCalls && time.Since(s.since) >= s.limit
}
