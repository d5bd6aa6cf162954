package home

import (
	"maps"
	"slices"
	"time"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/commit"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// maxLinesPerOp limits the bill lines in one operation.
const maxLinesPerOp = 200

// grantState is the part of an open grant's state that is kept outside the ledger.
type grantState struct {
	version  uint64        // version of the grant row
	queued   []budget.Line // lines that no operation contains yet
	inFlight []budget.Line // lines of the submitted operation
	closing  bool          // the close of the grant was submitted
	streams  []string      // settled streams, whose settlements are dropped when the grant is closed
}

// lineState is a bill line row as last written or read.
type lineState struct {
	version uint64
	line    budget.Line
}

func (l *Local) queueLine(_ time.Time, grantID string, line budget.Line) {
	g := l.grants[grantID]
	g.queued = append(g.queued, line)
	g.streams = append(g.streams, line.Streams...)
	l.grantsToFlush[grantID] = struct{}{}
}

// flushLines submits the queued lines, one operation per grant, so that the
// committer can join them in one transaction. It visits only grants with queued
// lines, because a home may hold thousands of others.
func (l *Local) flushLines(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(l.grantsToFlush)) {
		g := l.grants[id]
		if g == nil {
			delete(l.grantsToFlush, id)
			continue
		}
		if len(g.queued) > 0 && len(g.inFlight) == 0 && !g.closing {
			l.submitLines(now, id, g)
		}
		if len(g.queued) == 0 {
			delete(l.grantsToFlush, id)
		}
	}
}

// submitLines writes the grant row and queued bill lines in one operation.
func (l *Local) submitLines(now time.Time, id string, g *grantState) {
	n := min(len(g.queued), maxLinesPerOp)
	g.inFlight = slices.Clone(g.queued[:n])
	g.queued = slices.Clone(g.queued[n:])
	record, _ := l.ledger.Record(id)
	rows := l.mergeLines(g.inFlight)
	op := commit.Op{}
	for _, line := range g.inFlight {
		record.Used += line.Total()
		record.Settled = record.Settled.Add(budget.StreamNumber(line.Streams[0]))
	}
	if policy, ok := l.opts.Policies(g.inFlight[0].Customer); ok {
		record.Streams = l.ledger.NextStreamLimit(now, id, policy)
	}
	op.Conditions = append(op.Conditions, storage.Condition{Key: budget.GrantKey(record.Holder, id), Version: g.version})
	op.Puts = append(op.Puts, storage.Put{Key: budget.GrantKey(record.Holder, id), Value: encode(record)})
	for _, key := range slices.Sorted(maps.Keys(rows)) {
		row := rows[key]
		op.Conditions = append(op.Conditions, storage.Condition{Key: key, Version: row.version})
		op.Puts = append(op.Puts, storage.Put{Key: key, Value: encode(row.line)})
	}
	holder := l.opts.Holder
	op.Done = func(r commit.Result) {
		l.post(&linesWritten{holder: holder, grant: id, streamLimit: record.Streams, rows: rows, result: r})
	}
	l.opts.Committer.Submit(op)
}

// mergeLines merges new lines into the known rows of their requests and returns
// the rows to write by key.
func (l *Local) mergeLines(lines []budget.Line) map[string]lineState {
	rows := make(map[string]lineState, len(lines))
	for _, line := range lines {
		key := budget.LineKey(line.Customer, line.Request)
		row, ok := rows[key]
		if !ok {
			row, ok = l.lines[key]
		}
		if ok && row.line.Attempts > 0 {
			row.line = row.line.Merge(line)
		} else {
			row.line = line
		}
		rows[key] = row
	}
	return rows
}

// linesWritten carries the result of submitLines to the control goroutine.
type linesWritten struct {
	holder      string
	grant       string
	streamLimit int64 // limit of stream numbers written with the grant row
	rows        map[string]lineState
	result      commit.Result
}

func (m *linesWritten) handle(l *Local, now time.Time) {
	if m.holder != l.opts.Holder {
		return
	}
	g := l.grants[m.grant]
	lines := g.inFlight
	g.inFlight = nil
	if m.result.Err == nil {
		l.markLinesDurable(m, g, lines)
		return
	}
	g.queued = append(lines, g.queued...)
	l.grantsToFlush[m.grant] = struct{}{}
	if len(m.result.Conflicts) > 0 {
		l.reloadLines(now, m.grant, g, m.result.Conflicts)
	}
}

// markLinesDurable records that the lines of an operation were written, and answers
// the callers that wait for their settlement.
func (l *Local) markLinesDurable(m *linesWritten, g *grantState, lines []budget.Line) {
	g.version = m.result.Revision
	l.ledger.RaiseStreamLimit(m.grant, m.streamLimit)
	for key, row := range m.rows {
		l.lines[key] = lineState{version: m.result.Revision, line: row.line}
	}
	for _, line := range lines {
		_ = l.ledger.MarkDurable(line.Streams[0], line.Total()) // cannot fail: the grant stays open until its lines are durable
		l.settled[line.Streams[0]].resolve(true)
		l.opts.Observer.LineBilled(line.Customer, line.Total())
		l.scheduleWake(line.Budget)
	}
}

// reloadLines loads the line rows that another home wrote and submits the lines
// again. A changed grant row means that the repair role closed the grant. The
// holder row is then fenced too, which the next commit detects.
func (l *Local) reloadLines(now time.Time, id string, g *grantState, conflicts []storage.Row) {
	for _, row := range conflicts {
		if row.Key == budget.GrantKey(l.opts.Holder, id) {
			return
		}
		line, _ := decodeLine(row)
		l.lines[row.Key] = lineState{version: row.Version, line: line}
	}
	l.submitLines(now, id, g)
}
