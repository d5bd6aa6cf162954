package edge

import (
	"sync"
	"time"
)

// disprovingConfirmations is the number of successful reads of the configuration after which a
// newer version that another host has named does not exist. The first of them may have begun
// before the version was written.
const disprovingConfirmations = 2

// configurationLag knows whether another host has a newer configuration than this one, and for
// how long. It is safe for concurrent use.
type configurationLag struct {
	mu            sync.Mutex
	newest        int64  // newest version that another host has named; 0: none is newer than the own
	host          string // that has named it
	since         time.Time
	confirmations int // successful reads of the store since then
}

// hear records that a host has a version. It reports whether that is news: own is older,
// and no newer version was known.
func (l *configurationLag) hear(host string, version, own int64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version <= own || version <= l.newest {
		return false
	}
	news := l.newest == 0
	if news {
		l.since = now
	}
	l.newest, l.host, l.confirmations = version, host, 0
	return news
}

// namedBy returns the host that has named the newest version.
func (l *configurationLag) namedBy() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.host
}

// applied records that this host has put a version into force. It returns for how long a newer
// one was known, 0 if none was.
func (l *configurationLag) applied(version int64, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.newest == 0 {
		return 0
	}
	behind := now.Sub(l.since)
	if version >= l.newest {
		l.newest = 0
	}
	return behind
}

// confirmed records that the store has been read successfully, after what it returned was
// applied. It reports whether that disproves the newer version, which is then forgotten.
func (l *configurationLag) confirmed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.newest == 0 {
		return false
	}
	l.confirmations++
	if l.confirmations < disprovingConfirmations {
		return false
	}
	l.newest = 0
	return true
}

// forget forgets the newer version: the host that has named it does not have it.
func (l *configurationLag) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.newest = 0
}

// behind returns for how long this host has known of a newer version, 0 if it knows of none.
func (l *configurationLag) behind(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.newest == 0 {
		return 0
	}
	return max(now.Sub(l.since), 1)
}
