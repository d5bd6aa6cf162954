package route

import (
	"slices"
	"time"
)

// simRequest is a simulated request.
type simRequest struct {
	arrived time.Time
	prefix  string
	decode  time.Duration // time from the first to the last token
	daemon  int           // index of the daemon that dispatched it
	target  *simTarget
}

// simTarget is a simulated engine with slots, a queue and a cache of prompt
// prefixes.
type simTarget struct {
	id      string
	slots   int
	running int
	queue   []*simRequest
	cache   []string // prompt prefixes, least recently used first
}

// load returns the requests per slot.
func (t *simTarget) load() float64 {
	return float64(t.running+len(t.queue)) / float64(t.slots)
}

// touch reports whether a prefix is cached and makes it the most recently used
// one, evicting the least recently used one if the cache is full.
func (t *simTarget) touch(prefix string) bool {
	index := slices.Index(t.cache, prefix)
	if index >= 0 {
		t.cache = slices.Delete(t.cache, index, index+1)
	}
	t.cache = append(t.cache, prefix)
	if len(t.cache) > simCacheSize {
		t.cache = t.cache[1:]
	}
	return index >= 0
}
