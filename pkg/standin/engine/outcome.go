package engine

// Outcome is the state of a stream in the journal.
type Outcome string

// Outcomes of a stream.
const (
	Queued    Outcome = "queued"    // accepted and waiting for a slot; it has not run
	Running   Outcome = "running"   // holds a slot
	Completed Outcome = "completed" // generated all its tokens
	Cancelled Outcome = "cancelled" // ended by a cancel; it ran only if it has a start time
)
