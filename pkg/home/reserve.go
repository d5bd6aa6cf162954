package home

import (
	"errors"
	"fmt"
	"time"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/claim"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

const (
	// exhaustedRetryAfter is the time for which the result that a budget is exhausted
	// or absent counts as current. It is also the retry delay sent to a caller whose
	// budget is exhausted.
	exhaustedRetryAfter = time.Second
	// unreachableRetryAfter is the retry delay sent to a caller while the table
	// does not answer.
	unreachableRetryAfter = 2 * time.Second
)

// errReleased means that the entry daemon released the call before it was granted.
var errReleased = errors.New("reservation was released by its entry daemon")

// reserveResult is the reply to a reserveMessage.
type reserveResult struct {
	reply ReserveReply
	err   error
}

// reserveMessage asks the control goroutine for a reservation.
type reserveMessage struct {
	req   ReserveRequest
	reply chan reserveResult // capacity 1
}

func (m *reserveMessage) refuse(e *verdict.Error) {
	m.reply <- reserveResult{reply: ReserveReply{Outcome: Refused, Refusal: e}}
}

func (m *reserveMessage) attempt() claim.Attempt {
	return claim.Attempt{
		Customer:      m.req.Customer,
		Request:       m.req.Request,
		Fingerprint:   m.req.Fingerprint,
		Daemon:        m.req.Entry,
		Target:        m.req.Target,
		Number:        m.req.Attempt,
		NonIdempotent: m.req.NonIdempotent,
		LostStream:    m.req.LostStream,
	}
}

func (m *reserveMessage) handle(l *Local, now time.Time) {
	if l.leaving {
		m.reply <- reserveResult{err: ErrLeaving}
		return
	}
	policy, ok := l.opts.Policies(m.req.Customer)
	if !ok {
		// The entry daemon knows the customer, so this home's bundle is older.
		m.reply <- reserveResult{err: fmt.Errorf("reserve for %s: %w", m.req.Customer, ErrNoPolicy)}
		return
	}
	w := &waiter{message: m, policy: policy, deadline: now.Add(l.opts.ReserveWait)}
	if !l.tryReserve(now, w) {
		l.waiters = append(l.waiters, w)
	}
}

// tryReserve answers the waiter if a decision is possible now, and reports
// whether it did.
func (l *Local) tryReserve(now time.Time, w *waiter) bool {
	m := w.message
	if _, ok := l.released[m.req.Call]; ok {
		m.reply <- reserveResult{err: errReleased}
		return true
	}
	d := l.registry.Decide(m.attempt())
	switch d.Action {
	case claim.Attach:
		m.reply <- reserveResult{reply: ReserveReply{Outcome: Attach, Target: d.Target, Stream: d.Stream}}
		return true
	case claim.Refuse:
		m.refuse(d.Refusal)
		return true
	}
	r, ok := l.ledger.Reserve(now, m.req.Budget, m.req.Bound)
	if !ok {
		return l.awaitGrant(now, w)
	}
	l.ensureGrant(now, m.req.Budget, w.policy, 0)
	l.calls.add(m.req.Call, r.Stream)
	l.completeReservation(now, m, r)
	return true
}

// awaitGrant starts opening a grant that covers the waiter's bound. If the budget
// is known to be absent or to have too few free tokens, it refuses the waiter,
// unless enough tokens may become free before the deadline. It reports whether the
// waiter was answered.
func (l *Local) awaitGrant(now time.Time, w *waiter) bool {
	req := w.message.req
	b := l.budget(req.Budget)
	if refusal := b.refusal(now, req.Bound); refusal != nil {
		if l.tryFreeTokens(now, b, req.Bound) {
			return false
		}
		w.message.refuse(refusal)
		return true
	}
	l.ensureGrant(now, req.Budget, w.policy, req.Bound)
	return false
}

// completeReservation answers a reservation that was taken from a grant. For a
// non-idempotent request it first makes the claim durable.
func (l *Local) completeReservation(now time.Time, m *reserveMessage, r budget.Reservation) {
	l.trackAttempt(now, m.req, r.Stream)
	if m.req.NonIdempotent {
		l.writeClaim(now, m, r)
		return
	}
	l.registry.Begin(now, m.attempt(), r.Stream, claim.Running)
	m.reply <- reserveResult{reply: ReserveReply{Outcome: Granted, Grant: r.Grant, Stream: r.Stream}}
}
