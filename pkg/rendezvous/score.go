// Package rendezvous ranks candidates for a key identically in every process
// (rendezvous hashing), so that daemons agree on a choice without communication.
package rendezvous

// Constants of 64-bit FNV-1a, which is the same in every process, unlike
// hash/maphash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Multipliers and shifts of the finalizer of splitmix64. FNV alone leaves
// the high bits of similar inputs correlated, which skews the ranking.
const (
	mixMultiplier1 = 0xbf58476d1ce4e5b9
	mixMultiplier2 = 0x94d049bb133111eb
	mixShift1      = 30
	mixShift2      = 27
	mixShift3      = 31
)

// Score returns the score of a candidate for a key. The candidate with the highest
// score is the first choice.
func Score(key, candidate string) uint64 {
	return Mix(updateFNV1a(updateFNV1a(updateFNV1a(fnvOffset, key), "\x00"), candidate))
}

// Key is a key of which the scores of many candidates are needed.
type Key uint64

// NewKey prepares a key for Key.Score.
func NewKey(key string) Key { return Key(updateFNV1a(updateFNV1a(fnvOffset, key), "\x00")) }

// Score returns the same as the function Score for the key.
func (k Key) Score(candidate string) uint64 { return Mix(updateFNV1a(uint64(k), candidate)) }

// Hash returns a 64-bit hash of s.
func Hash(s string) uint64 { return Mix(updateFNV1a(fnvOffset, s)) }

// Mix applies the finalizer of splitmix64, which spreads differences in the input
// over all bits.
func Mix(x uint64) uint64 {
	x = (x ^ x>>mixShift1) * mixMultiplier1
	x = (x ^ x>>mixShift2) * mixMultiplier2
	return x ^ x>>mixShift3
}

// updateFNV1a continues the FNV-1a hash h with the bytes of s.
func updateFNV1a(h uint64, s string) uint64 {
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * fnvPrime
	}
	return h
}
