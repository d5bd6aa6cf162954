package home

import (
	"maps"
	"slices"
	"time"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// waiter is a reservation that waits for a grant.
type waiter struct {
	message  *reserveMessage
	policy   budget.Policy
	deadline time.Time
}

// scheduleWake marks a budget so that its waiters are tried again after the current
// message. Trying them at once could change the list of waiters during an iteration.
func (l *Local) scheduleWake(budgetID string) {
	l.budgetsToWake[budgetID] = struct{}{}
}

// wakeMarkedBudgets tries the waiters of every marked budget again.
func (l *Local) wakeMarkedBudgets(now time.Time) {
	for len(l.budgetsToWake) > 0 {
		budgets := l.budgetsToWake
		l.budgetsToWake = make(map[string]struct{})
		for _, id := range slices.Sorted(maps.Keys(budgets)) {
			l.wakeWaiters(now, id)
		}
	}
}

// wakeWaiters tries the waiters of a budget again.
func (l *Local) wakeWaiters(now time.Time, budgetID string) {
	l.waiters = slices.DeleteFunc(l.waiters, func(w *waiter) bool {
		return w.message.req.Budget == budgetID && l.tryReserve(now, w)
	})
}

// expireWaiters refuses the waiters whose deadline has passed.
func (l *Local) expireWaiters(now time.Time) {
	l.waiters = slices.DeleteFunc(l.waiters, func(w *waiter) bool {
		if now.Before(w.deadline) {
			return false
		}
		w.message.refuse(l.deadlineRefusal(now, w))
		return true
	})
}

// deadlineRefusal returns the error for a waiter whose deadline has passed.
func (l *Local) deadlineRefusal(now time.Time, w *waiter) *verdict.Error {
	req := w.message.req
	if refusal := l.budget(req.Budget).refusal(now, req.Bound); refusal != nil {
		return refusal
	}
	e := verdict.New(verdict.NotRun, verdict.BudgetUnreachable, "no grant covers %d tokens and the table did not answer in time", req.Bound)
	return e.WithRetryAfter(unreachableRetryAfter)
}
