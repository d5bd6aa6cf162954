package escrow

import (
	"context"
	"fmt"
	"time"

	"github.com/peppertrail/peppertrail/pkg/pause"
)

// reserve takes tokens for a request: from the share of this host if its limit covers
// them, otherwise, in a large fleet, from the share of the account's broker.
func (p *tokenPool) reserve(ctx context.Context, tokens int64) (*Reservation, error) {
	if err := p.checkSize(tokens); err != nil {
		return nil, err
	}
	if r := p.reserveNow(tokens); r != nil {
		return r, nil
	}
	if r, decided, err := p.reserveAtBroker(ctx, tokens); decided {
		return r, err
	}
	return p.reserveHere(ctx, tokens, reserveWait(ctx))
}

// checkSize returns an error for a request that the whole prepaid total does not cover. Its
// size must not count as that of a usual request, for which hosts hold tokens.
func (p *tokenPool) checkSize(tokens int64) error {
	p.manager.mu.Lock()
	defer p.manager.mu.Unlock()
	switch {
	case tokens < 0:
		return fmt.Errorf("%w: the request needs %d tokens", ErrExhausted, tokens)
	case tokens > p.prepaid:
		return fmt.Errorf("%w: the request needs %d tokens, %d are prepaid in all", ErrExhausted, tokens, p.prepaid)
	}
	return nil
}

// reserveWait returns how long a request may wait for tokens: a part of the time that it
// has left.
func reserveWait(ctx context.Context) time.Duration {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return maxReserveWait
	}
	return min(max(minReserveWait, time.Until(deadline)/reserveWaitParts), maxReserveWait)
}

// reserveNow takes tokens from the share of this host, and returns nil if the limit does
// not cover them.
func (p *tokenPool) reserveNow(tokens int64) *Reservation {
	m := p.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	if !p.ledger.reserve(p.now(), m.ownReports, tokens) {
		return nil
	}
	p.triggerRefill()
	return &Reservation{pool: p, epoch: p.ledger.epoch, tokens: tokens}
}

// reserveHere takes tokens from the share of this host. If the limit does not cover them,
// it wakes the goroutines that enlarge the share and write usage reports, and waits
// until the limit covers the tokens, the reservation is refused or wait has passed.
func (p *tokenPool) reserveHere(ctx context.Context, tokens int64, wait time.Duration) (*Reservation, error) {
	m := p.manager
	timer := time.NewTimer(wait)
	defer timer.Stop()
	r := &Reservation{pool: p, tokens: tokens}
	m.mu.Lock()
	defer func() {
		p.stopWaiting(r)
		m.mu.Unlock()
	}()
	start := p.now()
	for {
		now := p.now()
		if p.ledger.reserve(now, m.ownReports, tokens) {
			r.epoch = p.ledger.epoch
			p.triggerRefill()
			return r, nil
		}
		if wait, ok := p.ceilingWait(ctx, now, start, tokens); ok {
			m.mu.Unlock()
			pause.For(ctx, wait)
			m.mu.Lock()
			continue
		}
		if err := p.refusal(now, start, tokens); err != nil {
			return nil, err
		}
		p.waiting[r] = tokens
		p.trigger()
		m.reporter.trigger()
		if err := p.awaitChange(ctx, timer.C, tokens, wait); err != nil {
			return nil, err
		}
	}
}

// awaitChange waits for a change of the process's shares or reports. It returns an error
// if the request ends or the timer expires first. The caller holds the manager's mutex,
// which is released meanwhile.
func (p *tokenPool) awaitChange(ctx context.Context, expired <-chan time.Time, tokens int64, wait time.Duration) error {
	m := p.manager
	stateChanged := m.stateChanged
	m.mu.Unlock()
	defer m.mu.Lock()
	select {
	case <-stateChanged:
		return nil
	case <-expired:
		return &UnreachableError{Reason: p.unconfirmedReason(tokens, wait), RetryAfter: retryAfterSlowTable, Late: true}
	case <-ctx.Done():
		return &UnreachableError{Reason: "the request was cancelled or timed out", Late: true}
	}
}

// notifyCovered makes the waiting reservations check again if the limit now covers one of
// them, because a reservation was settled with fewer tokens than it had reserved.
func (p *tokenPool) notifyCovered(now time.Duration) {
	if smallest, waits := p.waiting.smallest(); waits && p.ledger.used()+smallest <= p.ledger.limit(now, p.manager.ownReports) {
		p.manager.notifyWaiters()
	}
}

// stopWaiting removes a reservation from those that wait.
func (p *tokenPool) stopWaiting(r *Reservation) {
	delete(p.waiting, r)
	if len(p.waiting) == 0 {
		p.returnChecks = 0
	}
}

