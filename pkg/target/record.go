package target

import (
	"slices"
	"time"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// record is the state that a tracker keeps for one target.
type record struct {
	status               Status
	listed               bool          // the newest membership list names the target
	listedLeaving        bool          // the newest membership list says that the target is leaving
	omittedWhileDraining bool          // the target was unlisted while draining, or drains because it was unlisted for DrainUnlistedAfter; when a membership list names it as live again, a new instance starts
	unlistedSince        time.Time     // time of the first list that omitted the target; zero while listed
	slowStart            time.Duration // length of the slow start, from the service's configuration
	firstReportAt        time.Time     // time of the first report of this instance; zero before it
	dispatchFailedAt     time.Time     // time of the latest refused or reset connection
	unreportedDispatches []time.Time   // start times of dispatches that the snapshot may not contain, oldest first
	reportFailures       int           // consecutive failed reports
	firstReportFailureAt time.Time     // time of the first of the consecutive failed reports; zero after a success
}

// newTarget returns the target that a membership list entry and the service's
// configuration describe.
func newTarget(m storage.Member, s ServiceInfo) Target {
	return Target{
		ID:            m.ID,
		Addr:          m.Addr,
		Service:       m.Service,
		Kind:          s.Kind,
		Region:        m.Region,
		FailureDomain: m.FailureDomain,
		Fenced:        s.Fenced,
	}
}

// movedTo reports whether t has another address or service than the record's
// target.
func (r *record) movedTo(t Target) bool {
	return r.status.Target.Addr != t.Addr || r.status.Target.Service != t.Service
}

// clearObservations clears what was observed of the previous instance.
// Dispatches in flight to it stay in Outstanding until they end.
func (r *record) clearObservations() {
	r.status.Snapshot = Snapshot{}
	r.unreportedDispatches = nil
	r.status.DispatchesSinceReport = 0
	r.firstReportAt = time.Time{}
	r.omittedWhileDraining = false
	r.dispatchFailedAt = time.Time{}
	r.reportSucceeded()
}

// dispatchStarted counts a dispatch that started at now.
func (r *record) dispatchStarted(now time.Time) {
	r.unreportedDispatches = append(r.unreportedDispatches, now)
	r.status.Outstanding++
	r.status.DispatchesSinceReport++
}

// dispatchEnded counts the end of a dispatch. DispatchesSinceReport is limited to the
// dispatches that have not ended, so that short calls do not accumulate in it
// between reports.
func (r *record) dispatchEnded() {
	r.status.Outstanding--
	r.status.DispatchesSinceReport = min(r.status.DispatchesSinceReport, r.status.Outstanding)
}

// replaceSnapshot stores a new snapshot whose figures were measured at the time
// lag before ReportedAt.
func (r *record) replaceSnapshot(s Snapshot, lag time.Duration) {
	measuredAt := s.ReportedAt.Add(-lag)
	contained := 0
	for contained < len(r.unreportedDispatches) && !r.unreportedDispatches[contained].After(measuredAt) {
		contained++
	}
	r.unreportedDispatches = slices.Delete(r.unreportedDispatches, 0, contained)
	r.status.Snapshot = s
	r.status.DispatchesSinceReport = min(len(r.unreportedDispatches), r.status.Outstanding)
}

// reportSucceeded ends a series of failed reports.
func (r *record) reportSucceeded() {
	r.reportFailures = 0
	r.firstReportFailureAt = time.Time{}
}

// reportFailed counts a failed report at now.
func (r *record) reportFailed(now time.Time) {
	if r.reportFailures == 0 {
		r.firstReportFailureAt = now
	}
	r.reportFailures++
}

// slowStartOver reports whether the target has reported and its slow start is
// over at now.
func (r *record) slowStartOver(now time.Time) bool {
	return !r.firstReportAt.IsZero() && now.Sub(r.firstReportAt) >= r.slowStart
}

// reportsFailedFor reports whether at now all reports have failed for at least
// d.
func (r *record) reportsFailedFor(now time.Time, d time.Duration) bool {
	return r.reportFailures > 0 && now.Sub(r.firstReportFailureAt) >= d
}

// unlistedFor reports whether at now the membership list has omitted the target
// for at least d.
func (r *record) unlistedFor(now time.Time, d time.Duration) bool {
	return !r.listed && now.Sub(r.unlistedSince) >= d
}
