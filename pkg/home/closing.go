package home

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/commit"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// closeGrants closes grants that are used up or were not used for GrantIdle. While
// the home is leaving, it closes every grant without open reservations.
func (l *Local) closeGrants(now time.Time) {
	ids := l.ledger.Closable(now, l.opts.GrantIdle, closableRemainderTokens)
	if l.leaving {
		ids = l.ledger.IdleGrants()
	}
	for _, id := range ids {
		l.closeGrant(now, id)
	}
}

// tryFreeTokens is called when the free tokens of a budget do not cover bound. It
// reports whether enough tokens may become free before the waiter's deadline:
//
//   - If the free tokens and the unreserved tokens of the open grants together cover
//     bound, it starts closing the idle grants, so that one new grant can replace
//     them, and returns true. Grants in use stay open.
//   - Otherwise it returns true if an attempt is running, because that attempt may
//     settle below its bound.
func (l *Local) tryFreeTokens(now time.Time, b *budgetState, bound int64) bool {
	if b.record.Free()+l.ledger.Available(b.id) < bound {
		return b.openReservations(l) > 0
	}
	for _, id := range l.ledger.GrantsOf(b.id) {
		l.closeGrant(now, id)
	}
	return true
}

// closeGrant starts returning the unused part of an idle grant to its budget. It
// does nothing while the grant is in use or the budget row is busy.
func (l *Local) closeGrant(now time.Time, id string) {
	g := l.grants[id]
	if g == nil || g.closing || len(g.queued)+len(g.inFlight) > 0 {
		return
	}
	record, ok := l.ledger.Record(id)
	if !ok || !l.ledger.Idle(id) {
		return
	}
	b := l.budget(record.Budget)
	if b.busy {
		return
	}
	if b.version == 0 {
		b.busy = true
		l.async(func() { l.readBudget(b.id, budget.Policy{}, 0) })
		return
	}
	if _, err := l.ledger.Remove(id); err != nil {
		return
	}
	g.closing = true
	b.busy = true
	l.submitGrantClose(b, g, record)
}

func (l *Local) submitGrantClose(b *budgetState, g *grantState, record budget.GrantRecord) {
	next := b.record
	next.Granted -= record.Amount
	next.Settled += record.Used
	record.State = budget.GrantClosed
	op := commit.Op{
		Conditions: []storage.Condition{
			{Key: budget.BudgetKey(b.id), Version: b.version},
			{Key: budget.GrantKey(record.Holder, record.ID), Version: g.version},
		},
		Puts: []storage.Put{
			{Key: budget.BudgetKey(b.id), Value: encode(next)},
			{Key: budget.GrantKey(record.Holder, record.ID), Value: encode(record)},
		},
	}
	holder := l.opts.Holder
	op.Done = func(r commit.Result) {
		l.post(&grantClosed{holder: holder, budget: next, record: record, result: r})
	}
	l.opts.Committer.Submit(op)
}

// grantClosed carries the result of submitGrantClose to the control goroutine.
type grantClosed struct {
	holder string
	budget budget.Record
	record budget.GrantRecord
	result commit.Result
}

func (m *grantClosed) handle(l *Local, now time.Time) {
	if m.holder != l.opts.Holder {
		return
	}
	b := l.budget(m.budget.ID)
	b.busy = false
	g := l.grants[m.record.ID]
	if m.result.Err == nil {
		b.record = m.budget
		b.version = m.result.Revision
		l.dropGrant(m.record.ID, g)
		l.opts.Observer.GrantClosed(m.budget.ID, m.record.Amount-m.record.Used)
		l.scheduleWake(b.id)
		if l.leaving {
			// Only one close per budget runs at a time. Waiting for the next sweep
			// would add a second for each grant.
			l.closeGrants(now)
		}
		return
	}
	l.retryClose(b, g, m)
}

func (l *Local) dropGrant(id string, g *grantState) {
	for _, stream := range g.streams {
		delete(l.settled, stream)
	}
	delete(l.grants, id)
}

// retryClose submits the close again after another daemon changed the budget row.
func (l *Local) retryClose(b *budgetState, g *grantState, m *grantClosed) {
	for _, row := range m.result.Conflicts {
		if row.Key != budget.BudgetKey(b.id) {
			continue
		}
		if err := b.load(row); err != nil || b.version == 0 {
			return
		}
		b.busy = true
		m.record.State = budget.GrantOpen
		l.submitGrantClose(b, g, m.record)
		return
	}
}
