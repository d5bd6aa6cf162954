package escrow

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/standin/rowstore"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// receivedRows counts the bytes of the rows that a host receives from the store.
type receivedRows struct {
	storage.Rows
	received  atomic.Int64
	feedLimit atomic.Int64 // a feed call that returns more bytes fails like one that reaches its time limit; 0: no limit
}

func (r *receivedRows) count(rows []storage.PartRow) (total int64) {
	for _, row := range rows {
		total += int64(len(row.Table) + len(row.Part) + len(row.Key) + len(row.Value))
	}
	r.received.Add(total)
	return total
}

func (r *receivedRows) Transact(ctx context.Context, txn storage.RowTxn) (storage.RowOutcome, error) {
	outcome, err := r.Rows.Transact(ctx, txn)
	r.count(outcome.Current)
	return outcome, err
}

func (r *receivedRows) Range(ctx context.Context, table, part, from string) (storage.RowPage, error) {
	page, err := r.Rows.Range(ctx, table, part, from)
	r.count(page.Rows)
	return page, err
}

func (r *receivedRows) Feed(ctx context.Context, table string, since storage.Version, wait time.Duration) (storage.RowPage, error) {
	page, err := r.Rows.Feed(ctx, table, since, wait)
	if total, limit := r.count(page.Rows), r.feedLimit.Load(); limit > 0 && total > limit {
		return storage.RowPage{}, fmt.Errorf("%w: reply is too large for the link", storage.ErrUnavailable)
	}
	return page, err
}

// Guards against budget traffic that grows with the number of hosts times their reports and fills the link of a weak host.
func TestBudgetTrafficOfManyHostsFitsWeakLinks(t *testing.T) {
	const (
		hosts, customers, length = 48, 12, 4 * time.Second
		limit                    = 23_000 // bytes per second and host for control
	)
	budgets := make(map[string]int64)
	for c := range customers {
		budgets[fmt.Sprint("customer-", c)] = 80_000_000
	}
	cluster, processes := startFleet(t, hosts, budgets)
	cluster.sendTraffic(processes, customers, 2*time.Second) // the shares follow the demand from here on
	before := cluster.received()
	served := cluster.sendTraffic(processes, customers, length)
	perHost := float64(cluster.received()-before) / hosts / length.Seconds()
	t.Logf("%.0f bytes per second and host received, %.3f of the requests served", perHost, served)
	assert.Assert(t, served >= 0.98)
	assert.Assert(t, perHost <= limit, "%.0f bytes per second and host received from the store", perHost)
}

// Guards against a new process that takes a large fleet for a small one and reads the recent usage reports of all hosts, which fills the link of a weak host when it needs the configuration.
func TestRestartInLargeFleetFitsWeakLink(t *testing.T) {
	const (
		hosts, customers, length = 48, 12, 4 * time.Second
		limit                    = 23_000 // bytes per second for control
	)
	budgets := make(map[string]int64)
	for c := range customers {
		budgets[fmt.Sprint("customer-", c)] = 80_000_000
	}
	cluster, processes := startFleet(t, hosts, budgets)
	cluster.sendTraffic(processes, customers, length)
	ended := processes[0]
	ended.cancel()
	restarted := cluster.start(ended.options.Host, incarnation(hosts), budgets)
	time.Sleep(length)
	perSecond := float64(restarted.traffic.received.Load()) / length.Seconds()
	t.Logf("%.0f bytes per second received after the restart", perSecond)
	assert.Assert(t, perSecond <= limit, "%.0f bytes per second received after the restart", perSecond)
}

// received returns the bytes that all hosts have received from the store.
func (c *testCluster) received() (total int64) {
	for _, n := range c.processes {
		total += n.traffic.received.Load()
	}
	return total
}

// Guards against a read of reports that is repeated from the same version for ever because its reply is too large for its time limit.
func TestReportsAreReadAgainAfterTooLargeReply(t *testing.T) {
	c := newTestCluster(t, 2)
	budgets := map[string]int64{"customer": 1_000_000}
	slow := c.start("host-0", incarnation(0), budgets)
	peer := c.start("host-1", incarnation(1), budgets)
	usedByPeer := func() int64 {
		slow.mu.Lock()
		defer slow.mu.Unlock()
		return slow.peerReports[incarnation(1)].Customers["customer"].Used
	}
	slow.rows.SetFaults(rowstore.Faults{Cut: true})
	for range 20 {
		peer.spend(t, "customer", 100)
		time.Sleep(reportInterval / 4)
	}
	slow.traffic.feedLimit.Store(600)
	slow.rows.SetFaults(rowstore.Faults{})
	c.eventually("last report of the peer read", func() bool { return usedByPeer() == 2000 })
}

// Guards against a broker that plans shares without knowing what their holders use.
func TestBrokerKnowsUsageOfHolders(t *testing.T) {
	c, processes := startFleet(t, maxDirectHosts+4, map[string]int64{"regie": 1_000_000})
	for _, n := range processes {
		n.spend(t, "regie", 100)
	}
	c.eventually("usage of all shares known to the broker", func() bool {
		for _, n := range processes {
			n.mu.Lock()
			p := n.pools["regie"]
			broker := p.brokerReply == nil && len(p.holderUsage) > 0
			others := p.view(p.account).others
			n.mu.Unlock()
			if broker && others.Unreported == 0 && others.Used == int64(100*(len(processes)-1)) {
				return true
			}
		}
		return false
	})
}
