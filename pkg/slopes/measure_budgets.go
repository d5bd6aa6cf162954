package slopes

import (
	"context"
	"fmt"
	"io"
)

// measureBudgets measures the cost of one daemon per budget for which it holds a
// grant. Each size uses a new daemon, because grants stay open after their use.
func measureBudgets(ctx context.Context, s Settings, _ io.Writer) ([]Slope, error) {
	results := newSeries("budget")
	for _, n := range s.BudgetSizes {
		if err := measureHeldBudgets(ctx, s, n, results); err != nil {
			return nil, err
		}
	}
	return results.slopes(), nil
}

func measureHeldBudgets(ctx context.Context, s Settings, n int, results *series) error {
	f, err := startFleet(ctx, s.spec(fleetSpec{daemons: 1, targets: requestTargets, budgets: n}))
	defer f.stop()
	if err != nil {
		return err
	}
	if err := sleep(ctx, s.Settle); err != nil {
		return err
	}
	l := newLoad(f)
	defer l.close()
	before, err := f.sample()
	if err != nil {
		return err
	}
	if failed, first := l.sendAll(ctx, n, requestWorkers, requestTokens); failed > 0 {
		return fmt.Errorf("%d of %d requests failed: %w", failed, n, first)
	}
	w, err := f.usageSince(before)
	if err != nil {
		return err
	}
	idle, err := f.measureUsage(ctx, s.Window)
	if err != nil {
		return err
	}
	size := float64(n)
	results.add("idle_cpu_percent_per_budget_held", size, percent(idle))
	results.add("memory_bytes_per_budget_named", size, float64(before.heap))
	results.add("memory_bytes_per_budget_held", size, float64(w.heap))
	results.add("table_writes_per_budget_opened", size, float64(sum(w.calls.Writes)))
	results.add("table_rows_per_budget_opened", size, float64(sum(w.calls.Rows)))
	results.add("table_reads_per_budget_opened", size, float64(sum(w.calls.Reads)))
	results.add("bundle_bytes_per_budget", size, f.bundleBytes(ctx))
	return nil
}
