package escrow

import (
	"context"
	"errors"
	"time"

	"github.com/peppertrail/peppertrail/pkg/pause"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// change is a new state of the account row.
type change struct {
	account Account
	version uint64 // that the row must have
	share   Share  // of this process; Amount 0: closed
	held    bool   // the account has the share
	served  []*brokered
}

// offer notes that the share may become the given amount.
func (p *tokenPool) offer(amount int64) {
	if p.unsure && p.ledger.pendingAmount != nil {
		amount = min(amount, *p.ledger.pendingAmount)
	}
	p.ledger.pendingAmount = &amount
}

// decide plans the next change of the account, if one is needed, or whether the
// account must be read first.
func (p *tokenPool) decide() (next *change, read bool) {
	p.keeper.mu.Lock()
	defer p.keeper.mu.Unlock()
	if !p.seen {
		return nil, true
	}
	if p.keeper.leaving && p.ledger.reserved > 0 {
		return nil, false
	}
	account := p.account.clone()
	closed := account.closeEnded(p.ledger.customer, p.keeper.ended, p.lapsed)
	served, changed, read := p.serveQueue(&account)
	if read {
		return nil, true
	}
	pos := p.position(account)
	share := p.share()
	amount := pos.nextAmount()
	if p.keeper.leaving {
		amount = 0
	}
	_, held := account.Shares[share.key()]
	if amount == p.ledger.amount && !closed && !changed && !p.unsure && (held || amount == 0) && !(p.keeper.leaving && held) {
		p.answer(served)
		return nil, p.needUnmet(pos)
	}
	p.seq++
	share.Amount, share.Seq = amount, p.seq
	switch {
	case p.keeper.leaving:
		account.close(share.key(), p.ledger.used())
	case held || amount > 0 || p.unsure:
		account.Shares[share.key()] = share
	}
	p.offer(share.Amount)
	return &change{account: account, version: p.version, share: share, held: !p.keeper.leaving, served: served}, false
}

// needUnmet handles a reservation that waits although no change helps. It
// returns true if the account must be read, as another host may have given back.
func (p *tokenPool) needUnmet(pos budgetView) (read bool) {
	if p.need == 0 || pos.amount-pos.used >= p.need {
		p.asks = 0
		return false
	}
	now := p.now()
	if now-p.seenAt > maxAccountAge || (p.asks > 0 && now-p.askedAt >= returnCheckInterval && p.seenAt < p.askedAt+returnCheckInterval) {
		return true
	}
	if p.mayAskOthers(pos) {
		if p.asks == 0 {
			p.keeper.options.Announce(p.ledger.customer)
		}
		p.asks++
		p.askedAt = now
		return false
	}
	p.asks = 0
	p.vainAt, p.vainNeed, p.need = p.now(), p.need, 0
	p.keeper.wake()
	p.keeper.reporter.kick()
	return false
}

// mayAskOthers reports whether other hosts hold what a request waits for, and
// may still give it back in time.
func (p *tokenPool) mayAskOthers(pos budgetView) bool {
	if p.keeper.options.Announce == nil || p.asks >= maxReturnChecks {
		return false
	}
	return pos.others.Amount-pos.others.Spent-pos.others.Unreported >= p.need
}

// logClosed says what became of the shares of ended processes.
func (p *tokenPool) logClosed(before, after Account) {
	for key, s := range before.Shares {
		process, ended := p.keeper.ended[s.Incarnation]
		if _, open := after.Shares[key]; open || !ended {
			continue
		}
		p.keeper.options.Log.Info().Str("customer", p.ledger.customer).Str("holder", s.Host).Int64("held", s.Amount).
			Int64("reported_spent", process.Report.Customers[p.ledger.customer].Spent).
			Int64("counted_as_spent", process.maxSpent(p.ledger.customer, s)).Dur("report_age", process.Report.age(process.EndedBy)).
			Msg("Share of an ended process is closed.")
	}
}

// submit writes a change and resends it until it is decided. It returns true
// once everything was given back.
func (p *tokenPool) submit(ctx context.Context, c change) (left bool) {
	unknown := false
	resend := firstResendDelay
	for ctx.Err() == nil {
		sentAt := p.now()
		outcome, err := p.transact(ctx, c)
		if err == nil {
			return p.decided(outcome, c, sentAt)
		}
		unknown = unknown || !errors.Is(err, storage.ErrNotApplied)
		p.keeper.mu.Lock()
		p.triedAt = p.now()
		p.fail(err)
		if !unknown && !p.unsure {
			p.ledger.pendingAmount = nil
		}
		p.refuse(c.served, err)
		c.served = nil
		p.keeper.forgiveBrokers()
		p.keeper.mu.Unlock()
		pause.For(ctx, resend)
		if !unknown {
			return false
		}
		resend = min(2*resend, maxResendDelay)
	}
	return false
}

func (p *tokenPool) transact(ctx context.Context, c change) (storage.RowOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := storage.RowKey{Table: p.keeper.options.AccountTable, Part: p.ledger.customer, Key: accountKey}
	return p.keeper.options.Rows.Transact(ctx, storage.RowTxn{
		Preconditions: []storage.Precondition{{RowKey: key, Version: c.version}},
		Puts:          []storage.PartRow{{RowKey: key, Value: c.account.encode()}},
	})
}

// decided takes over the outcome of a change.
func (p *tokenPool) decided(outcome storage.RowOutcome, c change, sentAt time.Duration) (left bool) {
	p.keeper.mu.Lock()
	defer p.keeper.mu.Unlock()
	p.triedAt = p.now()
	p.keeper.setClock(outcome.Now, sentAt)
	p.collided = !outcome.Applied
	if outcome.Applied {
		p.unsure = false
	}
	if !p.unsure {
		p.ledger.pendingAmount = nil
	}
	if outcome.Applied {
		p.logClosed(p.account, c.account)
		p.account, p.version, p.seenAt = c.account, outcome.Version, p.now()
		p.ledger.amount, p.confirmed = c.share.Amount, c.share.Seq
		p.answer(c.served)
	} else {
		p.conflict(outcome.Current, c)
		p.queue = append(c.served, p.queue...)
	}
	p.answered()
	if c.held {
		return false
	}
	_, still := p.account.Shares[c.share.key()]
	return !still
}

// conflict takes over the row that another host, or an earlier submission of
// the change, has written.
func (p *tokenPool) conflict(current []storage.PartRow, c change) {
	var value []byte
	var version uint64
	for _, row := range current {
		if row.Key == accountKey {
			value, version = row.Value, row.Version
		}
	}
	if !c.held {
		p.ledger.amount = 0 // the share may be closed already
		if account, err := decodeAccount(value); err == nil {
			p.ledger.amount = account.Shares[c.share.key()].Amount
		}
	}
	p.take(value, version)
}
