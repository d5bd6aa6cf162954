package escrow

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

const (
	// lendingTerm is how long a host that was asked for a reservation acts as the broker of
	// the account, whatever it knows of other hosts. The host that asked could not reach
	// the broker that is ranked first.
	lendingTerm = 2 * time.Second
	// settledTerm is how long the number of a settled reservation is remembered. A
	// settlement may overtake the request for its reservation.
	settledTerm = 10 * time.Second
	// maxReservationTerm bounds the time for which a reservation of another host stays
	// open.
	maxReservationTerm = time.Minute
	// lentSweepInterval is the time between two looks for reservations that have expired.
	lentSweepInterval = time.Second
	// maxLent is the maximum number of reservations of other hosts that are open or
	// remembered.
	maxLent = 100_000
)

// errNothingReserved is the reply to a host that should ask another broker.
var errNothingReserved = fmt.Errorf("%w: no tokens were reserved", storage.ErrNotApplied)

// lentKey identifies a reservation of another host.
type lentKey struct {
	incarnation string
	number      int64
}

// lentReservation is a reservation that this host has made for another one.
type lentReservation struct {
	reservation *Reservation  // nil: settled
	expiresAt   time.Duration // on the local clock; then all tokens count as spent, or the number is forgotten
}

// lender holds the reservations that this host has made for others. The manager's mutex
// protects it.
type lender struct {
	lent map[lentKey]lentReservation
}

// ReserveFor takes tokens from this host's share for a request of another host. It returns
// an error that wraps storage.ErrNotApplied if no tokens were taken, because this host does
// not act as a broker.
func (m *Manager) ReserveFor(ctx context.Context, request ReserveRequest) (ReserveReply, error) {
	p, err := m.poolForLending(request)
	if err != nil {
		return ReserveReply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, request.Wait)
	defer cancel()
	var r *Reservation
	if err = p.checkSize(request.Tokens); err == nil {
		r, err = p.reserveHere(ctx, request.Tokens, request.Wait)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	reply := p.lendingReply(err)
	if err != nil {
		return reply, nil
	}
	key := lentKey{request.Incarnation, request.Number}
	if _, settled := m.lender.lent[key]; settled {
		r.settleLocked(p.now(), 0) // the host that asked has given up
		return ReserveReply{}, fmt.Errorf("%w: reservation %d was settled before it was made", errNothingReserved, request.Number)
	}
	m.lender.lent[key] = lentReservation{reservation: r, expiresAt: p.now() + min(request.ValidFor, maxReservationTerm)}
	p.lentMeter.recordSpent(p.now(), request.Tokens)
	return reply, nil
}

// poolForLending returns the pool that takes the tokens.
func (m *Manager) poolForLending(request ReserveRequest) (*tokenPool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.pools[request.Customer]
	switch {
	case p == nil:
		return nil, fmt.Errorf("%w: customer %q has no budget here", errNothingReserved, request.Customer)
	case m.leaving:
		return nil, fmt.Errorf("%w: %w", errNothingReserved, errLeaving)
	case request.Tokens <= 0 || request.Wait < 0 || request.ValidFor <= 0:
		return nil, fmt.Errorf("%w: %d tokens, wait %v, valid for %v", errNothingReserved, request.Tokens, request.Wait, request.ValidFor)
	case len(m.lender.lent) >= maxLent:
		return nil, fmt.Errorf("%w: too many open reservations of other hosts", errNothingReserved)
	}
	p.lendingUntil = p.now() + lendingTerm
	return p, nil
}

// lendingReply returns the reply to a host whose reservation ended with err. All shares
// are those of others, as a host with a share gets the summary with its share requests. The
// caller holds the mutex.
func (p *tokenPool) lendingReply(err error) ReserveReply {
	view := p.view(p.account)
	reply := ReserveReply{Granted: err == nil, Settled: view.settled}
	if p.brokerReply == nil {
		reply.Others = p.account.summarizeOthers("", p.usageOf)
	} else {
		reply.Others = view.others
	}
	reply.Others.Shortage = reply.Others.Shortage || p.peerShortage()
	var unreachable *UnreachableError
	switch {
	case errors.Is(err, ErrExhausted):
		reply.Exhausted, reply.Reason = true, err.Error()
	case errors.As(err, &unreachable):
		reply.Reason, reply.RetryAfter = unreachable.Reason, unreachable.RetryAfter
	case err != nil:
		reply.Reason = err.Error()
	}
	return reply
}

// SettleFor settles reservations that this host has made for another one. Unknown ones are
// remembered, so that a request for them that arrives later takes nothing.
func (m *Manager) SettleFor(request SettleRequest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock()
	for _, s := range request.Settlements {
		key := lentKey{request.Incarnation, s.Number}
		lent, known := m.lender.lent[key]
		switch {
		case known && lent.reservation != nil:
			m.settleLent(key, lent, now, s.Spent)
		case !known && len(m.lender.lent) < maxLent:
			m.lender.lent[key] = lentReservation{expiresAt: now + settledTerm}
		}
	}
}

// settleLent settles a reservation of another host. The caller holds the mutex.
func (m *Manager) settleLent(key lentKey, lent lentReservation, now time.Duration, spent int64) {
	delete(m.lender.lent, key)
	r := lent.reservation
	spent = min(max(spent, 0), r.tokens)
	r.settleLocked(now, spent)
	r.pool.lentMeter.correctSpent(now, r.tokens, spent)
}

// runLender counts reservations as spent that were not settled in time.
func (m *Manager) runLender(ctx context.Context) {
	ticker := time.NewTicker(lentSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.expireLent()
		case <-ctx.Done():
			return
		}
	}
}

func (m *Manager) expireLent() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock()
	expired, tokens := 0, int64(0)
	for key, lent := range m.lender.lent {
		if now < lent.expiresAt {
			continue
		}
		if lent.reservation == nil {
			delete(m.lender.lent, key)
			continue
		}
		expired, tokens = expired+1, tokens+lent.reservation.tokens
		m.settleLent(key, lent, now, lent.reservation.tokens)
	}
	if expired > 0 {
		m.options.Log.Info().Int("reservations", expired).Int64("tokens", tokens).Msg("Reservations of other hosts were not settled in time. All their tokens count as spent.")
	}
}
