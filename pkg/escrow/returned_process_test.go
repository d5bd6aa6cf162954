package escrow

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/standin/rowstore"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// Guards against a budget that is spent twice because the share of an expired lease counts as unused when its process is killed.
func TestExpiredShareOfKilledProcessIsNotSpentAgain(t *testing.T) {
	const prepaid, size = 20_000, 500
	c := newTestCluster(t, 1)
	budgets := map[string]int64{"regie": prepaid}
	first := c.start("a", "a1", budgets)
	spent := int64(0)
	for spent < prepaid/2 {
		spent += first.spend(t, "regie", size)
	}
	first.rows.SetFaults(rowstore.Faults{Cut: true})
	c.advanceClock(leaseDuration + time.Second)
	first.rows.SetFaults(rowstore.Faults{RefusedPart: "regie"}) // reports are stored, the account cannot be changed
	c.eventually("report of the next epoch stored", func() bool {
		first.mu.Lock()
		defer first.mu.Unlock()
		return first.ownReports.confirmed.report.Customers["regie"].Epoch == 1
	})
	first.cancel()
	second := c.start("a", "a2", budgets)
	c.eventually("share of the first epoch closed", func() bool {
		_, open := c.account("regie").Shares[Share{Incarnation: "a1"}.key()]
		return !open
	})
	for range prepaid / size {
		spent += second.spend(t, "regie", size)
	}
	assert.Assert(t, spent <= prepaid, "%d of %d prepaid tokens spent", spent, prepaid)
}

// Guards against new shares of a host that was silent for longer than its lease, which another host closes with the report from before.
func TestShareOfReturnedProcessStaysOpen(t *testing.T) {
	c := newTestCluster(t, 2)
	n := c.start("b", "b1", map[string]int64{"regie": 100_000})
	n.markEnded(map[string]UsageReport{"a1": {Host: "a", Incarnation: "a1", Complete: true}})
	c.advanceClock(leaseDuration + 2*reclaimMargin)
	c.eventually("report of b stored", func() bool { return n.lastReportAge() < time.Second })
	n.markEnded(map[string]UsageReport{"a1": {Host: "a", Incarnation: "a1", Complete: true}})
	share := Share{Host: "a", Incarnation: "a1", Epoch: 1, Amount: 1_000, Seq: 1}
	n.mu.Lock()
	assert.Equal(t, n.endedProcesses["a1"].maxSpent("regie", share), share.Amount, "a share newer than the report may be spent")
	n.mu.Unlock()
	reply, err := n.ChangeShare(t.Context(), ShareRequest{Customer: "regie", Share: share})
	assert.NilError(t, err)
	assert.Assert(t, reply.Held)
	time.Sleep(2 * reviewInterval)
	_, open := c.account("regie").Shares[share.key()]
	assert.Assert(t, open)
}

// Guards against a broker that changes no accounts for other hosts while it cannot store a report of its own.
func TestBrokerWithoutReportServesOtherHosts(t *testing.T) {
	c := newTestCluster(t, 2)
	c.wrapRows = func(_ string, rows *rowstore.Client) storage.Rows {
		return tableWritesRefused{Rows: rows, table: usages}
	}
	n := c.launch("b", "b1", map[string]int64{"regie": 100_000})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	reply, err := n.ChangeShare(ctx, ShareRequest{Customer: "regie", Share: Share{Host: "a", Incarnation: "a1", Amount: 1_000, Seq: 1}})
	assert.NilError(t, err)
	assert.Equal(t, reply.Share.Amount, int64(1_000))
}
