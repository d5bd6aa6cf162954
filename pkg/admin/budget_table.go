package admin

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/bundle/resubmit"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// maxUpdateAttempts is the maximum number of attempts to update a budget row when
// other writers change it concurrently. The row of a budget in use changes with
// each grant.
const maxUpdateAttempts = 20

// budgetTable writes budget rows by compare-and-set.
type budgetTable struct {
	table  storage.Table
	policy resubmit.Policy
}

func newBudgetTable(c Config) *budgetTable {
	return &budgetTable{table: c.Table, policy: c.Resubmit}
}

// decision computes the next row from the current one, which is nil if the row is
// absent. It returns nil to leave the row unchanged.
type decision func(current *budget.Record) (next *budget.Record, err error)

// update applies a decision and returns the row and whether it was written.
func (t *budgetTable) update(ctx context.Context, id string, decide decision) (budget.Record, bool, error) {
	for range maxUpdateAttempts {
		row, current, err := t.read(ctx, id)
		if err != nil {
			return budget.Record{}, false, err
		}
		next, err := decide(current)
		if err != nil {
			return budget.Record{}, false, err
		}
		if next == nil {
			return *current, false, nil
		}
		committed, err := t.write(ctx, row, *next)
		if err != nil {
			return budget.Record{}, false, err
		}
		if committed {
			return *next, true, nil
		}
	}
	return budget.Record{}, false, errorf(Conflict, "budget %q is being changed by others: repeat the call", id)
}

func (t *budgetTable) read(ctx context.Context, id string) (storage.Row, *budget.Record, error) {
	rows, err := t.table.Get(ctx, budget.BudgetKey(id))
	if err != nil {
		return storage.Row{}, nil, fmt.Errorf("read budget %q: %w", id, err)
	}
	if rows[0].Version == 0 {
		return rows[0], nil, nil
	}
	var record budget.Record
	if err := json.Unmarshal(rows[0].Value, &record); err != nil {
		return rows[0], nil, errorf(Internal, "the row of budget %q cannot be decoded: %v", id, err)
	}
	return rows[0], &record, nil
}

// write commits one row under the condition that it has not changed. After a lost
// reply the transaction is resubmitted with the same id, so that it is applied at
// most once.
func (t *budgetTable) write(ctx context.Context, row storage.Row, next budget.Record) (committed bool, err error) {
	raw, err := json.Marshal(next)
	if err != nil {
		return false, fmt.Errorf("encode budget %q: %w", next.ID, err)
	}
	outcome, err := t.policy.Commit(ctx, t.table, storage.Txn{
		ID:         resubmit.NewID(),
		Conditions: []storage.Condition{{Key: row.Key, Version: row.Version}},
		Puts:       []storage.Put{{Key: row.Key, Value: raw}},
	})
	if err != nil {
		return false, fmt.Errorf("write budget %q: %w", next.ID, err)
	}
	return outcome.Committed, nil
}
