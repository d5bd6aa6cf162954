package target

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// observation is a message to the goroutine that owns a tracker.
type observation interface {
	// apply updates t with the observation.
	apply(t *Tracker)
}

// observedMembers is the membership list and the services of the configuration
// bundle in force, sent when either of them is new.
type observedMembers struct {
	members  []storage.Member
	services map[string]ServiceInfo
	at       time.Time
}

func (o observedMembers) apply(t *Tracker) { t.Apply(o.members, o.services, o.at) }

// observedReport is a report that was read successfully. It and
// observedReportFailure contain the address that was read, since a report of a
// previous instance does not apply to the current one.
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
	dispatchWouldFail bool // a dispatch at this time would fail too
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

// observedDispatchFailure is a dispatch whose connection was refused or reset.
type observedDispatchFailure struct {
	id string
	at time.Time
}

func (o observedDispatchFailure) apply(t *Tracker) { t.DispatchFailed(o.id, o.at) }

// observedDrain is an operator's command to drain a target.
type observedDrain struct {
	id string
	at time.Time
}

func (o observedDrain) apply(t *Tracker) { t.Drain(o.id, o.at) }

// observedDispatchStart is the start of a dispatch.
type observedDispatchStart struct {
	id string
	at time.Time
}

func (o observedDispatchStart) apply(t *Tracker) { t.DispatchStarted(o.id, o.at) }

// observedDispatchEnd is the end of a dispatch.
type observedDispatchEnd struct {
	id string
	at time.Time
}

func (o observedDispatchEnd) apply(t *Tracker) { t.DispatchEnded(o.id, o.at) }
