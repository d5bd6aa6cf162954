package crashes

import (
	"slices"
	"time"
)

// EventKind says what an Event reports.
type EventKind string

// Kinds of events.
const (
	Crashed  EventKind = "crash"    // Target broke off a request with Keys before it had answered it
	Alive    EventKind = "alive"    // Target has answered since it was reported as crashed
	Answered EventKind = "answered" // a request with each of Keys was answered, which began Age ago
	Blocked  EventKind = "blocked"  // requests with Keys are blocked for Remaining
)

// Event is what hosts tell each other.
type Event struct {
	Kind      EventKind
	Target    Target
	Keys      []string `json:"Parts"` // see PartKey and RequestKey
	Remaining time.Duration
	Trials    int `json:",omitempty"` // requests that have crashed targets since Keys were blocked
	// Age is how long ago the answer had begun, if Kind is Answered, Target has crashed, if it is
	// Crashed, or the last crash under Keys was recorded, if it is Blocked. 0: now, or a host of an earlier release has sent the event.
	Age time.Duration `json:",omitempty"`
}

// ForAll reports whether all hosts should be told, however many there are: the block of a part or
// the beginning of its trial, which is rare, and which each further host would send as well.
func (e Event) ForAll() bool {
	return e.Kind == Blocked && !slices.ContainsFunc(e.Keys, isRequest)
}

// Target identifies one start of a target.
type Target struct {
	ID   string
	Born int64 // start in Unix milliseconds, which tells starts with the same ID apart; 0: unknown
}

// maxEventKeys is the maximum number of keys in one event. It keeps an event within a
// datagram.
const maxEventKeys = 8