// unconfirmedReason returns why a reservation that has waited for the given time is
// refused: whether the share or the spending limit does not cover it, and how long the
// process has waited for the table.
func (p *tokenPool) unconfirmedReason(tokens int64, wait time.Duration) string {
	m := p.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	now, used, amount := p.now(), p.ledger.used(), p.ledger.guaranteed()
	reason := fmt.Sprintf("no larger share or spending limit was confirmed within %d ms: the request needs %d, this host has %d of its %d tokens left and its spending limit covers %d, account confirmed %d ms ago",
		wait.Milliseconds(), tokens, amount-used, amount, p.ledger.limit(now, m.ownReports)-used, (now - p.loadedAt).Milliseconds())
	if p.recovery.running {
		reason += ", the account is recovered after a return of the store from an older copy"
	}
	if pending := m.ownReports.pending; pending != nil {
		reason += fmt.Sprintf(", usage report unconfirmed for %d ms", (now - pending.sentAt).Milliseconds())
	}
	return reason
}

const (
	// Times after which a refused reservation may succeed.
	retryAfterSlowTable   = 300 * time.Millisecond
	retryAfterShareReturn = time.Second // by then other hosts have reported and returned tokens
)

// maxCeilingWait is the longest time that a reservation waits for its host's
// ceiling to rise while the table does not answer.
const maxCeilingWait = ceilingTerm

// tableResponsive reports whether the table answers, so that a request may
// gain by waiting for it.
func (p *tokenPool) tableResponsive(now time.Duration) bool {
	pending := p.manager.ownReports.pending
	overdue := pending != nil && now-pending.sentAt > reportOverdueAfter
	return p.reachable && p.manager.reporter.reachable && !overdue
}

// answersLate reports whether the table is not responsive because its answers are late, and not
// because it refuses calls.
func (p *tokenPool) answersLate() bool {
	r := p.manager.reporter
	return (p.reachable || p.late) && (r.reachable || r.late)
}

// ceilingWait returns how long to wait until the rising ceiling covers the
// reservation, and false if that would take more than a third of the request's
// remaining time or exceed maxCeilingWait. Waiting here saves the caller a
// refusal and a retry.
func (p *tokenPool) ceilingWait(ctx context.Context, now, start time.Duration, tokens int64) (time.Duration, bool) {
	if p.manager.leaving || p.tableResponsive(now) || ctx.Err() != nil {
		return 0, false
	}
	wait, ok := p.ledger.timeUntilAllowed(now, p.manager.ownReports, tokens)
	if !ok || now-start+wait > maxCeilingWait {
		return 0, false
	}
	if deadline, bounded := ctx.Deadline(); bounded && time.Until(deadline) < 3*wait {
		return 0, false
	}
	return max(wait, limitSearchStep), true
}

// triggerRefill triggers a usage report or a change of the share before the
// tokens run out.
func (p *tokenPool) triggerRefill() {
	if p.needsHigherCeiling() {
		p.manager.reporter.trigger()
	}
	if p.ledger.amount-p.ledger.used() < int64(peakRequestsCovered*p.ledger.meter.peakRequest) && p.now()-p.lastCallAt > maxAccountAge {
		p.trigger()
	}
}

// describe returns how the prepaid total is divided as far as this host knows, for the
// message of a refusal. The parts add up to the prepaid total.
func (p *tokenPool) describe(v budgetView, now time.Duration) string {
	return fmt.Sprintf("of %d prepaid tokens %d are spent, %d held by this host, %d by other hosts, %d by hosts whose use is not known, and %d are free, as of %d ms ago",
		v.prepaid, v.settled+v.used+v.others.Used, v.amount-v.used, v.others.Amount-v.others.Used-v.others.Unreported, v.others.Unreported, v.prepaid-v.settled-v.amount-v.others.Amount, (now - p.loadedAt).Milliseconds())
}

// refusal returns an error if a reservation above the limit cannot succeed by
// waiting, or nil if it may.
func (p *tokenPool) refusal(now, start time.Duration, tokens int64) error {
	view := p.view(p.account)
	remaining := view.prepaid - view.settled - view.used - view.others.Used
	if p.loaded && now-p.loadedAt <= maxAccountAge && tokens > remaining {
		return fmt.Errorf("%w: the request needs %d tokens; %s", ErrExhausted, tokens, p.describe(view, now))
	}
	switch {
	case p.manager.leaving:
		return &UnreachableError{Reason: "the host is leaving", RetryAfter: retryAfterSlowTable}
	case !p.tableResponsive(now):
		if wait, ok := p.ledger.timeUntilAllowed(now, p.manager.ownReports, tokens); ok {
			return &UnreachableError{Reason: "the budget table does not answer; the spending limit of this host will cover the request shortly", RetryAfter: wait, Late: p.answersLate()}
		}
		return &UnreachableError{Reason: "the budget table does not answer and the spending limit of this host does not cover the request", RetryAfter: retryAfterShareReturn, Late: p.answersLate()}
	case p.recoveryDelayed(now):
		return &UnreachableError{Reason: "the store has returned from an older copy, and the account grants nothing until its shares are recovered", RetryAfter: retryAfterShareReturn}
	case p.unmetAt >= start && p.unmetTokens >= tokens:
		reason := fmt.Sprintf("other hosts hold the tokens that the request needs, %d; %s", tokens, p.describe(view, now))
		return &UnreachableError{Reason: reason, RetryAfter: retryAfterShareReturn}
	}
	return nil
}
