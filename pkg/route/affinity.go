package route

import "hash/fnv"

// affinityScore ranks a target for a prompt prefix (rendezvous hashing). It is
// the same in every daemon and process, so that all daemons send a prefix to
// the same targets.
func affinityScore(prefix, id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(prefix))
	return mix(h.Sum64())
}

// mix spreads the bits of h (finaliser of MurmurHash3). FNV alone leaves
// the high bits of similar inputs correlated, which skews the ranking.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}
