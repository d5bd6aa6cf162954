package integration

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/storage"
	"github.com/peppertrail/peppertrail/test/harness"
)

// gracefulPageRows is the row limit of a table scan. It exceeds the rows that the test
// writes under a prefix.
const gracefulPageRows = 1000

// tableRows decodes the rows under a key prefix.
func tableRows[T any](ctx context.Context, table storage.Table, prefix string) ([]T, error) {
	rows, err := table.Scan(ctx, prefix, "", gracefulPageRows)
	if err != nil {
		return nil, fmt.Errorf("scan %s: %w", prefix, err)
	}
	decoded := make([]T, len(rows))
	for i, row := range rows {
		if err := json.Unmarshal(row.Value, &decoded[i]); err != nil {
			return nil, fmt.Errorf("decode %s: %w", row.Key, err)
		}
	}
	return decoded, nil
}

// checkGrantsClosed returns an error unless every grant of every process of a daemon is
// closed and has no written-off tokens. It also returns the number of grants.
func checkGrantsClosed(ctx context.Context, table storage.Table, daemon string) (int, error) {
	grants, err := tableRows[budget.GrantRecord](ctx, table, "grant/"+daemon+"~")
	if err != nil {
		return 0, err
	}
	for _, g := range grants {
		if g.State != budget.GrantClosed || g.WrittenOff != 0 {
			return len(grants), fmt.Errorf("grant %s of %s after its exit: %s, %d tokens written off", g.ID, g.Holder, g.State, g.WrittenOff)
		}
	}
	return len(grants), nil
}

// checkBudgetsSettled returns an error if a budget still has granted tokens or if the
// settled tokens of all budgets differ from the tokens that the engines ran.
func checkBudgetsSettled(ctx context.Context, f *harness.Fleet) error {
	budgets, err := tableRows[budget.Record](ctx, f.Platform.Table(), "budget/")
	if err != nil {
		return err
	}
	var settled int64
	for _, b := range budgets {
		settled += b.Settled
		if b.Granted != 0 {
			return fmt.Errorf("budget %s: %d tokens still granted after every daemon has stopped", b.ID, b.Granted)
		}
	}
	records, err := f.EngineRecords()
	if err != nil {
		return err
	}
	var ran int64
	for _, r := range records {
		ran += harness.ConsumedTokens(r)
	}
	if settled != ran {
		return fmt.Errorf("budgets settled %d tokens, but engines ran %d", settled, ran)
	}
	return nil
}
