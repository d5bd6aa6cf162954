package escrow

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/standin/rowstore"
)

// spendFor spends in small requests for the given time and returns the tokens
// spent.
func spendFor(t *testing.T, n *testProcess, d time.Duration) (spent int64) {
	t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); {
		spent += n.spend(t, "regie", 100)
		time.Sleep(time.Millisecond)
	}
	return spent
}

// Guards against a host that was paused beyond its lease and, after its next
// report, spends the share that another host has closed meanwhile.
func TestPausedHostDoesNotSpendItsFormerShare(t *testing.T) {
	c := newTestCluster(t, 2)
	budgets := map[string]int64{"regie": 20_000}
	a, b := c.start("a", "a1", budgets), c.start("b", "b1", budgets)
	spent := a.spend(t, "regie", 100)
	for range 3 { // the measured demand falls, so that few tokens count as spent
		c.advanceClock(leaseDuration / 2)
		c.eventually("reports of a and b stored", func() bool { return a.lastReportAge() < time.Second && b.lastReportAge() < time.Second })
	}
	a.rows.SetFaults(rowstore.Faults{Cut: true})
	c.advanceClock(leaseDuration + 2*reclaimMargin)
	c.eventually("report of b stored", func() bool { return b.lastReportAge() < time.Second })
	c.reclaimShares(b, "a")
	c.eventually("share of a closed", func() bool { return len(c.account("regie").Shares) == 1 })
	spent += spendFor(t, b, 2*time.Second)
	a.rows.SetFaults(rowstore.Faults{RefusedPart: "regie"}) // the account stays unreachable, usage reports get through
	c.eventually("report of a stored", func() bool { return a.lastReportAge() < time.Second })
	spent += spendFor(t, a, 2*time.Second)
	assert.Assert(t, spent <= 20_000, "spent %d of 20000 prepaid tokens", spent)
}

// Guards against a host that was paused beyond its lease and whose new shares
// are closed again and again, as if its process had ended.
func TestPausedHostGetsSharesAgain(t *testing.T) {
	c := newTestCluster(t, 2)
	budgets := map[string]int64{"regie": 1_000_000}
	a, b := c.start("a", "a1", budgets), c.start("b", "b1", budgets)
	spendFor(t, a, 300*time.Millisecond)
	a.rows.SetFaults(rowstore.Faults{Cut: true})
	c.advanceClock(leaseDuration + 2*reclaimMargin)
	c.eventually("report of b stored", func() bool { return b.lastReportAge() < time.Second })
	c.reclaimShares(b, "a")
	c.eventually("share of a closed", func() bool { return len(c.account("regie").Shares) == 1 })
	a.rows.SetFaults(rowstore.Faults{})
	c.eventually("report of a stored", func() bool { return a.lastReportAge() < time.Second })
	settled := c.account("regie").Settled
	spent := int64(0)
	for range 10 {
		spent += spendFor(t, a, 100*time.Millisecond)
		spent += spendFor(t, b, 100*time.Millisecond)
	}
	account := c.account("regie")
	assert.Assert(t, account.Settled <= settled, "%d more tokens count as spent by ended processes", account.Settled-settled)
	assert.Assert(t, spent >= 20_000, "spent only %d tokens, want at least 20000", spent)
}

// lastReportAge returns the age of the last report that the table has stored.
func (n *testProcess) lastReportAge() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ownReports.confirmed == nil {
		return time.Hour
	}
	return n.options.Clock() - n.ownReports.confirmed.sentAt
}
