package integration

import (
	"sync"
	"time"
)

// acceptedVersions records the accepted bundle versions. Each version except the first
// contains an API key that no other version has. It is safe for concurrent use.
type acceptedVersions struct {
	mu         sync.Mutex
	keys       []string    // API keys of version 2 and later; version 1 has no key of its own
	acceptedAt []time.Time // when the test learned that the version was accepted
}

// add records the next version.
func (l *acceptedVersions) add(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keys = append(l.keys, key)
	l.acceptedAt = append(l.acceptedAt, time.Now())
}

// key returns the API key of a version, or an empty string if it has none.
func (l *acceptedVersions) key(version uint64) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version < 2 || version > uint64(len(l.keys))+1 {
		return ""
	}
	return l.keys[version-2]
}

// newest returns the newest version and when the test learned of its acceptance.
func (l *acceptedVersions) newest() (uint64, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.acceptedAt) == 0 {
		return 1, time.Time{}
	}
	return uint64(len(l.acceptedAt)) + 1, l.acceptedAt[len(l.acceptedAt)-1]
}
