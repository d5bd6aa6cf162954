package cluster

import (
	"cmp"
	"slices"

	"github.com/peppertrail/peppertrail/pkg/rendezvous"
)

// rank returns the peers ordered by their rendezvous hash for key, highest
// first. The hash covers the address of a peer, not its incarnation, so a
// daemon that restarts quickly on the same address keeps its budgets.
func rank(key string, peers []Peer) []Peer {
	keyHash := rendezvous.Hash(key)
	scores := make([]score, len(peers))
	for i := range peers {
		scores[i] = score{value: rendezvous.Mix(keyHash ^ rendezvous.Hash(peers[i].Addr)), index: i}
	}
	slices.SortFunc(scores, func(a, b score) int {
		if c := cmp.Compare(b.value, a.value); c != 0 {
			return c
		}
		return cmp.Compare(peers[a.index].Addr, peers[b.index].Addr)
	})
	ranked := make([]Peer, len(peers))
	for i, s := range scores {
		ranked[i] = peers[s.index]
	}
	return ranked
}

// score is the rendezvous hash of one peer for a key.
type score struct {
	value uint64
	index int // position of the peer in the input
}
