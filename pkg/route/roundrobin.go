package route

import (
	"sync/atomic"
	"time"

	"github.com/peppertrail/peppertrail/pkg/target"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// RoundRobin is a baseline policy that picks the usable targets in turn,
// regardless of their load.
type RoundRobin struct {
	picks atomic.Uint64 // number of picks so far
}

// Pick implements Policy. It never refuses for load or deadline.
func (p *RoundRobin) Pick(req Request, view []target.Status, _ time.Time) (target.Target, *verdict.Error) {
	targets := usableTargets(req, view)
	if len(targets) == 0 {
		return target.Target{}, refuseNoTarget(req, sharedRand{})
	}
	index := p.picks.Add(1) - 1
	return targets[index%uint64(len(targets))].Target, nil
}

// usableTargets returns the targets that may take req.
func usableTargets(req Request, view []target.Status) []*target.Status {
	var targets []*target.Status
	for i := range view {
		if usable(&view[i], &req) {
			targets = append(targets, &view[i])
		}
	}
	return targets
}
