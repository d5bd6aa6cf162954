package route

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/target"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// LeastReportedLoad is a baseline policy that picks the target with the lowest
// reported load, and the first one in the view on a tie. It does not count
// dispatches since the report.
type LeastReportedLoad struct{}

// Pick implements Policy. It never refuses for load or deadline.
func (LeastReportedLoad) Pick(req Request, view []target.Status, _ time.Time) (target.Target, *verdict.Error) {
	targets := usableTargets(req, view)
	if len(targets) == 0 {
		return target.Target{}, refuseNoTarget(req, sharedRand{})
	}
	best := targets[0]
	for _, s := range targets[1:] {
		if reportedLoad(s) < reportedLoad(best) {
			best = s
		}
	}
	return best.Target, nil
}

// reportedLoad returns the reported requests per slot.
func reportedLoad(s *target.Status) float64 {
	return float64(s.Snapshot.Running+s.Snapshot.Waiting) / float64(max(s.Snapshot.Capacity, 1))
}
