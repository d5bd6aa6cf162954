package escrow

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/standin/rowstore"
)

// startFleet starts many processes at the same time and waits until they have
// loaded their budgets.
func startFleet(t *testing.T, hosts int, budgets map[string]int64) (*testCluster, []*testProcess) {
	c := newTestCluster(t, hosts)
	c.usesBrokers, c.announcesShortages = true, true
	c.store.SetLimits(rowstore.Limits{WritesPerSecond: 1500, PartWritesPerSecond: 200})
	processes := make([]*testProcess, hosts)
	for i := range processes {
		processes[i] = c.launch(fmt.Sprintf("host-%02d", i), incarnation(i), budgets)
	}
	for _, n := range processes {
		c.eventually("budgets of "+n.options.Host+" loaded", n.Loaded)
	}
	return c, processes
}

// Guards against many hosts whose account changes conflict with each other or
// exceed the write rate of the store. The load of 48 hosts, 12 customers and
// 400 requests a second is low enough that the processor is idle most of the
// time: a request is refused if its goroutine does not run for 250 ms.
func TestManyHostsServeManyCustomers(t *testing.T) {
	const hosts, customers, seconds = 48, 12, 4
	budgets := make(map[string]int64)
	for c := range customers {
		budgets[fmt.Sprint("customer-", c)] = 80_000_000 / (1 + int64(c))
	}
	cluster, processes := startFleet(t, hosts, budgets)
	refusedAtStart := cluster.store.Refused()
	servedBeforeCut := cluster.sendTraffic(processes, customers, seconds*time.Second)
	refusedBeforeCut := cluster.store.Refused()
	for _, n := range processes {
		n.rows.SetFaults(rowstore.Faults{Cut: true})
	}
	servedDuringCut := cluster.sendTraffic(processes, customers, seconds*time.Second)
	for _, n := range processes {
		n.rows.SetFaults(rowstore.Faults{})
	}
	servedDuringRecovery := cluster.sendTraffic(processes, customers, time.Second)
	refusedAfterRecovery := cluster.store.Refused()
	servedAfterRecovery := cluster.sendTraffic(processes, customers, seconds*time.Second)
	refusedAtEnd := cluster.store.Refused()
	t.Logf("fraction of requests served: %.3f before the cut, %.3f while the hosts are cut off from the store, %.3f in the first second afterwards, %.3f later; transactions refused by the store: %d at the start, %d before the cut, %d during cut and recovery, %d later; %d transactions in all",
		servedBeforeCut, servedDuringCut, servedDuringRecovery, servedAfterRecovery, refusedAtStart, refusedBeforeCut-refusedAtStart, refusedAfterRecovery-refusedBeforeCut, refusedAtEnd-refusedAfterRecovery, cluster.store.Stats.Transactions)
	assert.Assert(t, servedBeforeCut >= 0.98)
	assert.Assert(t, servedDuringCut >= 0.85)
	assert.Assert(t, servedAfterRecovery >= 0.98)
	assert.Assert(t, refusedAtEnd-refusedAtStart <= 1500, "the store refused %d transactions", refusedAtEnd-refusedAtStart)
}

// sendTraffic sends 400 requests a second and returns the fraction that got
// tokens.
func (c *testCluster) sendTraffic(processes []*testProcess, customers int, length time.Duration) float64 {
	var sent, served atomic.Int64
	var callers sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(2500 * time.Microsecond) {
		customer := fmt.Sprint("customer-", int(float64(customers)*rand.Float64()*rand.Float64()))
		n, tokens := processes[rand.IntN(len(processes))], int64(200+rand.IntN(2500))
		if rand.IntN(10) == 0 {
			tokens *= 5
		}
		callers.Go(func() {
			sent.Add(1)
			if n.spend(c.t, customer, tokens) > 0 {
				served.Add(1)
			}
		})
	}
	callers.Wait()
	return float64(served.Load()) / float64(sent.Load())
}
