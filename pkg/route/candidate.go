package route

import (
	"slices"
	"time"

	"github.com/peppertrail/peppertrail/pkg/target"
)

// candidate is a target that may take a request.
type candidate struct {
	status *target.Status
	trafficShare  float64 // share of full traffic under slow start, above 0 to 1
}

// slots is the number of requests that the target can run at once, at least 1.
func (c candidate) slots() float64 {
	return float64(max(c.status.Snapshot.Capacity, 1))
}

// requests is the number of requests at the target: the reported ones and
// this daemon's dispatches since the report.
func (c candidate) requests() float64 {
	s := c.status
	return float64(s.Snapshot.Running + s.Snapshot.Waiting + s.SinceReport)
}

// loadWithNext is the number of requests per place that the target would have with
// one request more, scaled up during slow start. Counting the new request
// makes idle targets of different capacity and share comparable.
func (c candidate) loadWithNext() float64 {
	return (c.requests() + 1) / (c.slots() * c.trafficShare)
}

// queueWithNext is the number of requests beyond the places if one more is dispatched.
func (c candidate) queueWithNext() float64 {
	return max(0, c.requests()+1-c.slots())
}

// estimatedWait estimates the time until one more request gets a place.
func (c candidate) estimatedWait(executionTime time.Duration) time.Duration {
	return time.Duration(c.queueWithNext() / c.slots() * float64(executionTime))
}

// usable reports whether a target may take new work of a request. A target
// that was never heard from may be dead, so it takes none.
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
