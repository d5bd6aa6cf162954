package balance

import "hash/fnv"

// rendezvous returns the rank of a target for a key. It is the same on every
// host, so that hosts agree on the targets of a key without a message.
func rendezvous(key, id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key)) // never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(id))
	return mix(h.Sum64())
}

// mix is the finalizer of splitmix64; FNV alone spreads similar ids unevenly.
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
