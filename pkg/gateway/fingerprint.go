package gateway

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// generatedIDPrefix is the prefix of the ids generated for requests without an
// idempotency key.
const generatedIDPrefix = "auto-"

// generatedIDBytes is the number of random bytes in a generated id. With 16 bytes the
// probability of a collision is negligible.
const generatedIDBytes = 16

// fingerprint returns the SHA-256 in hex of the fields in which a retry must equal the
// original request. Each field is preceded by its length, so that different fields
// cannot concatenate to the same bytes.
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

// hashAPIKey returns the SHA-256 of an API key in lower-case hex.
func hashAPIKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// newRequestID returns a random id for a request without an idempotency key.
func newRequestID() string {
	var id [generatedIDBytes]byte
	// rand.Read never returns an error; it ends the process if no random bytes are available.
	_, _ = rand.Read(id[:])
	return generatedIDPrefix + hex.EncodeToString(id[:])
}
