package engine

import "time"

// State is the state of an engine in its JSON report.
type State string

// States of an engine.
const (
	Loading  State = "LOADING"
	Serving  State = "SERVING"
	Draining State = "DRAINING"
)

// Report is the state of an engine. It is the response to GET /status of kind
// jsonstatus.
type Report struct {
	State      State   `json:"state"`
	SlotsTotal int     `json:"slots_total"`
	SlotsBusy  int     `json:"slots_busy"`
	QueueDepth int     `json:"queue_depth"`
	KVUsed     float64 `json:"kv_used"` // share of the KV cache held by running streams, 0 to 1
	Fencing    uint64  `json:"fencing"` // highest fencing number seen
}

// timedReport is a report and the time from which it was current.
type timedReport struct {
	at     time.Time
	report Report
}

// reportLog keeps the reports that were current at some time within the last lag, so
// that it can return the report of the state that long ago.
type reportLog struct {
	lag     time.Duration // age of the state that delayed returns
	reports []timedReport
}

// add appends a report if it differs from the previous one.
func (l *reportLog) add(now time.Time, r Report) {
	l.prune(now)
	if n := len(l.reports); n > 0 && l.reports[n-1].report == r {
		return
	}
	l.reports = append(l.reports, timedReport{at: now, report: r})
}

// delayed returns the report that was current lag ago, or the oldest one if there
// was none then.
func (l *reportLog) delayed(now time.Time) Report {
	l.prune(now)
	return l.reports[0].report
}

// prune drops the reports that were replaced more than lag ago.
func (l *reportLog) prune(now time.Time) {
	cutoff := now.Add(-l.lag)
	first := 0
	for first+1 < len(l.reports) && !l.reports[first+1].at.After(cutoff) {
		first++
	}
	l.reports = append(l.reports[:0], l.reports[first:]...)
}
