package home

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/commit"
	"github.com/peppertrail/peppertrail/pkg/storage"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

const (
	// readTimeout limits a read of table rows outside the control goroutine.
	readTimeout = 2 * time.Second
	// minGrantOpenInterval is the minimum time between grants that are opened for a
	// budget while no request waits for one, so that an almost exhausted budget is
	// not split into a series of ever smaller grants.
	minGrantOpenInterval = time.Second
	// closableRemainderTokens is the number of unreserved tokens below which a
	// grant counts as used up and is closed.
	closableRemainderTokens = 64
)

// budgetState is the state that the home keeps for a budget, with a cached copy
// of the budget row.
type budgetState struct {
	id                 string
	record             budget.Record
	version            uint64    // version of the cached row; 0 if there is no row or none is cached
	busy               bool      // a read of the row or an operation on it has not finished
	absentAt           time.Time // when a read last found no valid row
	exhaustedAt        time.Time // when the row last had too few free tokens for a grant
	grantOpenStartedAt time.Time // when the opening of a grant was last started by ensureGrant
}

func (l *Local) budget(id string) *budgetState {
	b, ok := l.budgets[id]
	if !ok {
		b = &budgetState{id: id}
		l.budgets[id] = b
	}
	return b
}

// openReservations returns the number of open reservations, whose settlement
// may free tokens.
func (b *budgetState) openReservations(l *Local) int {
	return l.ledger.OpenReservationsOn(b.id)
}

// refusal returns the error for a request with this bound if a read of the row
// less than exhaustedRetryAfter ago found no budget or too few free tokens, and nil
// otherwise.
func (b *budgetState) refusal(now time.Time, bound int64) *verdict.Error {
	if now.Sub(b.absentAt) < exhaustedRetryAfter {
		return verdict.New(verdict.NotRun, verdict.UnknownBudget, "budget %q does not exist", b.id)
	}
	if now.Sub(b.exhaustedAt) < exhaustedRetryAfter && b.record.Free() < bound {
		e := verdict.New(verdict.NotRun, verdict.BudgetExhausted, "budget %q has no room for %d tokens", b.id, bound)
		return e.WithRetryAfter(exhaustedRetryAfter)
	}
	return nil
}

// ensureGrant opens another grant if the open ones do not cover the demand. need
// is the bound in tokens of a waiting request, 0 for none.
func (l *Local) ensureGrant(now time.Time, id string, p budget.Policy, need int64) {
	b := l.budget(id)
	if b.busy {
		return
	}
	if need == 0 && now.Sub(b.grantOpenStartedAt) < minGrantOpenInterval {
		return
	}
	demand := l.ledger.Demand(now, id, p, need)
	if demand == 0 {
		return
	}
	b.grantOpenStartedAt = now
	b.busy = true
	if b.version == 0 {
		l.async(func() { l.readBudget(id, p, need) })
		return
	}
	l.submitGrantOpen(now, b, p, demand, need)
}

// readBudget reads the budget row outside the control goroutine.
func (l *Local) readBudget(id string, p budget.Policy, need int64) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	rows, err := l.opts.Table.Get(ctx, budget.BudgetKey(id))
	m := &budgetRead{id: id, policy: p, need: need, err: err}
	if err == nil && len(rows) == 1 {
		m.row = rows[0]
	}
	l.post(m)
}

// budgetRead carries a budget row to the control goroutine.
type budgetRead struct {
	id     string
	policy budget.Policy // zero: the row is read to close a grant
	need   int64         // bound in tokens of a waiting request, 0 for none
	row    storage.Row
	err    error
}

func (m *budgetRead) handle(l *Local, now time.Time) {
	b := l.budget(m.id)
	b.busy = false
	if m.err != nil {
		return // waiters stay until their deadline; the next reservation reads the row again
	}
	if err := b.load(m.row); err != nil || b.version == 0 {
		b.absentAt = now
		l.scheduleWake(m.id)
		return
	}
	if m.policy == (budget.Policy{}) {
		l.scheduleWake(b.id) // the row was read to close a grant; the next close uses the cached row
		return
	}
	l.openGrantIfNeeded(now, b, m.policy, m.need)
}

