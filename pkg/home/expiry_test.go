package home

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a reservation that stays open after its entry daemon crashed, and
// thereby blocks the graceful stop of its home.
func TestLocalChargesAbandonedAttempt(t *testing.T) {
	cluster := newTestCluster(1)
	cluster.createBudget("b", 1000)
	d := cluster.daemons[0]
	reserveAndAwait(t, cluster, d, request("r1"))
	cluster.tick(d, DefaultMaxAttempt)
	assert.Equal(t, d.local.ledger.OpenReservations(), 0)
	cluster.runUntilIdle(d)
	line := cluster.lines("c")["r1"]
	assert.Equal(t, line.Total(), int64(50))
	assert.Assert(t, line.Estimated)
	assert.Assert(t, !line.Completed)
}
