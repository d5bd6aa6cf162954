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
	// readTimeout bounds a read of a budget row.
	readTimeout = 2 * time.Second
	// refillInterval bounds how often a budget is topped up from the table
	// while no request waits, so that an almost spent budget is not debited
	// in ever smaller grants.
	refillInterval = time.Second
	// spentTokens is the remainder below which a grant counts as used up.
	closableRemainderTokens = 64
)

// budgetState is what the home knows of a budget row.
type budgetState struct {
	id          string
	record      budget.Record
	version     uint64 // 0: not read yet, or absent
	busy        bool   // a read or an operation on the row is under way
	absentAt    time.Time
	exhaustedAt time.Time // when the row last had less free than asked for
	refilledAt  time.Time
}

func (l *Local) budget(id string) *budgetState {
	b, ok := l.budgets[id]
	if !ok {
		b = &budgetState{id: id}
		l.budgets[id] = b
	}
	return b
}

// outstanding returns the reservations whose settlement may give room.
func (b *budgetState) runningReservations(l *Local) int {
	return l.ledger.RunningOn(b.id)
}

// refusal returns the refusal of a request of this bound if the row, read
// recently, has no room for it.
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

// ensureGrant opens a further grant if the open ones are not enough. need is
// the bound of a waiting request, 0 for none.
func (l *Local) ensureGrant(now time.Time, id string, p budget.Policy, need int64) {
	b := l.budget(id)
	if b.busy {
		return
	}
	if need == 0 && now.Sub(b.refilledAt) < refillInterval {
		return
	}
	demand := l.ledger.Demand(now, id, p, need)
	if demand == 0 {
		return
	}
	b.refilledAt = now
	b.busy = true
	if b.version == 0 {
		l.async(func() { l.readBudget(id, p, need) })
		return
	}
	l.submitGrantOpen(now, b, p, demand, need)
}

// readBudget reads the row outside the control goroutine.
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
	need   int64
	row    storage.Row
	err    error
}

func (m *budgetRead) handle(l *Local, now time.Time) {
	b := l.budget(m.id)
	b.busy = false
	if m.err != nil {
		return // the waiters stay until their deadline; the next tick of a request reads again
	}
	if err := b.load(m.row); err != nil || b.version == 0 {
		b.absentAt = now
		l.wake(m.id)
		return
	}
	if m.policy == (budget.Policy{}) {
		l.wake(b.id) // read for a close, which is tried again with the row at hand
		return
	}
	l.openGrantIfNeeded(now, b, m.policy, m.need)
}

// load takes over a row of the table.
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

// ensureOpen continues an open after the row became known.
func (l *Local) openGrantIfNeeded(now time.Time, b *budgetState, p budget.Policy, need int64) {
	demand := l.ledger.Demand(now, b.id, p, need)
	if demand == 0 {
		l.wake(b.id)
		return
	}
	b.busy = true
	l.submitGrantOpen(now, b, p, demand, need)
}

// submitOpen debits the budget and writes the grant in one operation.
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
		Streams: l.ledger.Window(now, b.id, p),
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

// noRoom marks the budget as exhausted. The cached row is dropped, so that a
// top-up is seen at the next try.
func (l *Local) markExhausted(now time.Time, b *budgetState) {
	b.exhaustedAt = now
	b.version = 0
	l.wake(b.id)
}

// grantOpened carries the outcome of submitOpen to the control goroutine.
type grantOpened struct {
	holder string
	budget budget.Record
	record budget.GrantRecord
	policy budget.Policy
	need   int64
	result commit.Result
}

func (m *grantOpened) handle(l *Local, now time.Time) {
	if m.holder != l.opts.Holder {
		return // a grant of a fenced incarnation is recovered by the repair role
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
		l.wake(m.budget.ID)
	case len(m.result.Conflicts) > 0:
		l.reloadBudget(now, b, m)
	}
}

// reloadBudget tries again after another daemon changed the row.
func (l *Local) reloadBudget(now time.Time, b *budgetState, m *grantOpened) {
	for _, row := range m.result.Conflicts {
		if row.Key != budget.BudgetKey(b.id) {
			continue
		}
		if err := b.load(row); err != nil || b.version == 0 {
			b.absentAt = now
			l.wake(b.id)
			return
		}
		l.openGrantIfNeeded(now, b, m.policy, m.need)
		return
	}
	b.version = 0
}
