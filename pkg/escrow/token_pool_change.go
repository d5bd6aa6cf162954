package escrow

import (
	"context"
	"errors"
	"time"

	"github.com/peppertrail/peppertrail/pkg/pause"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// accountChange is a new state of the account row that is to be written.
type accountChange struct {
	account         Account
	expectedVersion storage.Version  // version that the row must have for the change to apply
	share           Share            // own share after the change; Amount 0 if it is closed
	keepsShare      bool             // the process does not leave, so the change does not close its share
	served          []*queuedRequest // share requests to answer once the change is written
}

// setPendingAmount records that the share may become the given amount. While an
// earlier change is in doubt, any of the changes may be the one that applies, so
// the smallest amount limits the process.
func (p *tokenPool) setPendingAmount(amount int64) {
	if p.inDoubt && p.ledger.pendingAmount != nil {
		amount = min(amount, *p.ledger.pendingAmount)
	}
	p.ledger.pendingAmount = &amount
}

// planChange returns the next change of the account, or nil if none is needed,
// and whether the account must be read first.
func (p *tokenPool) planChange() (next *accountChange, mustRead bool) {
	p.manager.mu.Lock()
	defer p.manager.mu.Unlock()
	if p.recovery.running {
		return nil, false
	}
	if !p.loaded || p.brokerReply != nil {
		return nil, true
	}
	if p.manager.leaving && p.ledger.reserved > 0 {
		return nil, false
	}
	account := p.account.clone()
	closed := account.closeEnded(p.ledger.customer, p.manager.endedProcesses, p.expiredShares)
	served, changed, mustRead := p.applyQueue(&account)
	if mustRead {
		return nil, true
	}
	view := p.view(account)
	share := p.ownShare()
	amount := p.plannedAmount(view)
	_, held := account.Shares[share.key()]
	if amount == p.ledger.amount && !closed && !changed && !p.inDoubt && (held || amount == 0) && !(p.manager.leaving && held) {
		p.reply(served)
		return nil, p.handleUnmetReservation(view)
	}
	p.lastSeq++
	share.Amount, share.Seq = amount, p.lastSeq
	switch {
	case p.manager.leaving:
		account.closeShare(share.key(), p.ledger.used())
	case held || amount > 0 || p.inDoubt:
		account.Shares[share.key()] = share
	}
	p.setPendingAmount(share.Amount)
	account.Era, account.Base = p.accountVersion.Era, p.accountVersion.Number
	return &accountChange{account: account, expectedVersion: p.accountVersion, share: share, keepsShare: !p.manager.leaving, served: served}, false
}

// handleUnmetReservation is called when no change of the account is planned. If
// the share does not cover a waiting reservation, it announces the shortage and
// has the account checked a few times, provided that other hosts hold enough
// unspent tokens. Otherwise it records the reservation as unmet, so that it is
// refused and the next usage report includes the shortage. It returns true if
// the account must be read first, because another host may have returned tokens.
func (p *tokenPool) handleUnmetReservation(view budgetView) (mustRead bool) {
	if p.awaitsListing() {
		return false // the share is taken once the usage report is stored
	}
	if view.largestWaiting == 0 || view.amount-view.used >= view.largestWaiting {
		p.returnChecks = 0
		return false
	}
	now, nextCheckAt := p.now(), p.lastReturnCheckAt+returnCheckInterval
	switch {
	case p.returnChecks > 0 && now < nextCheckAt:
		return false // woken before other hosts had the time to return tokens
	case now-p.loadedAt > maxAccountAge, p.returnChecks > 0 && p.loadedAt < nextCheckAt:
		return true
	}
	if p.mayRequestReturn(view) {
		if p.returnChecks%announceEveryChecks == 0 {
			p.manager.options.AnnounceShortage(p.ledger.customer, p.holderAddrs(), p.returnChecks > 0)
		}
		p.returnChecks++
		p.lastReturnCheckAt = now
		return false
	}
	p.returnChecks = 0
	p.unmetAt, p.unmetTokens = p.now(), view.largestWaiting
	clear(p.waiting) // those that are not refused now wait again
	p.manager.notifyWaiters()
	p.manager.reporter.trigger()
	return false
}

// mayRequestReturn reports whether other hosts can return the tokens that the waiting
// reservation needs, in addition to those that this host has left and those that are free,
// and still have time to do so.
func (p *tokenPool) mayRequestReturn(view budgetView) bool {
	if p.manager.options.AnnounceShortage == nil || p.returnChecks >= maxReturnChecks {
		return false
	}
	returnable := view.others.Amount - view.others.Used - view.others.Unreported
	return returnable > 0 && view.amount-view.used+view.free()+returnable >= view.largestWaiting
}

// holderAddrs returns the addresses of the other hosts with shares, nil if the account is
// not known here.
func (p *tokenPool) holderAddrs() []string {
	if p.brokerReply != nil {
		return nil
	}
	addrs := make([]string, 0, len(p.account.Shares))
	for _, s := range p.account.Shares {
		if r, known := p.manager.membership.rows[s.Host]; known && r.Addr != "" && s.Host != p.manager.options.Host && s.Amount > 0 {
			addrs = append(addrs, r.Addr)
		}
	}
	return addrs
}

// recordClosedShares logs and counts what a change that was applied has written off
// by closing the shares of ended processes.
func (p *tokenPool) recordClosedShares(before, after Account) {
	var sum writeOff
	var newestReport, oldestReport time.Duration
	processes := make(map[string]bool)
	for key, s := range before.Shares {
		process, ended := p.manager.endedProcesses[s.Incarnation]
		if _, open := after.Shares[key]; open || !ended {
			continue
		}
		w, age := process.writeOff(p.ledger.customer, s), process.Report.age(process.EndedBy)
		u := process.Report.Customers[p.ledger.customer]
		p.manager.options.Log.Info().Str("customer", p.ledger.customer).Str("holder", s.Host).Str("incarnation", s.Incarnation).Int64("held", s.Amount).
			Int64("reported_spent", w.reported).Int64("counted_as_spent", process.maxSpent(p.ledger.customer, s)).
			Int64("headroom", w.headroom).Int64("risen", w.risen).Int64("unlisted", w.unlisted).
			Int64("ceiling_rate", u.CeilingRate).Int64("sustained_rate", u.SustainedRate).Int64("burst", u.Burst).Int64("long_term_demand", u.LongTermDemand).Int64("peak_request", u.PeakRequest).Dur("report_age", age).
			Msg("Closed the share of an ended process.")
		if len(processes) == 0 {
			newestReport = age
		}
		newestReport, oldestReport = min(newestReport, age), max(oldestReport, age)
		processes[s.Incarnation] = true
		sum = sum.add(w)
	}
	if len(processes) == 0 {
		return
	}
	unspent := p.view(after).unspent()
	p.manager.options.Log.Info().Str("customer", p.ledger.customer).Int("processes", len(processes)).Int64("prepaid", p.prepaid).
		Int64("unspent_before", unspent+sum.total()).Int64("unspent_after", unspent).Int64("written_off", sum.total()).
		Dur("newest_report_age", newestReport).Dur("oldest_report_age", oldestReport).
		Msg("Recovered an account from ended processes.")
	if count := p.manager.options.CountWrittenOff; count != nil {
		count(WriteOffHeadroom, sum.headroom)
		count(WriteOffRisen, sum.risen)
		count(WriteOffUnlisted, sum.unlisted)
	}
}

// submit writes a change and resends it until its outcome is known. It returns
// true once all shares are returned.
func (p *tokenPool) submit(ctx context.Context, c accountChange) (returned bool) {
	mayBeApplied := false
	resendDelay := firstResendDelay
	for ctx.Err() == nil {
		sentAt := p.now()
		outcome, err := p.transact(ctx, c)
		if err == nil {
			return p.applyOutcome(outcome, c, sentAt)
		}
		mayBeApplied = mayBeApplied || !errors.Is(err, storage.ErrNotApplied)
		p.manager.mu.Lock()
		p.lastCallAt = p.now()
		p.markUnreachable(err)
		if !mayBeApplied && !p.inDoubt {
			p.ledger.pendingAmount = nil
		}
		p.rejectRequests(c.served, err)
		c.served = nil
		p.manager.clearBrokerFailures()
		p.manager.mu.Unlock()
		pause.For(ctx, resendDelay)
		if !mayBeApplied || p.recovering() {
			return false
		}
		resendDelay = min(2*resendDelay, maxResendDelay)
	}
	return false
}

func (p *tokenPool) transact(ctx context.Context, c accountChange) (storage.RowOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := storage.RowKey{Table: p.manager.options.AccountTable, Part: p.ledger.customer, Key: accountKey}
	return p.manager.options.Rows.Transact(ctx, storage.RowTxn{
		Preconditions: []storage.Precondition{{RowKey: key, Version: c.expectedVersion}},
		Puts:          []storage.PartRow{{RowKey: key, Value: c.account.encode()}},
	})
}

// applyOutcome updates the account and the share after the table has applied or
// rejected a change. It returns true once all shares are returned.
func (p *tokenPool) applyOutcome(outcome storage.RowOutcome, c accountChange, sentAt time.Duration) (returned bool) {
	p.manager.mu.Lock()
	defer p.manager.mu.Unlock()
	p.lastCallAt = p.now()
	p.manager.recordStoreTime(outcome.Now, sentAt, outcome.Era)
	p.conflicted = !outcome.Applied
	if outcome.Applied {
		p.inDoubt = false
	}
	if !p.inDoubt {
		p.ledger.pendingAmount = nil
	}
	if outcome.Applied {
		before := p.account
		p.account, p.accountVersion, p.loadedAt = c.account, outcome.Version, p.now()
		p.confirmShare(c.share)
		p.recordClosedShares(before, c.account)
		p.reply(c.served)
	} else {
		p.applyConflict(outcome, c)
		p.queue = append(c.served, p.queue...)
	}
	p.markReachable()
	if c.keepsShare {
		return false
	}
	_, stillHeld := p.account.Shares[c.share.key()]
	return !stillHeld
}

// applyConflict updates the account and the share from the row that another
// host, or an earlier submission of the same change, has written.
func (p *tokenPool) applyConflict(outcome storage.RowOutcome, c accountChange) {
	var value []byte
	version := storage.Version{Era: outcome.Era}
	for _, row := range outcome.Current {
		if row.Key == accountKey {
			value, version = row.Value, row.Version
		}
	}
	if !c.keepsShare && !p.recovery.running {
		p.ledger.amount = 0 // an earlier submission may have closed the share
		if account, err := decodeAccount(value); err == nil {
			p.ledger.amount = account.Shares[c.share.key()].Amount
		}
	}
	p.setAccount(value, version)
}
