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

// observedMembers is a new membership list or bundle.
type observedMembers struct {
	members  []storage.Member
	services map[string]ServiceInfo
	at       time.Time
}

func (o observedMembers) apply(t *Tracker) { t.Apply(o.members, o.services, o.at) }

// observedReport is a report that was read. Outcomes of reads carry the
// address, since one read from a previous instance says nothing of the new one.
type observedReport struct {
	id       string
	addr     string
	snapshot Snapshot
	at       time.Time
}

func (o observedReport) apply(t *Tracker) {
	if t.knownAt(o.id, o.addr) {
		t.Report(o.id, o.snapshot, o.at)
	}
}

// observedReportFailure is a report that could not be read.
type observedReportFailure struct {
	id                string
	addr              string
	dispatchWouldFail bool // dispatches would fail as well
	at                time.Time
}

func (o observedReportFailure) apply(t *Tracker) {
	if !t.knownAt(o.id, o.addr) {
		return
	}
	if o.dispatchWouldFail {
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

// observedDispatchStart is a dispatch.
type observedDispatchStart struct {
	id string
	at time.Time
}

func (o observedDispatchStart) apply(t *Tracker) { t.Started(o.id, o.at) }

// observedDispatchEnd is the end of a dispatch.
type observedDispatchEnd struct {
	id string
	at time.Time
}

func (o observedDispatchEnd) apply(t *Tracker) { t.Ended(o.id, o.at) }
