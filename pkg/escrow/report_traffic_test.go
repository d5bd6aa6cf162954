package escrow

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// receivedRows counts the bytes of the rows that a host receives from the store.
type receivedRows struct {
	storage.Rows
	received atomic.Int64
}

func (r *receivedRows) count(rows []storage.PartRow) {
	for _, row := range rows {
		r.received.Add(int64(len(row.Table) + len(row.Part) + len(row.Key) + len(row.Value)))
	}
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

func (r *receivedRows) Feed(ctx context.Context, table string, since uint64, wait time.Duration) (storage.RowPage, error) {
	page, err := r.Rows.Feed(ctx, table, since, wait)
	r.count(page.Rows)
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

// received returns the bytes that all hosts have received from the store.
func (c *testCluster) received() (total int64) {
	for _, n := range c.processes {
		total += n.traffic.received.Load()
	}
	return total
}
