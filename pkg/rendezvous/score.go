// Package rendezvous ranks candidates for a key in the same way in every
// process, so that daemons agree on a choice without a message.
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

// Score returns the rank of a candidate for a key. The candidate with the
// highest score is the first choice.
func Score(key, candidate string) uint64 {
	return Mix(add(add(add(fnvOffset, key), "\x00"), candidate))
}

// Hash returns the hash of a text.
func Hash(s string) uint64 { return Mix(add(fnvOffset, s)) }

// Mix spreads the bits of a hash.
func Mix(x uint64) uint64 {
	x = (x ^ x>>mixShift1) * mixMultiplier1
	x = (x ^ x>>mixShift2) * mixMultiplier2
	return x ^ x>>mixShift3
}

// add continues a hash with a text.
func add(h uint64, s string) uint64 {
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * fnvPrime
	}
	return h
}
