package escrow

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

const (
	// remoteReserveWait is how long a broker may wait for the tokens of a reservation.
	// remoteReserveTimeout bounds the call; a reachable broker answers within milliseconds
	// after the wait.
	remoteReserveWait    = 400 * time.Millisecond
	remoteReserveTimeout = 500 * time.Millisecond
	// reservationMargin is added to the time that a request has left when the broker is
	// told how long its reservation is valid.
	reservationMargin = 2 * time.Second
	// reservationTermWithoutDeadline is the validity of the reservation of a request
	// without a deadline.
	reservationTermWithoutDeadline = 30 * time.Second
)

// reserveAtBroker takes tokens for a request from the share of the account's broker. It
// returns decided == false if this host is the broker, or no broker answers.
func (p *tokenPool) reserveAtBroker(ctx context.Context, tokens int64) (r *Reservation, decided bool, err error) {
	m := p.manager
	for range maxBrokers {
		m.mu.Lock()
		broker := m.lenderOf(p.ledger.customer)
		if broker == "" || ctx.Err() != nil {
			m.mu.Unlock()
			return nil, false, nil
		}
		m.lastReservation++
		number := m.lastReservation
		m.mu.Unlock()
		reply, callErr := p.callLender(ctx, broker, number, tokens)
		m.mu.Lock()
		r, decided, err = p.handleReserveReply(ctx, broker, number, tokens, reply, callErr)
		m.mu.Unlock()
		if decided {
			return r, true, err
		}
	}
	return nil, false, nil
}

// callLender asks a broker for the tokens of a request.
func (p *tokenPool) callLender(ctx context.Context, broker string, number, tokens int64) (ReserveReply, error) {
	validFor := reservationTermWithoutDeadline
	if deadline, bounded := ctx.Deadline(); bounded {
		validFor = time.Until(deadline) + reservationMargin
	}
	callCtx, cancel := context.WithTimeout(ctx, remoteReserveTimeout)
	defer cancel()
	return p.manager.options.RequestReservation(callCtx, broker, ReserveRequest{
		Customer: p.ledger.customer, Incarnation: p.manager.options.Incarnation, Number: number, Tokens: tokens,
		Wait: remoteReserveWait, ValidFor: validFor,
	})
}

// handleReserveReply turns the reply of a broker into a reservation or an error. It returns
// decided == false if another broker should be asked. The caller holds the mutex.
func (p *tokenPool) handleReserveReply(ctx context.Context, broker string, number, tokens int64, reply ReserveReply, callErr error) (r *Reservation, decided bool, err error) {
	m := p.manager
	if callErr != nil {
		if !errors.Is(callErr, storage.ErrNotApplied) {
			m.settlements.add(broker, Settlement{Customer: p.ledger.customer, Number: number})
		}
		if ctx.Err() != nil { // says nothing about the broker
			return nil, true, &UnreachableError{Reason: "the request was cancelled or timed out", Late: true}
		}
		m.recordBrokerFailure(broker, p.ledger.customer, callErr)
		return nil, false, nil
	}
	delete(m.brokerRetryAt, broker)
	p.applySummary(reply)
	switch {
	case reply.Granted:
		p.ledger.meter.recordSpent(p.now(), tokens)
		if p.wantsShare() {
			p.trigger()
		}
		return &Reservation{pool: p, epoch: p.ledger.epoch, tokens: tokens, lender: broker, number: number}, true, nil
	case reply.Exhausted:
		return nil, true, fmt.Errorf("%w, says the broker %s: %s", ErrExhausted, broker, reply.Reason)
	}
	return nil, true, &UnreachableError{Reason: fmt.Sprintf("the broker %s cannot reserve: %s", broker, reply.Reason), RetryAfter: reply.RetryAfter}
}

// applySummary records what a broker has told of the account.
func (p *tokenPool) applySummary(reply ReserveReply) {
	switch {
	case p.loaded && p.brokerReply == nil:
		return // this host changes the account itself
	case p.ledger.amount > 0:
		return // share requests of this host bring the summary, together with its own share
	}
	p.brokerReply = &ShareReply{Settled: reply.Settled, Others: reply.Others}
	p.loaded, p.loadedAt = true, p.now()
}

// settleAtBroker tells the broker what a request has spent. The caller holds the mutex.
func (p *tokenPool) settleAtBroker(r *Reservation, spent int64) {
	p.ledger.meter.correctSpent(p.now(), r.tokens, spent)
	p.manager.settlements.add(r.lender, Settlement{Customer: p.ledger.customer, Number: r.number, Spent: spent})
}
