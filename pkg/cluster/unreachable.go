package cluster

import (
	"sync"
	"time"
)

// unreachablePeers records the peers that this daemon failed to reach. Each
// entry expires after a fixed time.
type unreachablePeers struct {
	duration time.Duration // lifetime of an entry

	mu    sync.Mutex
	until map[string]time.Time // expiry of each entry, by incarnation
}

func (u *unreachablePeers) add(incarnation string, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for peer, end := range u.until {
		if !now.Before(end) {
			delete(u.until, peer)
		}
	}
	u.until[incarnation] = now.Add(u.duration)
}

// exclude returns the peers that are not marked as unreachable at now.
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
