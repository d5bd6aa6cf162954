package escrow

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/standin/rowstore"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// Guards against a budget of which more than 3 % cannot be spent although
// hosts and store work.
func TestHostsSpendWholeBudget(t *testing.T) {
	const prepaid, size = 60_000, 500
	c := newTestCluster(t, 3)
	budget := map[string]int64{"regie": prepaid}
	processes := []*testProcess{c.start("a", "a1", budget), c.start("b", "b1", budget), c.start("c", "c1", budget)}
	spent := int64(0)
	deadline := time.Now().Add(8 * time.Second)
	for i := 0; spent < prepaid*97/100 && time.Now().Before(deadline); i++ {
		spent += processes[i%len(processes)].spend(t, "regie", size)
	}
	assert.Assert(t, spent >= prepaid*97/100, "spent %d of %d prepaid tokens", spent, prepaid)
	assert.Assert(t, spent <= prepaid)
	_, err := processes[0].Reserve(t.Context(), "regie", prepaid)
	assert.Assert(t, errors.Is(err, ErrExhausted), "got %v, want ErrExhausted", err)
}

// Guards against a host that stops serving when it loses the store although it
// holds a share.
func TestHostSpendsShareWithoutStore(t *testing.T) {
	c := newTestCluster(t, 2)
	n := c.start("a", "a1", map[string]int64{"regie": 1_000_000})
	for range 250 {
		n.spend(t, "regie", 500)
		time.Sleep(10 * time.Millisecond)
	}
	n.rows.SetFaults(rowstore.Faults{Cut: true})
	start, served := time.Now(), 0
	for time.Since(start) < 3*time.Second {
		if n.spend(t, "regie", 500) > 0 {
			served++
		}
		time.Sleep(10 * time.Millisecond)
	}
	assert.Assert(t, served >= 150, "%d requests served without the store, want at least 150", served)
}

// Guards against a request that waits for the table while the store is known
// to be unreachable.
func TestHostWithoutStoreRefusesAtOnce(t *testing.T) {
	c := newTestCluster(t, 2)
	n := c.start("a", "a1", map[string]int64{"regie": 1_000_000})
	n.spend(t, "regie", 500)
	n.rows.SetFaults(rowstore.Faults{Cut: true})
	c.eventually("store outage noticed by the host", func() bool {
		n.spend(t, "regie", 100)
		n.mu.Lock()
		defer n.mu.Unlock()
		return !n.reporter.reachable
	})
	start := time.Now()
	_, err := n.Reserve(t.Context(), "regie", 900_000)
	var unreachable *UnreachableError
	assert.Assert(t, errors.As(err, &unreachable), "got %v, want an UnreachableError", err)
	assert.Assert(t, unreachable.RetryAfter > 0)
	assert.Assert(t, time.Since(start) < 100*time.Millisecond)
}

// Guards against the loss of a share when a process is killed and restarted.
func TestRestartedProcessRecoversShare(t *testing.T) {
	c := newTestCluster(t, 1)
	budget := map[string]int64{"regie": 100_000}
	first := c.start("a", "a1", budget)
	spent := int64(0)
	for range 60 {
		spent += first.spend(t, "regie", 200)
		time.Sleep(10 * time.Millisecond)
	}
	first.cancel()
	second := c.start("a", "a2", budget)
	c.eventually("share of the first process closed", func() bool {
		_, open := c.account("regie").Shares[Share{Incarnation: "a1"}.key()]
		return !open
	})
	settled := c.account("regie").Settled
	assert.Assert(t, settled >= spent, "settled %d tokens, fewer than the %d spent", settled, spent)
	assert.Assert(t, settled <= spent+15_000, "%d of %d tokens lost", settled-spent, 100_000)
	second.cancel()
}

// Guards against reports without the store's time. Other hosts would take the
// share of a process that has just started for one of an ended process, and
// close it.
func TestFirstReportCarriesStoreTime(t *testing.T) {
	c := newTestCluster(t, 2)
	time.Sleep(50 * time.Millisecond)
	n := c.start("a", "a1", map[string]int64{"regie": 100_000})
	n.cancel()
	found := false
	for _, suffix := range reportPartSuffixes {
		row := c.store.Get(storage.RowKey{Table: usages, Part: "a" + suffix, Key: "a1"})
		if row.Number == 0 {
			continue
		}
		found = true
		var r UsageReport
		assert.NilError(t, json.Unmarshal(row.Value, &r))
		assert.Assert(t, r.StoreTimeMs >= 50, "store time in the report is %d ms, want at least 50 ms", r.StoreTimeMs)
	}
	assert.Assert(t, found)
}

// Guards against a share that is lost although its host leaves gracefully.
func TestLeaveReturnsShares(t *testing.T) {
	c := newTestCluster(t, 2)
	n := c.start("a", "a1", map[string]int64{"regie": 100_000, "office": 50_000})
	spent := n.spend(t, "regie", 700)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	assert.NilError(t, n.Leave(ctx))
	assert.Equal(t, len(c.account("regie").Shares), 0)
	assert.Equal(t, c.account("regie").Settled, spent)
	assert.Equal(t, len(c.account("office").Shares), 0)
}

