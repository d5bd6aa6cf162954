package target

import (
	"slices"
	"time"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// record is what a tracker keeps of one target.
type record struct {
	status               Status
	listed               bool          // the newest list names the target
	listedLeaving        bool          // the newest list says that it leaves
	omittedWhileDraining bool          // the list omitted it after it began to drain
	unlistedSince        time.Time     // when the list stopped naming it; zero while listed
	slowStart            time.Duration // from the service's configuration
	firstReportAt        time.Time     // first report of this instance; zero before it
	dispatchFailedAt     time.Time     // latest refused or reset connection
	unreportedDispatches []time.Time   // dispatches that the snapshot may not contain, oldest first
	reportFailures       int           // consecutive failed reports
	firstReportFailureAt time.Time     // first of these; zero after a success
}

// newTarget returns the target that the list and the service's configuration newTarget.
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

// movedTo reports whether t runs elsewhere or serves something else than the record's target.
func (r *record) movedTo(t Target) bool {
	return r.status.Target.Addr != t.Addr || r.status.Target.Service != t.Service
}

// clearObservations clears what was observed of the previous instance. Dispatches
// in flight to it still count until they end.
func (r *record) clearObservations() {
	r.status.Snapshot = Snapshot{}
	r.unreportedDispatches = nil
	r.status.SinceReport = 0
	r.firstReportAt = time.Time{}
	r.omittedWhileDraining = false
	r.dispatchFailedAt = time.Time{}
	r.reportSucceeded()
}

// dispatchStarted counts a dispatch at now.
func (r *record) dispatchStarted(now time.Time) {
	r.unreportedDispatches = append(r.unreportedDispatches, now)
	r.status.Outstanding++
	r.status.SinceReport++
}

// dispatchEnded counts the end of a dispatch. The dispatches since the report can't
// exceed those that have not dispatchEnded, which keeps short calls from piling up
// between reports.
func (r *record) dispatchEnded() {
	r.status.Outstanding--
	r.status.SinceReport = min(r.status.SinceReport, r.status.Outstanding)
}

// replaceSnapshot takes a new snapshot whose figures are lag old.
func (r *record) replaceSnapshot(s Snapshot, lag time.Duration) {
	measuredAt := s.ReportedAt.Add(-lag)
	contained := 0
	for contained < len(r.unreportedDispatches) && !r.unreportedDispatches[contained].After(measuredAt) {
		contained++
	}
	r.unreportedDispatches = slices.Delete(r.unreportedDispatches, 0, contained)
	r.status.Snapshot = s
	r.status.SinceReport = min(len(r.unreportedDispatches), r.status.Outstanding)
}

// reportSucceeded ends a series of failed reports.
func (r *record) reportSucceeded() {
	r.reportFailures = 0
	r.firstReportFailureAt = time.Time{}
}

// reportFailed counts a reportFailed report at now.
func (r *record) reportFailed(now time.Time) {
	if r.reportFailures == 0 {
		r.firstReportFailureAt = now
	}
	r.reportFailures++
}

// slowStartOver reports whether the slow start is over at now.
func (r *record) slowStartOver(now time.Time) bool {
	return !r.firstReportAt.IsZero() && now.Sub(r.firstReportAt) >= r.slowStart
}

// reportsFailedFor reports whether reports have failed for d at now.
func (r *record) reportsFailedFor(now time.Time, d time.Duration) bool {
	return r.reportFailures > 0 && now.Sub(r.firstReportFailureAt) >= d
}

// unlistedFor reports whether the list has not named the target for d at now.
func (r *record) unlistedFor(now time.Time, d time.Duration) bool {
	return !r.listed && now.Sub(r.unlistedSince) >= d
}
