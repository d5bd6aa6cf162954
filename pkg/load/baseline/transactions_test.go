package baseline

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/home"
	"github.com/peppertrail/peppertrail/pkg/standin/platform"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// Guards against a baseline that loses a settlement or overspends when several
// daemons write one row while replies are lost. Comparisons with such a baseline
// would be invalid.
func TestTransactionsKeepSettlementsAndLimit(t *testing.T) {
	const daemons, requests, limit, bound, used = 3, 40, 2000, 50, 30
	server := platform.New()
	assert.NilError(t, server.SetFaults(platform.Faults{LostReplyProbability: 0.1}))
	table := server.Local()
	createRow(t, table, budget.Record{ID: "b", Customer: "c", Limit: limit})
	var wait sync.WaitGroup
	var mu sync.Mutex
	spent := int64(0)
	for d := range daemons {
		authority := newTransactions(table, func() string { return fmt.Sprintf("h%d", d) })
		for n := range requests {
			wait.Go(func() {
				req := home.ReserveRequest{Customer: "c", Budget: "b", Request: fmt.Sprintf("r%d-%d", d, n), Bound: bound}
				reply, err := authority.Reserve(t.Context(), req)
				assert.Check(t, err)
				if reply.Outcome != home.Granted {
					return
				}
				settle := home.SettleRequest{
					Customer: "c", Budget: "b", Request: req.Request, Stream: reply.Stream, Outcome: home.Completed, Tokens: used, UsageKnown: true, Bound: bound,
				}
				for range 2 { // the repeated settlement must have no effect
					settled, err := authority.Settle(t.Context(), settle)
					assert.Check(t, err)
					assert.Check(t, settled.Durable)
				}
				mu.Lock()
				defer mu.Unlock()
				spent += used
			})
		}
	}
	wait.Wait()
	rows, err := table.Get(t.Context(), budget.BudgetKey("b"))
	assert.NilError(t, err)
	var record budget.Record
	assert.NilError(t, json.Unmarshal(rows[0].Value, &record))
	assert.Equal(t, record.Granted, int64(0))
	assert.Equal(t, record.Settled, spent)
	assert.Assert(t, spent > 0 && spent <= limit, spent)
}

// createRow writes the row of a budget. It repeats the transaction under the same id
// until a reply arrives, because the platform stand-in loses replies.
func createRow(t *testing.T, table storage.Table, record budget.Record) {
	t.Helper()
	for {
		_, err := table.Commit(t.Context(), storage.Txn{ID: "create", Puts: []storage.Put{{Key: budget.BudgetKey(record.ID), Value: encode(record)}}})
		if err == nil {
			return
		}
	}
}

// Guards against a daemon that reserves or settles on the share of another daemon.
func TestSharesUseOnlyTheDaemonsOwnRow(t *testing.T) {
	local := &recordingAuthority{}
	s := shareAuthority{local: local, index: 3}
	_, err := s.For("c", "b").Reserve(t.Context(), home.ReserveRequest{Budget: "b"})
	assert.NilError(t, err)
	_, err = s.For("c", "b").Settle(t.Context(), home.SettleRequest{Budget: "b"})
	assert.NilError(t, err)
	assert.DeepEqual(t, local.budgets, []string{ShareID("b", 3), ShareID("b", 3)})
	assert.Assert(t, ShareID("b", 3) != ShareID("b", 4))
}
