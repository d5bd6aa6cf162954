package access

import (
	"sync"
	"time"
)

// maxReplayEntries bounds the cache. Only requests with a valid signature
// enter it, so an operator's own client would have to send this many within
// two windows.
const maxReplayEntries = 100_000

// replayCache remembers the nonces of accepted requests for as long as their
// time is inside the window. It is local to one daemon.
type replayCache struct {
	mu      sync.Mutex
	expires map[string]time.Time
	swept   time.Time
}

func newReplayCache() *replayCache {
	return &replayCache{expires: make(map[string]time.Time)}
}

// add reports whether the nonce is new. A full cache refuses every nonce.
func (c *replayCache) add(nonce string, now, expires time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep(now)
	if _, known := c.expires[nonce]; known || len(c.expires) >= maxReplayEntries {
		return false
	}
	c.expires[nonce] = expires
	return true
}

// sweep drops expired nonces, at most once per second.
func (c *replayCache) sweep(now time.Time) {
	if now.Sub(c.swept) < time.Second {
		return
	}
	c.swept = now
	for nonce, expires := range c.expires {
		if now.After(expires) {
			delete(c.expires, nonce)
		}
	}
}
