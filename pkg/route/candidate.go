package route

import (
	"slices"
	"time"

	"github.com/peppertrail/peppertrail/pkg/target"
)

// candidate is a usable target that is considered for a request.
type candidate struct {
	status       *target.Status
	trafficShare float64 // share of normal traffic during slow start, relative to the largest share among the candidates: above 0, at most 1
}

// slots returns the number of requests that the target can run at once, at
// least 1.
func (c candidate) slots() float64 {
	return float64(max(c.status.Snapshot.Capacity, 1))
}

// requests returns the number of requests at the target: the running and
// waiting ones of the last report, and this daemon's dispatches that the report
// does not contain yet.
func (c candidate) requests() float64 {
	s := c.status
	return float64(s.Snapshot.Running + s.Snapshot.Waiting + s.DispatchesSinceReport)
}

// loadWithNext returns the requests per slot that the target would have after
// one more dispatch, divided by its traffic share during slow start. Counting
// the new request makes idle targets of different capacity and share
// comparable.
func (c candidate) loadWithNext() float64 {
	return (c.requests() + 1) / (c.slots() * c.trafficShare)
}

// queueWithNext returns the number of requests that would wait for a slot after
// one more dispatch.
func (c candidate) queueWithNext() float64 {
	return max(0, c.requests()+1-c.slots())
}

// estimatedWait estimates how long one more request would wait for a slot, if
// each request holds a slot for executionTime.
func (c candidate) estimatedWait(executionTime time.Duration) time.Duration {
	return time.Duration(c.queueWithNext() / c.slots() * float64(executionTime))
}

// usable reports whether a request may be dispatched to a target. A target
// without a report is not usable, since it may be dead.
func usable(s *target.Status, req *Request) bool {
	if s.Target.Service != req.Service {
		return false
	}
	if s.State != target.Ready && s.State != target.Joining {
		return false
	}
	if s.Snapshot.ReportedAt.IsZero() || s.Snapshot.Draining {
		return false
	}
	return !slices.Contains(req.Exclude, s.Target.ID)
}
