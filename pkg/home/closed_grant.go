package home

import (
	"context"
	"encoding/json"
	"time"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/commit"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// settleClosedGrant writes the bill line of an attempt that ran on another
// holder's grant. It does so only after that grant was closed: while the grant is
// open, its holder may still settle the attempt itself. It runs outside the
// control goroutine and uses no control state, only the table and the committer.
func (l *Local) settleClosedGrant(m *settleMessage, committer Committer) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	holder := budget.HolderOfGrant(m.req.Grant)
	grantKey := budget.GrantKey(holder, m.req.Grant)
	lineKey := budget.LineKey(m.req.Customer, m.req.Request)
	rows, err := l.opts.Table.Get(ctx, grantKey, lineKey)
	if err != nil || len(rows) != 2 {
		m.answer(false)
		return
	}
	var grant budget.GrantRecord
	if rows[0].Version == 0 || json.Unmarshal(rows[0].Value, &grant) != nil {
		m.answer(false)
		return
	}
	if grant.State != budget.GrantClosed {
		m.answer(false)
		return
	}
	line, ok := decodeLine(rows[1])
	if ok && line.Charges(m.req.Stream) {
		amendLine(committer, m, rows[1], line)
		return
	}
	l.submitClosedGrantLine(committer, m, grant, rows)
}

// decodeLine returns the bill line of a row, false if the row is absent or
// cannot be decoded. A line that cannot be decoded is replaced by the next write.
func decodeLine(row storage.Row) (budget.Line, bool) {
	var line budget.Line
	if row.Version == 0 || json.Unmarshal(row.Value, &line) != nil {
		return budget.Line{}, false
	}
	return line, true
}

// submitClosedGrantLine writes the bill line and moves its tokens from the
// written-off part of the grant to the used part, in one operation.
func (l *Local) submitClosedGrantLine(committer Committer, m *settleMessage, grant budget.GrantRecord, rows []storage.Row) {
	tokens := min(m.req.Tokens, grant.WrittenOff)
	line := newLine(m.req, tokens, time.Now())
	if earlier, ok := decodeLine(rows[1]); ok {
		line = earlier.Merge(line)
	}
	grant.WrittenOff -= tokens
	grant.Used += tokens
	grant.Settled = grant.Settled.Add(budget.StreamNumber(m.req.Stream))
	committer.Submit(commit.Op{
		Conditions: []storage.Condition{
			{Key: rows[0].Key, Version: rows[0].Version},
			{Key: rows[1].Key, Version: rows[1].Version},
		},
		Puts: []storage.Put{
			{Key: rows[0].Key, Value: encode(grant)},
			{Key: rows[1].Key, Value: encode(line)},
		},
		Done: func(r commit.Result) {
			if r.Err == nil {
				l.opts.Observer.LateLine(grant.ID, tokens)
			}
			m.answer(r.Err == nil)
		},
	})
}
