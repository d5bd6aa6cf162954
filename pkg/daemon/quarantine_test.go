package daemon

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/target"
)

// Guards against a failed target that is reported repeatedly or never, and against
// reporting a target as failed that was draining before its state became Gone.
func TestTargetFailureIsReportedOnce(t *testing.T) {
	view := func(state target.State) []target.Status {
		return []target.Status{{Target: target.Target{ID: "t1"}, State: state}}
	}
	states := make(targetStates)
	for i, step := range []struct {
		state  target.State
		failed int
	}{
		{target.Joining, 0}, {target.Ready, 0}, {target.Suspect, 1}, {target.Suspect, 0},
		{target.Ready, 0}, {target.Draining, 0}, {target.Gone, 0},
	} {
		failed, lost := states.update(view(step.state))
		assert.Equal(t, len(failed), step.failed, "step %d", i)
		assert.Equal(t, lost, step.failed > 0, "step %d", i)
	}
	failed, lost := states.update(nil)
	assert.Equal(t, len(failed), 0)
	assert.Assert(t, lost, "target left the view but was not reported as lost")
	assert.Equal(t, len(states), 0)
}
