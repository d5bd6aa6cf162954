package target

import (
	"slices"
	"time"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// record is what a tracker keeps of one target.
type record struct {
	status       Status
	listed       bool          // the newest list names the target
	listLeaving  bool          // the newest list says that it leaves
	dropped      bool          // the list omitted it after it began to drain
	missingSince time.Time     // when the list stopped naming it; zero while listed
	slowStart    time.Duration // from the service's configuration
	joinedAt     time.Time     // first report of this instance; zero before it
	failedAt     time.Time     // latest refused or reset connection
	starts       []time.Time   // dispatches that the snapshot may not contain, oldest first
	failures     int           // consecutive failed reports
	failingSince time.Time     // first of these; zero after a success
}

// describe returns the target that the list and the service's configuration describe.
func describe(m storage.Member, s ServiceInfo) Target {
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

// moved reports whether t runs elsewhere or serves something else than the record's target.
func (r *record) moved(t Target) bool {
	return r.status.Target.Addr != t.Addr || r.status.Target.Service != t.Service
}

// forgetInstance clears what was observed of the previous instance. Dispatches
// in flight to it still count until they end.
func (r *record) forgetInstance() {
	r.status.Snapshot = Snapshot{}
	r.starts = nil
	r.status.SinceReport = 0
	r.joinedAt = time.Time{}
	r.dropped = false
	r.failedAt = time.Time{}
	r.succeeded()
}

// started counts a dispatch at now.
func (r *record) started(now time.Time) {
	r.starts = append(r.starts, now)
	r.status.Outstanding++
	r.status.SinceReport++
}

// ended counts the end of a dispatch. The dispatches since the report can't
// exceed those that have not ended, which keeps short calls from piling up
// between reports.
func (r *record) ended() {
	r.status.Outstanding--
	r.status.SinceReport = min(r.status.SinceReport, r.status.Outstanding)
}

// replaceSnapshot takes a new snapshot whose figures are lag old.
func (r *record) replaceSnapshot(s Snapshot, lag time.Duration) {
	taken := s.ReportedAt.Add(-lag)
	contained := 0
	for contained < len(r.starts) && !r.starts[contained].After(taken) {
		contained++
	}
	r.starts = slices.Delete(r.starts, 0, contained)
	r.status.Snapshot = s
	r.status.SinceReport = min(len(r.starts), r.status.Outstanding)
}

// succeeded ends a series of failed reports.
func (r *record) succeeded() {
	r.failures = 0
	r.failingSince = time.Time{}
}

// failed counts a failed report at now.
func (r *record) failed(now time.Time) {
	if r.failures == 0 {
		r.failingSince = now
	}
	r.failures++
}

// warm reports whether the slow start is over at now.
func (r *record) warm(now time.Time) bool {
	return !r.joinedAt.IsZero() && now.Sub(r.joinedAt) >= r.slowStart
}

// silent reports whether reports have failed for d at now.
func (r *record) silent(now time.Time, d time.Duration) bool {
	return r.failures > 0 && now.Sub(r.failingSince) >= d
}

// missing reports whether the list has not named the target for d at now.
func (r *record) missing(now time.Time, d time.Duration) bool {
	return !r.listed && now.Sub(r.missingSince) >= d
}
