package home

import (
	"encoding/json"
	"time"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// closedGrantOp is an operation that writes bill lines of one closed grant and moves
// their tokens from the written-off part of the grant to the used part.
type closedGrantOp struct {
	rows     map[string]storage.Row // rows as read, by key
	grantRow storage.Row            // as read
	grant    budget.GrantRecord     // with the lines of the operation
	lines    []lateLine
	written  map[string]bool // keys of lines
}

// lateLine is the bill line of one settlement.
type lateLine struct {
	settlement *settleMessage
	key        string
	line       budget.Line
	tokens     int64 // tokens that the line moves to the used part
}

func newClosedGrantOp(rows []storage.Row, grantKey string) *closedGrantOp {
	op := &closedGrantOp{rows: make(map[string]storage.Row, len(rows)), written: make(map[string]bool)}
	for _, row := range rows {
		op.rows[row.Key] = row
	}
	op.grantRow = op.rows[grantKey]
	return op
}

// lineKey returns the key of the settlement's bill line.
func (m *settleMessage) lineKey() string { return budget.LineKey(m.req.Customer, m.req.Request) }

// chargedLine returns the line in the table that already charges the settlement's
// stream, false if there is none.
func (op *closedGrantOp) chargedLine(m *settleMessage) (budget.Line, bool) {
	line, ok := decodeLine(op.rows[m.lineKey()])
	return line, ok && line.Charges(m.req.Stream)
}

// add adds the line of a settlement. It returns false if the operation already writes
// the line of the request, since the table rejects an operation that writes a key twice.
func (op *closedGrantOp) add(m *settleMessage) bool {
	key := m.lineKey()
	if op.written[key] {
		return false
	}
	tokens := min(m.req.Tokens, op.grant.WrittenOff)
	line := newLine(m.req, tokens, time.Now())
	if earlier, ok := decodeLine(op.rows[key]); ok {
		line = earlier.Merge(line)
	}
	op.grant.WrittenOff -= tokens
	op.grant.Used += tokens
	op.grant.Settled = op.grant.Settled.Add(budget.StreamNumber(m.req.Stream))
	op.written[key] = true
	op.lines = append(op.lines, lateLine{settlement: m, key: key, line: line, tokens: tokens})
	return true
}

// conditions requires that no row of the operation has changed since it was read.
func (op *closedGrantOp) conditions() []storage.Condition {
	conditions := []storage.Condition{{Key: op.grantRow.Key, Version: op.grantRow.Version}}
	for _, line := range op.lines {
		conditions = append(conditions, storage.Condition{Key: line.key, Version: op.rows[line.key].Version})
	}
	return conditions
}

func (op *closedGrantOp) puts() []storage.Put {
	puts := []storage.Put{{Key: op.grantRow.Key, Value: encode(op.grant)}}
	for _, line := range op.lines {
		puts = append(puts, storage.Put{Key: line.key, Value: encode(line.line)})
	}
	return puts
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
