package crashes

import "time"

// EventKind says what an Event reports.
type EventKind string

// Kinds of events.
const (
	Crashed  EventKind = "crash"    // Target broke off a request with Keys before it had answered it
	Alive    EventKind = "alive"    // Target has answered since it was reported as crashed
	Answered EventKind = "answered" // a request with each of Keys was answered
	Blocked  EventKind = "blocked"  // requests with Keys are blocked for Remaining
)

// Event is what hosts tell each other.
type Event struct {
	Kind      EventKind
	Target    Target
	Keys      []string `json:"Parts"` // see PartKey and RequestKey
	Remaining time.Duration
	Trials    int `json:",omitempty"` // requests that have crashed targets since Keys were blocked
}

// Target identifies one start of a target.
type Target struct {
	ID   string
	Born int64 // start in Unix milliseconds, which tells starts with the same ID apart; 0: unknown
}

// maxEventKeys is the maximum number of keys in one event. It keeps an event within a
// datagram.
const maxEventKeys = 8
