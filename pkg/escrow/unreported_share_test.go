package escrow

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a customer that is refused because a report without its entry was stored before the host got a share.
func TestNewCustomerIsServedBeforeNextIdleReport(t *testing.T) {
	c := newTestCluster(t, 1)
	n := c.start("a", "a1", map[string]int64{"office": 1_000_000})
	n.SetBudgets(map[string]int64{"regie": 1_000_000})
	c.eventually("account of the new customer loaded", n.Loaded)
	start := time.Now()
	assert.Equal(t, n.spend(t, "regie", 20_000), int64(20_000))
	assert.Assert(t, time.Since(start) < idleReportInterval/2, "served after %s", time.Since(start))
}
