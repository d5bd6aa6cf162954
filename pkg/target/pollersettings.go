package target

import "time"

// PollerSettings configure a Poller. Zero values mean the defaults.
type PollerSettings struct {
	Limits      Limits
	Adapters    map[Kind]Adapter // default: Adapters with a client of its own
	Interval    time.Duration    // time between two reports of a target
	Concurrency int              // reports read at once
	// MaxReportRate bounds the reports read per second by lengthening the
	// interval when there are many targets. Zero: no bound. A report costs
	// about 0.1 ms of CPU, so 600 targets every 500 ms would take over 10% of
	// a core. A longer interval delays the first sign of leaving if it comes
	// from the report only.
	MaxReportRate float64
}

// Defaults of PollerSettings.
const (
	ReportInterval    = 500 * time.Millisecond
	ReportConcurrency = 32
)

// tickInterval is the time between two looks at the schedule and the time
// limits. It bounds how late a poll starts. At 20 ms the wake-ups took over a
// quarter of an idle daemon's processor time.
const tickInterval = 50 * time.Millisecond

// withDefaults returns s with the defaults filled in.
func (s PollerSettings) withDefaults() PollerSettings {
	if s.Limits == (Limits{}) {
		s.Limits = DefaultLimits()
	}
	if s.Adapters == nil {
		s.Adapters = Adapters(reportClient())
	}
	if s.Interval == 0 {
		s.Interval = ReportInterval
	}
	if s.Concurrency == 0 {
		s.Concurrency = ReportConcurrency
	}
	return s
}
