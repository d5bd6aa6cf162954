package home

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a reservation that stays open after its entry daemon died, and
// thereby blocks the graceful stop of its home.
func TestLocalChargesAbandonedAttempt(t *testing.T) {
	w := newTestCluster(1)
	w.createBudget("b", 1000)
	d := w.daemons[0]
	reserveAndAwait(t, w, d, request("r1"))
	w.tick(d, DefaultMaxAttempt)
	assert.Equal(t, d.local.ledger.Running(), 0)
	w.runUntilIdle(d)
	line := w.lines("c")["r1"]
	assert.Equal(t, line.Total(), int64(50))
	assert.Assert(t, line.Estimated)
	assert.Assert(t, !line.Completed)
}
