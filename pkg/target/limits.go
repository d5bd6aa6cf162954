package target

import "time"

// Limits are the times and counts that move a target through its life cycle.
type Limits struct {
	// GoneAfter is how long reports must fail without a success until a target is gone.
	GoneAfter time.Duration
	// MissingAfter is how long a target that the list no longer names, but
	// that still reports, keeps taking work. It must exceed the lag of the list.
	MissingAfter time.Duration
	// RestartAfter is how long a target must be suspect to count as restarted,
	// with a cold cache and a new slow start, when it reports again.
	RestartAfter time.Duration
	// SuspectFailures is the number of consecutive failed reports that make a target suspect.
	SuspectFailures int
}

// Defaults of Limits.
const (
	DefaultGoneAfter    = 10 * time.Second
	DefaultMissingAfter = 15 * time.Second
	DefaultRestartAfter = 3 * time.Second
	// DefaultSuspectFailures tolerates one report lost to a busy target.
	// Two failures at ReportInterval still stop new work within 2 s.
	DefaultSuspectFailures = 2
)

// DefaultLimits returns the limits used when the settings name none.
func DefaultLimits() Limits {
	return Limits{
		GoneAfter:       DefaultGoneAfter,
		MissingAfter:    DefaultMissingAfter,
		RestartAfter:    DefaultRestartAfter,
		SuspectFailures: DefaultSuspectFailures,
	}
}
