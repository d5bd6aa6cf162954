package home

import (
	"maps"
	"time"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/claim"
)

// releasedCallTTL is the time for which a released call is refused. A call that a
// network partition delayed arrives when the partition ends. It cannot arrive after
// this time, because a connection without replies is closed long before.
const releasedCallTTL = 5 * time.Minute

// settlement is the state of an attempt that was settled at this home.
type settlement struct {
	durable   bool               // the bill line is durable, or none is needed
	completed bool               // the attempt was settled as Completed
	replies   []chan SettleReply // reply channels of the callers that wait until the settlement is durable
}

// settleMessage ends an attempt.
type settleMessage struct {
	req   SettleRequest
	reply chan SettleReply // capacity 1; nil: no caller waits for the reply
}

func (m *settleMessage) answer(durable bool) {
	if m.reply != nil {
		m.reply <- SettleReply{Durable: durable}
	}
}

func (m *settleMessage) handle(l *Local, now time.Time) {
	if m.req.Stream == "" {
		l.releaseByCall(now, m)
		return
	}
	if s, ok := l.settled[m.req.Stream]; ok {
		if m.req.Outcome == NotDispatched && m.req.Final {
			l.deleteStreamClaim(m.req.Stream) // this attempt reached no target and no other follows, so the claim is not needed
		}
		if m.req.Outcome == Completed && !s.completed {
			l.amendToCompleted(m)
			return
		}
		s.answerWhenDurable(m)
		return
	}
	r, ok := l.ledger.Reservation(m.req.Stream)
	if !ok {
		l.settleWithoutReservation(m)
		return
	}
	l.settleReservation(now, m, r)
}

// answerWhenDurable answers the message at once if the settlement is durable, otherwise
// as soon as resolve is called.
func (s *settlement) answerWhenDurable(m *settleMessage) {
	if s.durable || m.reply == nil {
		m.answer(true)
		return
	}
	s.replies = append(s.replies, m.reply)
}

// resolve answers all callers that wait for the settlement.
func (s *settlement) resolve(durable bool) {
	s.durable = s.durable || durable
	for _, reply := range s.replies {
		reply <- SettleReply{Durable: durable}
	}
	s.replies = nil
}

// releaseByCall undoes the reservation of a call whose reply the entry daemon did
// not receive. The call is refused from now on, because it may still arrive on
// another connection or be waiting for a grant.
func (l *Local) releaseByCall(now time.Time, m *settleMessage) {
	l.released[m.req.Call] = now
	r, ok := l.ledger.Reservation(l.calls.stream(m.req.Call))
	if !ok {
		m.answer(true)
		return
	}
	m.req.Stream = r.Stream
	m.req.Outcome = NotDispatched
	l.settleReservation(now, m, r)
}

// sweepReleased drops releases that are older than releasedCallTTL.
func (l *Local) sweepReleased(now time.Time) {
	maps.DeleteFunc(l.released, func(_ string, at time.Time) bool { return now.Sub(at) > releasedCallTTL })
}

// settleWithoutReservation handles the settlement of a stream for which this
// ledger has no reservation.
func (l *Local) settleWithoutReservation(m *settleMessage) {
	holder := budget.HolderOfGrant(budget.GrantOfStream(m.req.Stream))
	if holder == l.opts.Holder && m.req.Outcome == Completed {
		l.amendToCompleted(m)
		return
	}
	if holder == l.opts.Holder {
		m.answer(true) // the grant was closed, so every line on it is durable
		return
	}
	if m.req.Outcome == NotDispatched {
		m.answer(true) // nothing ran; the bound stays reserved on the other holder's grant
		return
	}
	l.closedGrants.settle(m)
}

// settleReservation settles a reservation of this ledger.
func (l *Local) settleReservation(now time.Time, m *settleMessage, r budget.Reservation) {
	delete(l.attempts, r.Stream)
	req := m.req
	if req.Outcome == NotDispatched {
		l.settleUndispatched(now, m, r)
		return
	}
	if req.TargetDied {
		l.recordCrash(now, req.Fingerprint, req.Target)
	}
	tokens := req.Tokens
	if !req.UsageKnown {
		tokens = r.Bound
	}
	if tokens > r.Bound {
		l.opts.Observer.Overrun(req.Stream, r.Bound, tokens)
	}
	charged, err := l.ledger.Settle(now, req.Stream, tokens)
	if err != nil {
		m.answer(false)
		return
	}
	l.calls.remove(req.Stream)
	l.registry.SetState(now, req.Stream, claimStateAfter(req.Outcome))
	s := &settlement{completed: req.Outcome == Completed}
	l.settled[req.Stream] = s
	s.answerWhenDurable(m)
	l.queueLine(now, r.Grant, newLine(req, charged, now))
	l.scheduleWake(r.Budget)
}

// settleUndispatched returns the whole bound to the grant.
func (l *Local) settleUndispatched(now time.Time, m *settleMessage, r budget.Reservation) {
	if _, err := l.ledger.Settle(now, r.Stream, 0); err != nil {
		m.answer(false)
		return
	}
	l.ledger.MarkUndispatched(r.Stream)
	l.calls.remove(r.Stream)
	l.registry.SetState(now, r.Stream, claim.Released)
	l.settled[r.Stream] = &settlement{durable: true}
	if g, ok := l.grants[r.Grant]; ok {
		g.streams = append(g.streams, r.Stream)
	}
	if m.req.Final {
		l.deleteStreamClaim(r.Stream)
	}
	m.answer(true)
	l.scheduleWake(r.Budget)
}

func claimStateAfter(o AttemptOutcome) claim.State {
	if o == Completed {
		return claim.Finished
	}
	return claim.Failed
}

// newLine returns the bill line of one attempt.
func newLine(req SettleRequest, charged int64, now time.Time) budget.Line {
	line := budget.Line{
		Customer:  req.Customer,
		Budget:    req.Budget,
		Request:   req.Request,
		Streams:   []string{req.Stream},
		Target:    req.Target,
		Attempts:  1,
		Completed: req.Outcome == Completed,
		Estimated: !req.UsageKnown,
		BilledAt:  now.UnixMilli(),
	}
	if line.Completed {
		line.Tokens = charged
	} else {
		line.ExtraTokens = charged
	}
	return line
}
