package access

import (
	"sync"
	"time"
)

// maxReplayEntries limits the size of the cache. Only nonces of requests with a
// valid signature are added, so only an operator's own client can fill it, by
// sending this many requests within two signature windows.
const maxReplayEntries = 100_000

// replayCache holds the nonces of accepted requests until the requests' times are
// outside of the signature window. Daemons do not share it.
type replayCache struct {
	mu        sync.Mutex
	expires   map[string]time.Time // time after which an entry is removed, by "operator/nonce"
	lastSweep time.Time
}

func newReplayCache() *replayCache {
	return &replayCache{expires: make(map[string]time.Time)}
}

// add stores an entry "operator/nonce" and reports whether it is new. A full cache
// refuses every entry.
func (c *replayCache) add(entry string, now, expires time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep(now)
	if _, known := c.expires[entry]; known || len(c.expires) >= maxReplayEntries {
		return false
	}
	c.expires[entry] = expires
	return true
}

// sweep removes expired entries, at most once per second.
func (c *replayCache) sweep(now time.Time) {
	if now.Sub(c.lastSweep) < time.Second {
		return
	}
	c.lastSweep = now
	for entry, expires := range c.expires {
		if now.After(expires) {
			delete(c.expires, entry)
		}
	}
}