// load replaces the cached budget row by a row of the table.
func (b *budgetState) load(row storage.Row) error {
	b.version = row.Version
	b.record = budget.Record{}
	if row.Version == 0 {
		return nil
	}
	if err := json.Unmarshal(row.Value, &b.record); err != nil {
		b.version = 0
		return fmt.Errorf("decode budget %s: %w", b.id, err)
	}
	return nil
}

// openGrantIfNeeded opens a grant after the budget row was read, if the open
// grants still do not cover the demand.
func (l *Local) openGrantIfNeeded(now time.Time, b *budgetState, p budget.Policy, need int64) {
	demand := l.ledger.Demand(now, b.id, p, need)
	if demand == 0 {
		l.scheduleWake(b.id)
		return
	}
	b.busy = true
	l.submitGrantOpen(now, b, p, demand, need)
}

// submitGrantOpen debits the budget and writes the grant row in one operation.
func (l *Local) submitGrantOpen(now time.Time, b *budgetState, p budget.Policy, demand, need int64) {
	amount := p.Size(b.record.Free(), demand, need)
	if amount == 0 {
		b.busy = false
		l.markExhausted(now, b)
		return
	}
	l.nextGrant++
	record := budget.GrantRecord{
		ID:      budget.GrantID(l.opts.Holder, l.nextGrant),
		Holder:  l.opts.Holder,
		Budget:  b.id,
		Amount:  amount,
		State:   budget.GrantOpen,
		Streams: l.ledger.StreamWindow(now, b.id, p),
	}
	next := b.record
	next.Granted += amount
	op := commit.Op{
		Conditions: []storage.Condition{
			{Key: budget.BudgetKey(b.id), Version: b.version},
			{Key: budget.GrantKey(record.Holder, record.ID)},
		},
		Puts: []storage.Put{
			{Key: budget.BudgetKey(b.id), Value: encode(next)},
			{Key: budget.GrantKey(record.Holder, record.ID), Value: encode(record)},
		},
	}
	holder := l.opts.Holder
	op.Done = func(r commit.Result) {
		l.post(&grantOpened{holder: holder, budget: next, record: record, policy: p, need: need, result: r})
	}
	l.opts.Committer.Submit(op)
}

// markExhausted marks the budget as exhausted. It drops the cached row, so that
// the next attempt to open a grant reads the row again and sees a top-up.
func (l *Local) markExhausted(now time.Time, b *budgetState) {
	b.exhaustedAt = now
	b.version = 0
	l.scheduleWake(b.id)
}

// grantOpened carries the result of submitGrantOpen to the control goroutine.
type grantOpened struct {
	holder string
	budget budget.Record
	record budget.GrantRecord
	policy budget.Policy
	need   int64 // bound in tokens of a waiting request, 0 for none
	result commit.Result
}

func (m *grantOpened) handle(l *Local, now time.Time) {
	if m.holder != l.opts.Holder {
		return // the repair role recovers the grants of a fenced incarnation
	}
	b := l.budget(m.budget.ID)
	b.busy = false
	switch {
	case m.result.Err == nil:
		b.record = m.budget
		b.version = m.result.Revision
		l.grants[m.record.ID] = &grantState{version: m.result.Revision}
		l.ledger.Open(now, m.record)
		l.opts.Observer.GrantOpened(m.budget.ID, m.record.Amount)
		l.scheduleWake(m.budget.ID)
	case len(m.result.Conflicts) > 0:
		l.reloadBudget(now, b, m)
	}
}

// reloadBudget tries to open the grant again after another daemon changed the
// budget row.
func (l *Local) reloadBudget(now time.Time, b *budgetState, m *grantOpened) {
	for _, row := range m.result.Conflicts {
		if row.Key != budget.BudgetKey(b.id) {
			continue
		}
		if err := b.load(row); err != nil || b.version == 0 {
			b.absentAt = now
			l.scheduleWake(b.id)
			return
		}
		l.openGrantIfNeeded(now, b, m.policy, m.need)
		return
	}
	b.version = 0
}
