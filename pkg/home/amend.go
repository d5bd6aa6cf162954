package home

import (
	"context"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/commit"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// amend bills a stream as answered that was settled as failed before: its first
// caller left, and a retry that had attached to it read it to its end.
func (l *Local) amendToCompleted(m *settleMessage) {
	committer := l.opts.Committer
	l.async(func() {
		ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
		defer cancel()
		rows, err := l.opts.Table.Get(ctx, budget.LineKey(m.req.Customer, m.req.Request))
		if err != nil {
			m.answer(false)
			return
		}
		line, ok := decodeLine(rows[0])
		if !ok || !line.Covers(m.req.Stream) {
			m.answer(false) // the line is not durable yet; the entry daemon asks again
			return
		}
		amendLine(committer, m, rows[0], line)
	})
}

// amendLine rewrites a line that covers the stream. The grant does not change.
func amendLine(committer Committer, m *settleMessage, row storage.Row, line budget.Line) {
	if m.req.Outcome != Completed || line.Completed {
		m.answer(true)
		return
	}
	committer.Submit(commit.Op{
		Conditions: []storage.Condition{{Key: row.Key, Version: row.Version}},
		Puts:       []storage.Put{{Key: row.Key, Value: encode(line.Answered(m.req.Stream, m.req.Tokens))}},
		Done:       func(r commit.Result) { m.answer(r.Err == nil) },
	})
}
