package integration

import (
	"sync"
	"time"
)

// bundleLog is the accepted versions with the keys that only they know. It is
// safe for concurrent use.
type bundleLog struct {
	mu   sync.Mutex
	keys []string    // of version 2 and up; version 1 has none of its own
	at   []time.Time // when the acceptance was known
}

// accepted records the next version.
func (l *bundleLog) accepted(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keys = append(l.keys, key)
	l.at = append(l.at, time.Now())
}

// key returns the key of a version, empty for one without.
func (l *bundleLog) key(version uint64) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version < 2 || version > uint64(len(l.keys))+1 {
		return ""
	}
	return l.keys[version-2]
}

// newest returns the newest version and when its acceptance was known.
func (l *bundleLog) newest() (uint64, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.at) == 0 {
		return 1, time.Time{}
	}
	return uint64(len(l.at)) + 1, l.at[len(l.at)-1]
}
