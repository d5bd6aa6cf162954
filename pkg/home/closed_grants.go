package home

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/commit"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// errGrantNotClosed means that a grant's holder may still settle its attempts.
var errGrantNotClosed = errors.New("grant is not closed")

// closedGrants writes the bill lines of attempts that ran on closed grants of other
// holders. Each line changes the row of its grant, so that two operations for one grant
// at the same time would conflict. Therefore at most one goroutine or operation handles
// a grant, and it takes all settlements that wait. A closedGrants belongs to one
// session of the daemon and is safe for concurrent use.
type closedGrants struct {
	table     storage.Table
	committer Committer
	observer  Observer
	async     func(func()) // runs I/O outside the control goroutine

	mu      sync.Mutex
	waiting map[string][]*settleMessage // by grant id; an entry exists while the grant is handled
}

// settle queues a settlement and answers it when the result is known. It does no I/O.
func (c *closedGrants) settle(m *settleMessage) {
	grant := m.req.Grant
	if c.add(m) {
		c.async(func() { c.handle(grant) })
	}
}

// add queues a settlement. It reports whether nothing handles its grant yet.
func (c *closedGrants) add(m *settleMessage) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting, handled := c.waiting[m.req.Grant]
	c.waiting[m.req.Grant] = append(waiting, m)
	return !handled
}

// take removes and returns up to maxLinesPerOp settlements of a grant, in order of
// arrival. If none waits, it returns none, and the caller must stop handling the grant.
func (c *closedGrants) take(grant string) []*settleMessage {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := c.waiting[grant]
	if len(waiting) == 0 {
		delete(c.waiting, grant)
		return nil
	}
	n := min(len(waiting), maxLinesPerOp)
	c.waiting[grant] = waiting[n:]
	return waiting[:n:n]
}

// handle settles the waiting settlements of a grant until none waits or an operation
// was submitted, whose result continues the work.
func (c *closedGrants) handle(grant string) {
	for {
		settlements := c.take(grant)
		if len(settlements) == 0 || c.settleTogether(grant, settlements) {
			return
		}
	}
}

// settleTogether writes the bill lines of settlements of one grant in one operation. It
// does so only after that grant was closed: while the grant is open, its holder may
// still settle the attempts itself. It reports whether it submitted an operation.
func (c *closedGrants) settleTogether(grant string, settlements []*settleMessage) bool {
	op, err := c.read(grant, settlements)
	if err != nil {
		for _, m := range settlements {
			m.answer(false) // the entry daemon sends the settlement again
		}
		return false
	}
	for _, m := range settlements {
		if earlier, ok := op.chargedLine(m); ok {
			// The grant does not change, so this is an operation of its own.
			amendLine(c.committer, m, op.rows[m.lineKey()], earlier)
			continue
		}
		if !op.add(m) {
			c.add(m)
		}
	}
	if len(op.lines) == 0 {
		return false
	}
	c.committer.Submit(commit.Op{
		Conditions: op.conditions(),
		Puts:       op.puts(),
		Done:       func(r commit.Result) { c.finish(op, r) },
	})
	return true
}

// finish answers the settlements of an operation and handles those that arrived
// meanwhile.
func (c *closedGrants) finish(op *closedGrantOp, r commit.Result) {
	for _, line := range op.lines {
		if r.Err == nil {
			c.observer.LateLine(op.grant.ID, line.tokens)
		}
		line.settlement.answer(r.Err == nil)
	}
	c.async(func() { c.handle(op.grant.ID) })
}

// read reads the rows that the settlements change. It returns errGrantNotClosed or an
// error of the table.
func (c *closedGrants) read(grant string, settlements []*settleMessage) (*closedGrantOp, error) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	grantKey := budget.GrantKey(budget.HolderOfGrant(grant), grant)
	keys := []string{grantKey}
	requested := make(map[string]bool)
	for _, m := range settlements {
		if key := m.lineKey(); !requested[key] {
			requested[key] = true
			keys = append(keys, key)
		}
	}
	rows, err := c.table.Get(ctx, keys...)
	if err != nil {
		return nil, fmt.Errorf("read closed grant: %w", err)
	}
	op := newClosedGrantOp(rows, grantKey)
	if op.grantRow.Version == 0 || json.Unmarshal(op.grantRow.Value, &op.grant) != nil || op.grant.State != budget.GrantClosed {
		return nil, errGrantNotClosed
	}
	return op, nil
}
