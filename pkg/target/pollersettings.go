package target

import "time"

// PollerSettings configures a Poller. Zero values select the defaults.
type PollerSettings struct {
	Limits      Limits
	Adapters    map[Kind]Adapter // default: the result of Adapters for a new HTTP client
	Interval    time.Duration    // time between two reports of a target
	Concurrency int              // largest number of concurrent reads
	// MaxReportRate limits the reports read per second by lengthening the
	// interval when there are many targets. Zero means no limit. A report costs
	// about 0.1 ms of CPU, so 600 targets every 500 ms would take over 10% of a
	// core. If only the report of a target shows that the target is leaving, a
	// longer interval delays the detection.
	MaxReportRate float64
}

// Defaults of PollerSettings.
const (
	DefaultReportInterval    = 500 * time.Millisecond
	DefaultReportConcurrency = 32
)

// tickInterval is the time between two checks of the schedule and the time
// limits. It is also the longest delay of a read that is due. At 20 ms the
// wake-ups took over a quarter of the CPU time of an idle daemon.
const tickInterval = 50 * time.Millisecond

// withDefaults returns s with zero values replaced by the defaults.
func (s PollerSettings) withDefaults() PollerSettings {
	if s.Limits == (Limits{}) {
		s.Limits = DefaultLimits()
	}
	if s.Adapters == nil {
		s.Adapters = Adapters(reportClient())
	}
	if s.Interval == 0 {
		s.Interval = DefaultReportInterval
	}
	if s.Concurrency == 0 {
		s.Concurrency = DefaultReportConcurrency
	}
	return s
}
