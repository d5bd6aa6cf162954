package ratelimit

import "math"

// Limit is what a target has last said of the requests that it takes from all hosts together.
type Limit struct {
	Target
	// PerSecond is the rate that the target takes, in requests per second. It is of no
	// meaning if the limit has ended.
	PerSecond float64 `json:"per_second"`
	// Ended means that the answers of the target no longer name a limit.
	Ended bool `json:"ended,omitempty"`
	// Revision counts the changes of the limit. Of two statements, hosts believe the one
	// with the higher revision.
	Revision uint64 `json:"revision"`
}

// maxRevision is the largest revision that is accepted of another host. A malformed message
// could otherwise make every later statement look older.
const maxRevision = 1 << 40

// valid reports whether a statement of another host is well formed.
func (l Limit) valid() bool {
	return l.ID != "" && l.Revision > 0 && l.Revision <= maxRevision && l.PerSecond >= 0 && !math.IsInf(l.PerSecond, 1)
}

// supersedes reports whether l is believed instead of other. Of two statements with the same
// revision, it is the stricter one.
func (l Limit) supersedes(other Limit) bool {
	if l.Revision != other.Revision {
		return l.Revision > other.Revision
	}
	if l.Ended != other.Ended {
		return other.Ended
	}
	return !l.Ended && l.PerSecond < other.PerSecond
}
