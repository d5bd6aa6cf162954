package access

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
)

// KeyIndex finds the owner of an API key by the key's hash. Entries are stored
// under a hash with a random salt, so that the time of a lookup tells nothing
// about how much of a presented hash is right. It is filled once and may then
// be read from any goroutine.
type KeyIndex[T any] struct {
	salt    [sha256.Size]byte
	entries map[[sha256.Size]byte]keyEntry[T]
}

type keyEntry[T any] struct {
	hash  string
	owner T
}

// NewKeyIndex returns an empty index.
func NewKeyIndex[T any]() *KeyIndex[T] {
	x := &KeyIndex[T]{entries: make(map[[sha256.Size]byte]keyEntry[T])}
	_, _ = rand.Read(x.salt[:]) // never fails since Go 1.24
	return x
}

// Add enters the owner of a key by HashAPIKey of the key.
func (x *KeyIndex[T]) Add(hash string, owner T) {
	x.entries[x.blind(hash)] = keyEntry[T]{hash: hash, owner: owner}
}

// Find returns the owner of a key by HashAPIKey of the key.
func (x *KeyIndex[T]) Find(hash string) (owner T, ok bool) {
	entry, found := x.entries[x.blind(hash)]
	if subtle.ConstantTimeCompare([]byte(entry.hash), []byte(hash)) != 1 || !found {
		return owner, false
	}
	return entry.owner, true
}

func (x *KeyIndex[T]) blind(hash string) [sha256.Size]byte {
	return sha256.Sum256(append(x.salt[:], hash...))
}
