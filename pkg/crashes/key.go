package crashes

import (
	"fmt"
	"hash/fnv"
	"strings"
)

// maxKeyBytes is the size of a key, in bytes.
const maxKeyBytes = 32

// requestPrefix tells the keys of requests from those of parts.
const requestPrefix = "request-"

// PartKey returns the key of the part of a prompt with an id: the id, or a hash of it if it is
// long, has characters that an encoding may escape, or looks like the key of a request.
func PartKey(id string) string {
	if len(id) <= maxKeyBytes && !strings.ContainsFunc(id, isNotPlain) && !isRequest(id) {
		return id
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	return fmt.Sprintf("hash-%x", h.Sum64())
}

// RequestKey returns the key of a request with a fingerprint, which does not depend on the
// request's id.
func RequestKey(fingerprint uint64) string {
	return fmt.Sprintf("%s%016x", requestPrefix, fingerprint)
}

// isRequest reports whether a key is one of a request.
func isRequest(key string) bool { return strings.HasPrefix(key, requestPrefix) }

func isPart(key string) bool { return !isRequest(key) }

// isNotPlain reports whether a character is neither an ASCII letter or digit nor one of -_.:
func isNotPlain(r rune) bool {
	return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && !strings.ContainsRune("-_.:", r)
}
