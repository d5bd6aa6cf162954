package escrow

import (
	"context"
	"fmt"
	"time"

	"github.com/peppertrail/peppertrail/pkg/pause"
)

// reserve takes tokens, or asks the table for them and waits for its decision.
func (p *tokenPool) reserve(ctx context.Context, tokens int64) (*Reservation, error) {
	k := p.keeper
	timer := time.NewTimer(maxReserveWait)
	defer timer.Stop()
	k.mu.Lock()
	start := p.now()
	for {
		now := p.now()
		if p.ledger.reserve(now, k.reports, tokens) {
			r := &Reservation{pool: p, epoch: p.ledger.epoch, tokens: tokens}
			p.largestWaiting, p.returnChecks = 0, 0 // others that wait ask again
			p.triggerRefill()
			k.mu.Unlock()
			return r, nil
		}
		if wait, ok := p.ceilingWait(ctx, now, start, tokens); ok {
			k.mu.Unlock()
			pause.For(ctx, wait)
			k.mu.Lock()
			continue
		}
		if err := p.refusal(now, start, tokens); err != nil {
			k.mu.Unlock()
			return nil, err
		}
		p.largestWaiting = max(p.largestWaiting, tokens)
		stateChanged := k.stateChanged
		p.trigger()
		k.reporter.trigger()
		k.mu.Unlock()
		select {
		case <-stateChanged:
		case <-timer.C:
			return nil, &UnreachableError{Reason: "the table has not answered in time", RetryAfter: retryAfterSlowTable}
		case <-ctx.Done():
			return nil, &UnreachableError{Reason: "the request has ended"}
		}
		k.mu.Lock()
	}
}

const (
	// Times after which a refused reservation may succeed.
	retryAfterSlowTable   = 300 * time.Millisecond
	retryAfterShareReturn = time.Second // other hosts have reported and given back by then
)

// maxCeilingWait is the longest time that a reservation waits for its host's
// ceiling to rise while the table does not answer.
const maxCeilingWait = ceilingTerm

// tableResponsive reports whether waiting for the table may help a request.
func (p *tokenPool) tableResponsive(now time.Duration) bool {
	pending := p.keeper.reports.pending
	overdue := pending != nil && now-pending.sentAt > reportOverdueAfter
	return p.reachable && p.keeper.reporter.reachable && !overdue
}

// ceilingWait returns how long to wait for the ceiling if that takes no large
// part of the request's time. The wait ends with the tokens in hand, so that the
// caller need not come back for them.
func (p *tokenPool) ceilingWait(ctx context.Context, now, start time.Duration, tokens int64) (time.Duration, bool) {
	if p.keeper.leaving || p.tableResponsive(now) || ctx.Err() != nil {
		return 0, false
	}
	wait, ok := p.ledger.timeUntilAllowed(now, p.keeper.reports, tokens)
	if !ok || now-start+wait > maxCeilingWait {
		return 0, false
	}
	if deadline, bounded := ctx.Deadline(); bounded && time.Until(deadline) < 3*wait {
		return 0, false
	}
	return max(wait, limitSearchStep), true
}

// triggerRefill asks for more in time.
func (p *tokenPool) triggerRefill() {
	if p.needsHigherCeiling() {
		p.keeper.reporter.trigger()
	}
	if p.ledger.amount-p.ledger.used() < int64(peakRequestsCovered*p.ledger.meter.peakRequest) && p.now()-p.lastCallAt > maxAccountAge {
		p.trigger()
	}
}

// refusal decides whether a reservation that is above the limit can succeed by
// waiting.
func (p *tokenPool) refusal(now, start time.Duration, tokens int64) error {
	view := p.view(p.account)
	unspent := view.prepaid - view.settled - view.used - view.others.Spent
	if p.loaded && now-p.loadedAt <= maxAccountAge && tokens > unspent {
		return fmt.Errorf("%w: %d of %d tokens are left, %d are asked for", ErrExhausted, max(0, unspent), view.prepaid, tokens)
	}
	switch {
	case p.keeper.leaving:
		return &UnreachableError{Reason: "the host is leaving", RetryAfter: retryAfterSlowTable}
	case !p.tableResponsive(now):
		if wait, ok := p.ledger.timeUntilAllowed(now, p.keeper.reports, tokens); ok {
			return &UnreachableError{Reason: "the table does not answer, the ceiling will rise", RetryAfter: wait}
		}
		return &UnreachableError{Reason: "the table does not answer and the share is used up", RetryAfter: retryAfterShareReturn}
	case p.unmetAt >= start && p.unmetTokens >= tokens:
		reason := fmt.Sprintf("other hosts hold %d of %d unspent tokens, %d are free, this host has %d of %d", view.others.Amount-view.others.Spent, view.unspent(), view.free(), view.amount-view.used, view.amount)
		return &UnreachableError{Reason: reason, RetryAfter: retryAfterShareReturn}
	}
	return nil
}

func (p *tokenPool) settle(r *Reservation, spent int64) {
	p.keeper.mu.Lock()
	defer p.keeper.mu.Unlock()
	p.ledger.settle(p.now(), r.epoch, r.tokens, spent)
}
