// Package rendezvous ranks candidates for a key in the same way in every
// process, so that daemons agree on a choice without a message.
package rendezvous

import "hash/fnv"

// Multipliers and shifts of the finalizer of splitmix64. FNV alone leaves
// the high bits of similar inputs correlated, which skews the ranking.
const (
	mixMultiplier1 = 0xbf58476d1ce4e5b9
	mixMultiplier2 = 0x94d049bb133111eb
	mixShift1      = 30
	mixShift2      = 27
	mixShift3      = 31
)

// Score returns the rank of a candidate for a key. The candidate with the
// highest score is the first choice.
func Score(key, candidate string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key)) // never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(candidate))
	x := h.Sum64()
	x = (x ^ x>>mixShift1) * mixMultiplier1
	x = (x ^ x>>mixShift2) * mixMultiplier2
	return x ^ x>>mixShift3
}
