package route

import (
	"slices"
	"time"
)

// simRequest is a request in the simulation.
type simRequest struct {
	arrived time.Time
	prefix  string
	decode  time.Duration // from the first to the last token
	daemon    int           // daemon that dispatched it
	target  *simTarget
}

// simTarget is an engine: places, a queue and a cache of prompt prefixes.
type simTarget struct {
	id       string
	slots int
	running  int
	queue    []*simRequest
	cache    []string // least recently used first
}

// load returns the requests per place.
func (t *simTarget) load() float64 {
	return float64(t.running+len(t.queue)) / float64(t.slots)
}

// touch reports whether a prefix is cached and makes it the most recent one.
func (t *simTarget) touch(prefix string) bool {
	at := slices.Index(t.cache, prefix)
	if at >= 0 {
		t.cache = slices.Delete(t.cache, at, at+1)
	}
	t.cache = append(t.cache, prefix)
	if len(t.cache) > simCacheSize {
		t.cache = t.cache[1:]
	}
	return at >= 0
}
