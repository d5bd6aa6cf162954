package escrow

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/peppertrail/peppertrail/pkg/pause"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

const (
	// askTimeout bounds one ask. A change takes some 10 ms at the table.
	askTimeout = 400 * time.Millisecond
	// summaryTerm is how long the account as told by its broker is planned with
	// while nothing is needed.
	summaryTerm = 2500 * time.Millisecond
	// strandedGap spreads the changes of hosts that have lost their broker.
	strandedGap = time.Second
)

// stepByBroker changes the share by way of the account's broker, if needed. It
// returns true once everything was given back.
func (p *tokenPool) stepByBroker(ctx context.Context, broker string) (left bool) {
	ask, needed := p.planAsk()
	if !needed {
		return p.hasLeft()
	}
	callCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := p.keeper.options.Ask(callCtx, broker, ask)
	if ctx.Err() != nil {
		return false
	}
	if err != nil {
		p.askFailed(ctx, broker, ask, err)
		return false
	}
	return p.takeAnswer(ask, answer)
}

// planAsk returns the next ask, and whether one is needed.
func (p *tokenPool) planAsk() (ask ShareAsk, needed bool) {
	k := p.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	now := p.now()
	if k.leaving && p.ledger.reserved > 0 {
		return ask, false
	}
	amount := p.ledger.amount
	fresh := p.summary != nil && now-p.seenAt <= summaryTerm
	if p.summary != nil && !k.leaving {
		amount = p.position(p.account).nextAmount()
	}
	if k.leaving {
		amount = 0
	}
	ask = ShareAsk{
		Customer: p.ledger.customer, Share: p.share(), Held: p.confirmed > 0, Known: p.confirmed, Write: p.unsure,
		Close: k.leaving, Used: p.ledger.used(), Lapsed: maps.Clone(p.lapsed),
	}
	ask.Share.Amount = amount
	for incarnation, e := range k.ended {
		if e.Report.Host == k.options.Host && !p.cleared[incarnation] {
			ask.Ended = append(ask.Ended, EndedProcess{Report: e.Report.forCustomer(p.ledger.customer), EndedBy: e.EndedBy})
		}
	}
	needed = amount != p.ledger.amount || !fresh || p.unsure || len(p.lapsed) > 0 || len(ask.Ended) > 0 ||
		(k.leaving && ask.Held)
	if !needed && !k.leaving {
		needed = p.needUnmet(p.position(p.account))
	}
	if !needed {
		return ask, false
	}
	p.seq++
	ask.Share.Seq = p.seq
	p.offer(amount)
	p.unsure = true // until there is an answer
	return ask, true
}

// takeAnswer takes over what the broker says.
func (p *tokenPool) takeAnswer(ask ShareAsk, answer ShareAnswer) (left bool) {
	p.keeper.mu.Lock()
	defer p.keeper.mu.Unlock()
	p.triedAt = p.now()
	p.seen, p.seenAt, p.collided = true, p.triedAt, false
	p.summary = &answer
	for _, e := range ask.Ended {
		p.clear(e.Report.Incarnation)
	}
	for key := range ask.Lapsed {
		delete(p.lapsed, key)
	}
	if ask.Share.Epoch == p.ledger.epoch {
		p.settleAsk(ask, answer)
	}
	p.answered()
	return ask.Close && !answer.Held
}

// settleAsk takes over the share. Every ask of this host before is decided once
// a later one was written; if none had to be, the next one will be.
func (p *tokenPool) settleAsk(ask ShareAsk, answer ShareAnswer) {
	if answer.Held && answer.Share.Seq < p.confirmed {
		return // an old state of the account
	}
	switch {
	case answer.Held:
		p.ledger.amount, p.confirmed = answer.Share.Amount, answer.Share.Seq
	case p.ledger.amount > 0 && !ask.Close:
		p.lose()
	default:
		p.ledger.amount, p.confirmed = 0, 0
	}
	if !ask.Write || answer.Share.Seq == ask.Share.Seq || !answer.Held {
		p.unsure, p.ledger.pendingAmount = false, nil
	}
}

// askFailed notes that a broker gave no answer. One that does not reach the
// table is asked again, since this host will hardly do better.
func (p *tokenPool) askFailed(ctx context.Context, broker string, ask ShareAsk, err error) {
	k := p.keeper
	k.mu.Lock()
	p.triedAt = p.now()
	if errors.Is(err, storage.ErrNotApplied) {
		p.unsure = ask.Write
		if !p.unsure {
			p.ledger.pendingAmount = nil
		}
	} else {
		down := p.now() < k.brokersDown[broker]
		k.brokersDown[broker] = p.now() + brokerPause
		event := k.options.Log.Info()
		if down {
			event = k.options.Log.Debug() // said for another account
		}
		event.Err(err).Str("peer", broker).Str("customer", p.ledger.customer).Msg("Broker of an account does not answer.")
	}
	p.fail(err)
	k.mu.Unlock()
	pause.For(ctx, firstResendDelay)
}

// clear notes that the broker knows of an ended process of this host.
func (p *tokenPool) clear(incarnation string) {
	if p.cleared == nil {
		p.cleared = make(map[string]bool)
	}
	p.cleared[incarnation] = true
}
