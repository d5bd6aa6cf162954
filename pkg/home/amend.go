package home

import (
	"context"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/commit"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// amendToCompleted bills a stream as completed that was settled as failed
// before: its first caller disconnected, and a retry that had attached to the
// stream read it to its end.
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
		if !ok || !line.Charges(m.req.Stream) {
			m.answer(false) // the line is not durable yet; the entry daemon sends the settlement again
			return
		}
		amendLine(committer, m, rows[0], line)
	})
}

// amendLine settles a stream that a bill line already covers. If the outcome is
// Completed and the line is not marked as completed, it marks the line so. The
// grant row does not change.
func amendLine(committer Committer, m *settleMessage, row storage.Row, line budget.Line) {
	if m.req.Outcome != Completed || line.Completed {
		m.answer(true)
		return
	}
	committer.Submit(commit.Op{
		Conditions: []storage.Condition{{Key: row.Key, Version: row.Version}},
		Puts:       []storage.Put{{Key: row.Key, Value: encode(line.WithAnswer(m.req.Stream, m.req.Tokens))}},
		Done:       func(r commit.Result) { m.answer(r.Err == nil) },
	})
}
