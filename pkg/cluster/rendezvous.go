package cluster

import (
	"cmp"
	"slices"
)

// Constants of 64-bit FNV-1a.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Multipliers and shifts of the finalizer of splitmix64. FNV alone spreads
// short, similar ids unevenly.
const (
	mixMultiplier1 = 0xbf58476d1ce4e5b9
	mixMultiplier2 = 0x94d049bb133111eb
	mixShift1      = 30
	mixShift2      = 27
	mixShift3      = 31
)

// rank returns peers in rendezvous-hash order of key. The hash of a peer is
// that of its address, so that a daemon that restarts quickly keeps its budgets.
func rank(key string, peers []Peer) []Peer {
	keyHash := hash(key)
	scores := make([]score, len(peers))
	for i := range peers {
		scores[i] = score{value: mix(keyHash ^ hash(peers[i].Addr)), index: i}
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

// score is the rendezvous hash of a peer and a key.
type score struct {
	value uint64
	index int
}

// hash is FNV-1a, which is the same in every process, unlike hash/maphash.
func hash(s string) uint64 {
	h := uint64(fnvOffset)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * fnvPrime
	}
	return mix(h)
}

func mix(x uint64) uint64 {
	x = (x ^ x>>mixShift1) * mixMultiplier1
	x = (x ^ x>>mixShift2) * mixMultiplier2
	return x ^ x>>mixShift3
}
