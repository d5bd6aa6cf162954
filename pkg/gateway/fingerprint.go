package gateway

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// generatedPrefix marks the ids of requests without an idempotency key.
const generatedIDPrefix = "auto-"

// idBytes makes two generated ids equal with negligible probability.
const generatedIDBytes = 16

// fingerprint returns the digest of what makes two requests the same, in hex.
// Each part is preceded by its length, so that parts cannot run into each other.
func fingerprint(customer, method, path string, body []byte) string {
	digest := sha256.New()
	for _, part := range [][]byte{[]byte(customer), []byte(method), []byte(path), body} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		digest.Write(size[:])
		digest.Write(part)
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// hashKey returns the SHA-256 of an API key in hex.
func hashAPIKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// newRequestID returns an id for a request without an idempotency key.
func newRequestID() string {
	var id [generatedIDBytes]byte
	// crypto/rand does not return errors; it ends the process if it has no randomness.
	_, _ = rand.Read(id[:])
	return generatedIDPrefix + hex.EncodeToString(id[:])
}
