package target

import "time"

// Limits are the durations and counts that cause state changes of a target.
type Limits struct {
	// GoneAfter is how long reports must fail without a success before a target
	// is gone.
	GoneAfter time.Duration
	// DrainUnlistedAfter is the time after which a target drains if the
	// membership list omits it. Until then it takes work as long as its reports
	// succeed. It must exceed the lag of the list.
	DrainUnlistedAfter time.Duration
	// RestartAfter is how long a target must be suspect to be treated as
	// restarted when it reports again. A restarted target has a cold cache and
	// a new slow start.
	RestartAfter time.Duration
	// ReportLag is the age of the figures of a report on arrival. Dispatches
	// within this time before the arrival are not in the figures yet and stay
	// in Status.DispatchesSinceReport.
	ReportLag time.Duration
	// SuspectFailures is the number of consecutive failed reports that make a
	// target suspect.
	SuspectFailures int
}

// Defaults of Limits.
const (
	DefaultGoneAfter          = 10 * time.Second
	DefaultDrainUnlistedAfter = 15 * time.Second
	DefaultRestartAfter       = 3 * time.Second
	// DefaultReportLag is the lag assumed for engines, which refresh their
	// metrics several times per second.
	DefaultReportLag = 200 * time.Millisecond
	// DefaultSuspectFailures tolerates one report lost by a busy target. Two
	// failures at DefaultReportInterval still stop new work within 2 s.
	DefaultSuspectFailures = 2
)

// DefaultLimits returns the limits used when the settings contain none.
func DefaultLimits() Limits {
	return Limits{
		GoneAfter:          DefaultGoneAfter,
		DrainUnlistedAfter: DefaultDrainUnlistedAfter,
		RestartAfter:       DefaultRestartAfter,
		ReportLag:          DefaultReportLag,
		SuspectFailures:    DefaultSuspectFailures,
	}
}
