package crashes

import "time"

// maxRecent bounds the entries of each generation of a recentTimes.
const maxRecent = 8192

// recentTimes holds the last time of each key, for at least ttl and less than twice as long.
// If more than maxRecent keys get a time within ttl, the oldest ones are dropped sooner.
type recentTimes struct {
	ttl               time.Duration
	current, previous map[string]time.Time
	currentSince      time.Time
}

func newRecentTimes(ttl time.Duration) *recentTimes {
	return &recentTimes{ttl: ttl, current: make(map[string]time.Time)}
}

// set records a time of a key, which is at or before now, unless a later one is recorded.
func (r *recentTimes) set(key string, at, now time.Time) {
	at = later(r.get(key), at)
	if now.Sub(r.currentSince) > r.ttl || len(r.current) >= maxRecent {
		r.previous, r.current, r.currentSince = r.current, make(map[string]time.Time), now
	}
	r.current[key] = at
}

// get returns the last time of a key, the zero time if there is none.
func (r *recentTimes) get(key string) time.Time {
	if at, ok := r.current[key]; ok {
		return at
	}
	return r.previous[key]
}
