package cluster

import (
	"sync"
	"time"
)

// unreachable remembers which peers this daemon could not reach, for a while each.
type unreachablePeers struct {
	duration time.Duration

	mu    sync.Mutex
	until map[string]time.Time // by incarnation
}

func (u *unreachablePeers) add(incarnation string, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i, end := range u.until {
		if !now.Before(end) {
			delete(u.until, i)
		}
	}
	u.until[incarnation] = now.Add(u.duration)
}

// without returns peers without those that are unreachable at now.
func (u *unreachablePeers) exclude(peers []Peer, now time.Time) []Peer {
	u.mu.Lock()
	defer u.mu.Unlock()
	reachable := make([]Peer, 0, len(peers))
	for _, p := range peers {
		if end, ok := u.until[p.Incarnation]; ok && now.Before(end) {
			continue
		}
		reachable = append(reachable, p)
	}
	return reachable
}
