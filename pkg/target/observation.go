package target

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// observation is a message to the goroutine that owns a tracker.
type observation interface {
	// apply takes the observation into t.
	apply(t *Tracker)
}

// observedList is a new membership list or bundle.
type observedList struct {
	members  []storage.Member
	services map[string]ServiceInfo
	at       time.Time
}

func (o observedList) apply(t *Tracker) { t.Apply(o.members, o.services, o.at) }

// observedReport is a report that was read. Outcomes of reads carry the
// address, since one read from a previous instance says nothing of the new one.
type observedReport struct {
	id       string
	addr     string
	snapshot Snapshot
	at       time.Time
}

func (o observedReport) apply(t *Tracker) {
	if t.runsAt(o.id, o.addr) {
		t.Report(o.id, o.snapshot, o.at)
	}
}

// observedReportFailure is a report that could not be read.
type observedReportFailure struct {
	id      string
	addr    string
	refused bool // dispatches would fail as well
	at      time.Time
}

func (o observedReportFailure) apply(t *Tracker) {
	if !t.runsAt(o.id, o.addr) {
		return
	}
	if o.refused {
		t.DispatchFailed(o.id, o.at)
	}
	t.ReportFailed(o.id, o.at)
}

// observedDispatchFailure is a refused or reset connection.
type observedDispatchFailure struct {
	id string
	at time.Time
}

func (o observedDispatchFailure) apply(t *Tracker) { t.DispatchFailed(o.id, o.at) }

// observedDrain is an operator's command.
type observedDrain struct {
	id string
	at time.Time
}

func (o observedDrain) apply(t *Tracker) { t.Drain(o.id, o.at) }

// observedStart is a dispatch.
type observedStart struct {
	id string
	at time.Time
}

func (o observedStart) apply(t *Tracker) { t.Started(o.id, o.at) }

// observedEnd is the end of a dispatch.
type observedEnd struct {
	id string
	at time.Time
}

func (o observedEnd) apply(t *Tracker) { t.Ended(o.id, o.at) }
