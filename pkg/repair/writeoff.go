// Package repair fences daemons that stopped renewing their holder rows, closes
// their grants and returns the tokens that they did not spend. Each repair is
// logged, counted and recorded with the facts that justify it.
package repair

import "github.com/peppertrail/peppertrail/pkg/budget"

// WriteOff closes a grant of a fenced holder. The settled tokens stay settled, and
// the remainder is charged too, since the holder may have spent it without a
// bill line. The returned rows must be written in one transaction.
func WriteOff(b budget.Record, g budget.GrantRecord) (budget.Record, budget.GrantRecord) {
	b.Granted -= g.Amount
	b.Settled += g.Amount
	g.WrittenOff = g.Amount - g.Used
	g.State = budget.GrantClosed
	return b, g
}

// ReturnUnspent returns to the budget the written-off tokens of a closed grant
// that are known to be unspent. unbilled is the number of tokens that the targets
// used beyond the settled bill lines. The returned rows must be written in one
// transaction.
func ReturnUnspent(b budget.Record, g budget.GrantRecord, unbilled int64) (budget.Record, budget.GrantRecord) {
	keep := min(max(unbilled, 0), g.WrittenOff)
	b.Settled -= g.WrittenOff - keep
	g.WrittenOff = keep
	g.Resolved = true
	return b, g
}
