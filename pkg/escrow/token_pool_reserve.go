package escrow

import (
	"context"
	"fmt"
	"time"

	"github.com/peppertrail/peppertrail/pkg/pause"
)

// reserve takes tokens for a request. If the limit does not cover them, it
// wakes the goroutines that enlarge the share and write usage reports, and waits
// until the limit covers the tokens, the reservation is refused or
// maxReserveWait has passed.
func (p *tokenPool) reserve(ctx context.Context, tokens int64) (*Reservation, error) {
	m := p.manager
	timer := time.NewTimer(maxReserveWait)
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
		if err := p.awaitChange(ctx, timer.C, tokens); err != nil {
			return nil, err
		}
	}
}

// awaitChange waits for a change of the process's shares or reports. It returns an error
// if the request ends or the timer expires first. The caller holds the manager's mutex,
// which is released meanwhile.
func (p *tokenPool) awaitChange(ctx context.Context, expired <-chan time.Time, tokens int64) error {
	m := p.manager
	stateChanged := m.stateChanged
	m.mu.Unlock()
	defer m.mu.Lock()
	select {
	case <-stateChanged:
		return nil
	case <-expired:
		return &UnreachableError{Reason: p.unconfirmedReason(tokens), RetryAfter: retryAfterSlowTable}
	case <-ctx.Done():
		return &UnreachableError{Reason: "the request was cancelled or timed out"}
	}
}

// stopWaiting removes a reservation from those that wait.
func (p *tokenPool) stopWaiting(r *Reservation) {
	delete(p.waiting, r)
	if len(p.waiting) == 0 {
		p.returnChecks = 0
	}
}

// unconfirmedReason returns why a reservation that has waited for maxReserveWait is
// refused: whether the share or the spending limit does not cover it, and how long the
// process has waited for the table.
func (p *tokenPool) unconfirmedReason(tokens int64) string {
	m := p.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	now, used, amount := p.now(), p.ledger.used(), p.ledger.guaranteed()
	reason := fmt.Sprintf("no larger share or spending limit was confirmed within %d ms: the request needs %d, this host has %d of its %d tokens left and its spending limit covers %d, account confirmed %d ms ago",
		maxReserveWait.Milliseconds(), tokens, amount-used, amount, p.ledger.limit(now, m.ownReports)-used, (now - p.loadedAt).Milliseconds())
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

// refusal returns an error if a reservation above the limit cannot succeed by
// waiting, or nil if it may.
func (p *tokenPool) refusal(now, start time.Duration, tokens int64) error {
	view := p.view(p.account)
	remaining := view.prepaid - view.settled - view.used - view.others.Used
	if p.loaded && now-p.loadedAt <= maxAccountAge && tokens > remaining {
		return fmt.Errorf("%w: %d of %d tokens remain, request needs %d", ErrExhausted, max(0, remaining), view.prepaid, tokens)
	}
	switch {
	case p.manager.leaving:
		return &UnreachableError{Reason: "the host is leaving", RetryAfter: retryAfterSlowTable}
	case !p.tableResponsive(now):
		if wait, ok := p.ledger.timeUntilAllowed(now, p.manager.ownReports, tokens); ok {
			return &UnreachableError{Reason: "the budget table does not answer; the spending limit of this host will cover the request shortly", RetryAfter: wait}
		}
		return &UnreachableError{Reason: "the budget table does not answer and the spending limit of this host does not cover the request", RetryAfter: retryAfterShareReturn}
	case p.unmetAt >= start && p.unmetTokens >= tokens:
		reason := fmt.Sprintf("other hosts hold %d of %d unspent tokens, %d are free, this host has %d of its %d tokens left", view.others.Amount-view.others.Used, view.unspent(), view.free(), view.amount-view.used, view.amount)
		return &UnreachableError{Reason: reason, RetryAfter: retryAfterShareReturn}
	}
	return nil
}

func (p *tokenPool) settle(r *Reservation, spent int64) {
	p.manager.mu.Lock()
	defer p.manager.mu.Unlock()
	p.ledger.settle(p.now(), r.epoch, r.tokens, spent)
}
