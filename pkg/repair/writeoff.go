// Package repair recovers what dead daemons left behind: their grants, their
// roles and the requests they were running. Each repair is logged, counted and
// recorded with the evidence that it rests on.
package repair

import "github.com/peppertrail/peppertrail/pkg/budget"

// WriteOff closes a grant of a dead holder. What was settled stays settled, and
// the remainder is charged too, since the holder may have spent it without a
// line. It returns the rows to write together.
func WriteOff(b budget.Record, g budget.GrantRecord) (budget.Record, budget.GrantRecord) {
	b.Granted -= g.Amount
	b.Settled += g.Amount
	g.WrittenOff = g.Amount - g.Used
	g.State = budget.GrantClosed
	return b, g
}

// Return gives back the written-off tokens of a closed grant that are known not
// to have been spent. ran is what the targets ran beyond the settled lines, in
// tokens. It returns the rows to write together.
func Return(b budget.Record, g budget.GrantRecord, ran int64) (budget.Record, budget.GrantRecord) {
	keep := min(max(ran, 0), g.WrittenOff)
	b.Settled -= g.WrittenOff - keep
	g.WrittenOff = keep
	g.Resolved = true
	return b, g
}
