package daemon

import (
	"fmt"
	"time"

	"github.com/peppertrail/peppertrail/pkg/target"
	"github.com/peppertrail/peppertrail/pkg/telemetry"
)

// targetStates holds the last known state of each target by target id, to detect
// targets that fail.
type targetStates map[string]target.State

// update returns the targets that failed since the last call, which means that they
// changed from a working state to Suspect or Gone. lost reports whether any target
// failed or left the view.
func (s targetStates) update(view []target.Status) (failed []target.Status, lost bool) {
	seen := make(map[string]bool, len(view))
	for _, status := range view {
		id := status.Target.ID
		seen[id] = true
		if working(s[id]) && (status.State == target.Suspect || status.State == target.Gone) {
			failed = append(failed, status)
		}
		s[id] = status.State
	}
	for id := range s {
		if !seen[id] {
			delete(s, id)
			lost = true
		}
	}
	return failed, lost || len(failed) > 0
}

func working(state target.State) bool {
	return state == target.Ready || state == target.Joining
}

// recordFailedTargets records a repair for each target that failed since the last
// call and receives no new work. It also records the time at which a target was last
// lost.
func (d *Daemon) recordFailedTargets(states targetStates) {
	failed, lost := states.update(d.poller.View())
	if lost {
		d.lastTargetLossNs.Store(time.Now().UnixNano())
	}
	for _, status := range failed {
		text := fmt.Sprintf("The target at %s is %s: its connections or reports failed. It gets no new work until it reports again.", status.Target.Addr, status.State)
		d.repairs.add(telemetry.RepairTargetQuarantined, status.Target.ID, text)
	}
}
