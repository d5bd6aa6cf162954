package escrow

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/standin/rowstore"
)

// spendFor spends in small requests until nothing more is given for a while.
func spendFor(t *testing.T, n *testProcess, d time.Duration) (spent int64) {
	t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); {
		spent += n.spend(t, "regie", 100)
		time.Sleep(time.Millisecond)
	}
	return spent
}

// Guards against a host that was paused beyond its lease and after its next
// report spends the share that another host has closed meanwhile.
func TestPausedHostDoesNotSpendItsFormerShare(t *testing.T) {
	w := newTestCluster(t, 2)
	budgets := map[string]int64{"regie": 20_000}
	a, b := w.start("a", "a1", budgets), w.start("b", "b1", budgets)
	spent := a.spend(t, "regie", 100)
	for range 3 { // the demand falls, so that little counts as spent
		w.advanceClock(leaseDuration / 2)
		w.eventually("reports", func() bool { return a.lastReportAge() < time.Second && b.lastReportAge() < time.Second })
	}
	a.rows.SetFaults(rowstore.Faults{Cut: true})
	w.advanceClock(leaseDuration + 2*reclaimMargin)
	w.eventually("report of b", func() bool { return b.lastReportAge() < time.Second })
	w.reclaimShares(b, "a")
	w.eventually("share closed", func() bool { return len(w.account("regie").Shares) == 1 })
	spent += spendFor(t, b, 2*time.Second)
	a.rows.SetFaults(rowstore.Faults{RefusedPart: "regie"}) // its reports go elsewhere
	w.eventually("report of a", func() bool { return a.lastReportAge() < time.Second })
	spent += spendFor(t, a, 2*time.Second)
	assert.Assert(t, spent <= 20_000, "spent %d of 20000", spent)
}

// Guards against a host that was paused beyond its lease and whose new shares
// are closed as those of an ended process, again and again.
func TestPausedHostGetsSharesAgain(t *testing.T) {
	w := newTestCluster(t, 2)
	budgets := map[string]int64{"regie": 1_000_000}
	a, b := w.start("a", "a1", budgets), w.start("b", "b1", budgets)
	spendFor(t, a, 300*time.Millisecond)
	a.rows.SetFaults(rowstore.Faults{Cut: true})
	w.advanceClock(leaseDuration + 2*reclaimMargin)
	w.eventually("report of b", func() bool { return b.lastReportAge() < time.Second })
	w.reclaimShares(b, "a")
	w.eventually("share closed", func() bool { return len(w.account("regie").Shares) == 1 })
	a.rows.SetFaults(rowstore.Faults{})
	w.eventually("report of a", func() bool { return a.lastReportAge() < time.Second })
	settled := w.account("regie").Settled
	spent := int64(0)
	for range 10 {
		spent += spendFor(t, a, 100*time.Millisecond)
		spent += spendFor(t, b, 100*time.Millisecond)
	}
	account := w.account("regie")
	assert.Assert(t, account.Settled <= settled, "%d tokens more count as spent by ended processes", account.Settled-settled)
	assert.Assert(t, spent >= 20_000, "spent only %d", spent)
}

// lastReportAge returns the age of the last report that the table has taken.
func (n *testProcess) lastReportAge() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.reports.confirmed == nil {
		return time.Hour
	}
	return n.options.Clock() - n.reports.confirmed.sentAt
}
