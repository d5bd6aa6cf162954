package crashparts

import (
	"fmt"
	"hash/fnv"
	"strings"
	"time"
)

// EventKind says what an Event reports.
type EventKind string

// Kinds of events.
const (
	Crashed  EventKind = "crash"    // Target broke off requests with Parts before it had answered them
	Alive    EventKind = "alive"    // Target has answered since it was reported as crashed
	Answered EventKind = "answered" // a request with each of Parts was answered
	Blocked  EventKind = "blocked"  // requests with Parts are blocked for Remaining
)

// Event is what hosts tell each other.
type Event struct {
	Kind      EventKind
	Target    Target
	Parts     []string // keys of parts, see Key
	Remaining time.Duration
}

// Target identifies one start of a target.
type Target struct {
	ID   string
	Born int64 // start in Unix milliseconds, which tells starts with the same ID apart; 0: unknown
}

// maxEventParts is the maximum number of parts in one event. It keeps an event within a
// datagram.
const maxEventParts = 8

// maxKeyBytes is the size of a key, in bytes.
const maxKeyBytes = 32

// Key returns the key of the part with an id: the id, or a hash of it if it is long or has
// characters that an encoding may escape.
func Key(id string) string {
	if len(id) <= maxKeyBytes && !strings.ContainsFunc(id, isNotPlain) {
		return id
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	return fmt.Sprintf("hash-%x", h.Sum64())
}

// isNotPlain reports whether a character is neither an ASCII letter or digit nor one of -_.:
func isNotPlain(r rune) bool {
	return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && !strings.ContainsRune("-_.:", r)
}
