package access

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
)

// KeyIndex maps the hash of an API key to the key's owner. Entries are stored
// under a salted hash of that hash, so that the duration of a lookup does not
// reveal how many leading characters of a presented hash are correct. After the
// last Add, Find is safe for concurrent use.
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

// Add stores the owner of a key. hash is the HashAPIKey of the key.
func (x *KeyIndex[T]) Add(hash string, owner T) {
	x.entries[x.saltedHash(hash)] = keyEntry[T]{hash: hash, owner: owner}
}

// Find returns the owner of a key. hash is the HashAPIKey of the key.
func (x *KeyIndex[T]) Find(hash string) (owner T, ok bool) {
	entry, found := x.entries[x.saltedHash(hash)]
	if subtle.ConstantTimeCompare([]byte(entry.hash), []byte(hash)) != 1 || !found {
		return owner, false
	}
	return entry.owner, true
}

func (x *KeyIndex[T]) saltedHash(hash string) [sha256.Size]byte {
	return sha256.Sum256(append(x.salt[:], hash...))
}
