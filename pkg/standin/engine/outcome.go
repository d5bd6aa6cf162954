package engine

// Outcome is the state of a stream in the journal.
type Outcome string

// Outcomes of a stream.
const (
	Queued    Outcome = "queued"    // accepted, waits for a slot, has not run
	Running   Outcome = "running"   // holds a slot
	Completed Outcome = "completed" // generated its whole answer
	Cancelled Outcome = "cancelled" // ended by a cancel; it ran only if it has a start time
)
