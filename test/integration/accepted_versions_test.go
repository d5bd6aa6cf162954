package integration

import (
	"sync"
	"time"
)

// bundleLog is the accepted versions with the keys that only they know. It is
// safe for concurrent use.
type acceptedVersions struct {
	mu         sync.Mutex
	keys       []string    // of version 2 and up; version 1 has none of its own
	acceptedAt []time.Time // when the acceptance was known
}

// accepted records the next version.
func (l *acceptedVersions) add(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keys = append(l.keys, key)
	l.acceptedAt = append(l.acceptedAt, time.Now())
}

// key returns the key of a version, empty for one without.
func (l *acceptedVersions) key(version uint64) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version < 2 || version > uint64(len(l.keys))+1 {
		return ""
	}
	return l.keys[version-2]
}

// newest returns the newest version and when its acceptance was known.
func (l *acceptedVersions) newest() (uint64, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.acceptedAt) == 0 {
		return 1, time.Time{}
	}
	return uint64(len(l.acceptedAt)) + 1, l.acceptedAt[len(l.acceptedAt)-1]
}
