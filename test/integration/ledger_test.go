package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/lease"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

const (
	// ledgerPageRows is the number of rows per table scan.
	ledgerPageRows = 1000
	// ledgerTimeout bounds the scan of one key prefix.
	ledgerTimeout = 10 * time.Second
)

// ledger holds the table rows that determine bills and budgets.
type ledger struct {
	budgets []budget.Record
	grants  []budget.GrantRecord
	lines   map[string]budget.Line // bill lines by table key
	holders []lease.HolderRecord
}

// readLedger reads the ledger from a table.
func readLedger(table storage.Table) (ledger, error) {
	l := ledger{lines: make(map[string]budget.Line)}
	var lines []budget.Line
	if err := scanInto(table, "budget/", &l.budgets); err != nil {
		return l, err
	}
	if err := scanInto(table, "grant/", &l.grants); err != nil {
		return l, err
	}
	if err := scanInto(table, "bill/", &lines); err != nil {
		return l, err
	}
	for _, line := range lines {
		l.lines[budget.LineKey(line.Customer, line.Request)] = line
	}
	if len(l.lines) != len(lines) {
		return l, fmt.Errorf("%d bill rows belong to only %d requests", len(lines), len(l.lines))
	}
	return l, scanInto(table, lease.HolderPrefix, &l.holders)
}

// scanInto appends the decoded rows with a key prefix to into.
func scanInto[T any](table storage.Table, prefix string, into *[]T) error {
	ctx, cancel := context.WithTimeout(context.Background(), ledgerTimeout)
	defer cancel()
	after := ""
	for {
		rows, err := table.Scan(ctx, prefix, after, ledgerPageRows)
		if err != nil {
			return fmt.Errorf("scan %s: %w", prefix, err)
		}
		for _, row := range rows {
			var value T
			if err := json.Unmarshal(row.Value, &value); err != nil {
				return fmt.Errorf("decode %s: %w", row.Key, err)
			}
			*into = append(*into, value)
		}
		if len(rows) < ledgerPageRows {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}

// openGrantsOfOtherHolders returns the open grants that do not belong to a live holder
// on host.
func (l ledger) openGrantsOfOtherHolders(host string) []budget.GrantRecord {
	live := make(map[string]bool)
	for _, h := range l.holders {
		live[h.Incarnation] = h.Host == host && !h.Fenced && !h.Stopped
	}
	var open []budget.GrantRecord
	for _, g := range l.grants {
		if g.State == budget.GrantOpen && !live[g.Holder] {
			open = append(open, g)
		}
	}
	return open
}

// unfencedOnOtherHosts returns the incarnations on hosts other than host that are
// neither fenced nor stopped.
func (l ledger) unfencedOnOtherHosts(host string) []string {
	var names []string
	for _, h := range l.holders {
		if !h.Fenced && !h.Stopped && h.Host != host {
			names = append(names, h.Incarnation)
		}
	}
	return names
}

// checkClosed returns an error that lists the grants that are open or charged more
// than their amount.
func (l ledger) checkClosed() error {
	var problems []string
	for _, g := range l.grants {
		if g.State != budget.GrantClosed || g.Used+g.WrittenOff > g.Amount {
			problems = append(problems, fmt.Sprintf("%+v", g))
		}
	}
	if len(problems) > 0 {
		return fmt.Errorf("grants are open or overdrawn: %s", strings.Join(problems, ", "))
	}
	return nil
}

// checkBalance returns an error unless the settled amount of a budget equals its bill
// lines plus its written-off amounts and nothing is left granted.
func (l ledger) checkBalance(b budget.Record) error {
	var billed, writtenOff int64
	for _, line := range l.lines {
		if line.Budget == b.ID {
			billed += line.Total()
		}
	}
	for _, g := range l.grants {
		if g.Budget == b.ID {
			writtenOff += g.WrittenOff
		}
	}
	if b.Granted != 0 || b.Settled != billed+writtenOff {
		return fmt.Errorf("budget %s does not balance: granted %d, settled %d, bill lines %d, written off %d", b.ID, b.Granted, b.Settled, billed, writtenOff)
	}
	return nil
}