// Guards against usage reports that stop while the store refuses writes to the
// first of the parts that hold them.
func TestReportsUseAnotherPartDuringOutage(t *testing.T) {
	c := newTestCluster(t, 1)
	n := c.start("a", "a1", map[string]int64{"regie": 100_000})
	n.rows.SetFaults(rowstore.Faults{RefusedPart: "a" + reportPartSuffixes[0]})
	spent := int64(0)
	for range 60 {
		spent += n.spend(t, "regie", 200)
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, spent, int64(12_000))
	row := c.store.Get(storage.RowKey{Table: usages, Part: "a" + reportPartSuffixes[1], Key: "a1"})
	assert.Assert(t, row.Number > 0)
}

// Guards against a share that is lost when another writer leaves an account
// row that cannot be decoded.
func TestUnreadableAccountKeepsShare(t *testing.T) {
	c := newTestCluster(t, 1)
	n := c.start("a", "a1", map[string]int64{"regie": 100_000})
	assert.Equal(t, n.spend(t, "regie", 500), int64(500))
	c.store.Put(storage.RowKey{Table: accounts, Part: "regie", Key: accountKey}, []byte("{"))
	time.Sleep(1500 * time.Millisecond)
	assert.Equal(t, n.spend(t, "regie", 500), int64(500))
}

// Guards against overspending while hosts are cut off, killed and restarted in
// any order, replies of the store are lost, transactions are applied late and
// the budget is topped up. With many hosts, share requests to brokers and
// their replies are lost, too.
func TestNeverOverspentUnderFaults(t *testing.T) {
	for _, tc := range []struct {
		desc             string
		hosts            int
		brokers, pools   bool
		prepaid, atLeast int64
	}{
		{"each host changes the account", 4, false, false, 40_000, 10_000},
		{"brokers change the account", maxDirectHosts + 4, true, false, 80_000, 20_000},
		{"hosts spend from the shares of brokers", maxDirectHosts + 4, true, true, 80_000, 20_000},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			c := newTestCluster(t, tc.hosts)
			c.usesBrokers, c.pools = tc.brokers, tc.pools
			spent, prepaid := spendUnderFaults(t, c, tc.prepaid)
			assert.Assert(t, spent <= prepaid, "spent %d of %d prepaid tokens", spent, prepaid)
			assert.Assert(t, spent >= tc.atLeast, "spent only %d tokens", spent)
		})
	}
}

// spendUnderFaults spends from several hosts while faults are injected and
// removed at random. It returns the tokens spent and the prepaid total.
func spendUnderFaults(t *testing.T, c *testCluster, prepaid int64) (int64, int64) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex // guards spent
	spent := int64(0)
	processes := make([]*testProcess, c.hosts)
	for i := range processes {
		processes[i] = c.launch(fmt.Sprintf("host-%02d", i), incarnation(i), map[string]int64{"regie": prepaid})
	}
	for i, n := range processes {
		c.eventually(fmt.Sprintf("budgets of host %d loaded", i), n.Loaded)
	}
	var callers sync.WaitGroup
	call := func(n *testProcess) {
		for range 40 {
			callers.Go(func() {
				tokens := n.spend(t, "regie", 150)
				mu.Lock()
				spent += tokens
				mu.Unlock()
			})
			time.Sleep(time.Millisecond)
		}
	}
	for step := range 40 {
		i := random.IntN(c.hosts)
		switch random.IntN(8) {
		case 0:
			processes[i].rows.SetFaults(rowstore.Faults{Cut: true})
		case 7:
			processes[i].isolated.Store(!processes[i].isolated.Load())
		case 1:
			processes[i].rows.SetFaults(rowstore.Faults{LoseReplies: true})
		case 2:
			processes[i].rows.SetFaults(rowstore.Faults{LoseReplies: true, ApplyLate: 300 * time.Millisecond})
		case 3:
			processes[i].cancel()
			callers.Wait() // a killed process has no open requests
			processes[i] = c.start(fmt.Sprintf("host-%02d", i), incarnation(100+step), map[string]int64{"regie": prepaid})
		case 4:
			prepaid += 1_000
			for _, n := range processes {
				n.SetBudgets(map[string]int64{"regie": prepaid})
			}
		case 5:
			c.lossPercent.Store(int32(20 * random.IntN(4)))
		default:
			processes[i].rows.SetFaults(rowstore.Faults{})
		}
		call(processes[random.IntN(c.hosts)])
	}
	callers.Wait()
	return spent, prepaid
}

// Guards against a refusal while other hosts hold the tokens that a request
// lacks and can return them at once.
func TestPeersReturnTokensOnShortage(t *testing.T) {
	c := newTestCluster(t, 2)
	c.announcesShortages = true
	budget := map[string]int64{"regie": 100_000}
	a := c.start("a", "a1", budget)
	for range 120 {
		a.spend(t, "regie", 300)
		time.Sleep(10 * time.Millisecond)
	}
	c.eventually("more than 90000 of 100000 tokens held by host a", func() bool { return c.account("regie").Shares[Share{Incarnation: "a1"}.key()].Amount > 90_000 })
	b := c.start("b", "b1", budget)
	time.Sleep(1500 * time.Millisecond) // until both hosts have read each other's reports
	start := time.Now()
	assert.Equal(t, b.spend(t, "regie", 20_000), int64(20_000))
	assert.Assert(t, time.Since(start) < minReserveWait, "the reservation took %v", time.Since(start))
}
