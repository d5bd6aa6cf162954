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
func (v *acceptedVersions) add(key string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.keys = append(v.keys, key)
	v.acceptedAt = append(v.acceptedAt, time.Now())
}

// key returns the API key of a version, or an empty string if it has none.
func (v *acceptedVersions) key(version uint64) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if version < 2 || version > uint64(len(v.keys))+1 {
		return ""
	}
	return v.keys[version-2]
}

// newest returns the newest version and when the test learned of its acceptance.
func (v *acceptedVersions) newest() (uint64, time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.acceptedAt) == 0 {
		return 1, time.Time{}
	}
	return uint64(len(v.acceptedAt)) + 1, v.acceptedAt[len(v.acceptedAt)-1]
}
