package home

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/claim"
	"github.com/peppertrail/peppertrail/pkg/commit"
	"github.com/peppertrail/peppertrail/pkg/storage"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// pendingClaim is a reservation whose claim row is being written.
type pendingClaim struct {
	message     *reserveMessage
	reservation budget.Reservation
	deadline    time.Time
}

// writeClaim makes the claim of a non-idempotent request durable before the
// entry daemon may dispatch it.
func (l *Local) writeClaim(now time.Time, m *reserveMessage, r budget.Reservation) {
	var version uint64
	if e, ok := l.registry.Find(m.req.Customer, m.req.Request); ok {
		version = e.ClaimVersion // a released claim is overwritten for the new target
	}
	l.registry.Begin(now, m.attempt(), r.Stream, claim.Claiming)
	l.claims[r.Stream] = &pendingClaim{message: m, reservation: r, deadline: now.Add(l.opts.ReserveWait)}
	record := claim.Record{
		Customer:    m.req.Customer,
		Request:     m.req.Request,
		Fingerprint: m.req.Fingerprint,
		Entry:       m.req.Entry,
		Target:      m.req.Target,
		Stream:      r.Stream,
		ClaimedAt:   now.UnixMilli(),
	}
	key := claim.Key(record.Customer, record.Request)
	holder := l.opts.Holder
	l.opts.Committer.Submit(commit.Op{
		Conditions: []storage.Condition{{Key: key, Version: version}},
		Puts:       []storage.Put{{Key: key, Value: encode(record)}},
		Done: func(res commit.Result) {
			l.post(&claimWritten{holder: holder, record: record, result: res})
		},
	})
}

// claimWritten carries the result of writeClaim to the control goroutine.
type claimWritten struct {
	holder string
	record claim.Record
	result commit.Result
}

func (m *claimWritten) handle(l *Local, now time.Time) {
	if m.holder != l.opts.Holder {
		return
	}
	p, waiting := l.claims[m.record.Stream]
	delete(l.claims, m.record.Stream)
	switch {
	case m.result.Err == nil && waiting:
		l.finishClaim(now, m, p)
	case m.result.Err == nil:
		l.deleteClaim(m.record, m.result.Revision) // expireClaims already refused the request as not run
	case waiting:
		l.failClaim(now, m, p)
	}
}

// finishClaim grants the reservation whose claim became durable.
func (l *Local) finishClaim(now time.Time, m *claimWritten, p *pendingClaim) {
	l.registry.SetState(now, m.record.Stream, claim.Running)
	if e, ok := l.registry.FindByStream(m.record.Stream); ok {
		e.ClaimVersion = m.result.Revision
	}
	p.message.reply <- reserveResult{reply: ReserveReply{Outcome: Granted, Grant: p.reservation.Grant, Stream: p.reservation.Stream}}
}

// failClaim releases the reservation and answers a request whose claim could not be
// written, usually because another daemon wrote one for the same request.
func (l *Local) failClaim(now time.Time, m *claimWritten, p *pendingClaim) {
	l.undoReservation(now, p)
	l.registry.Remove(m.record.Customer, m.record.Request)
	var held claim.Record
	if len(m.result.Conflicts) == 0 || json.Unmarshal(m.result.Conflicts[0].Value, &held) != nil {
		p.message.refuse(claimUnavailable())
		return
	}
	l.registry.AddClaim(now, held, m.result.Conflicts[0].Version)
	d := l.registry.Decide(p.message.attempt())
	if d.Action == claim.Attach {
		p.message.reply <- reserveResult{reply: ReserveReply{Outcome: Attach, Target: d.Target, Stream: d.Stream}}
		return
	}
	if d.Refusal == nil {
		d.Refusal = claimUnavailable()
	}
	p.message.refuse(d.Refusal)
}

// expireClaims refuses requests whose claim was not durable by their deadline.
func (l *Local) expireClaims(now time.Time) {
	for _, stream := range slices.Sorted(maps.Keys(l.claims)) {
		p := l.claims[stream]
		if now.Before(p.deadline) {
			continue
		}
		delete(l.claims, stream)
		l.undoReservation(now, p)
		l.registry.Remove(p.message.req.Customer, p.message.req.Request)
		p.message.refuse(claimUnavailable())
	}
}

// undoReservation releases the reservation of a claim that was not written.
func (l *Local) undoReservation(now time.Time, p *pendingClaim) {
	delete(l.attempts, p.reservation.Stream)
	if _, err := l.ledger.Settle(now, p.reservation.Stream, 0); err == nil {
		l.ledger.MarkUndispatched(p.reservation.Stream)
		l.calls.remove(p.reservation.Stream)
		l.scheduleWake(p.reservation.Budget)
	}
}

func claimUnavailable() *verdict.Error {
	e := verdict.New(verdict.NotRun, verdict.ClaimUnavailable, "the claim of a non-idempotent request could not be made durable in time")
	return e.WithRetryAfter(unreachableRetryAfter)
}

// deleteStreamClaim deletes the claim of a request that no target received, so
// that its caller may send it again under the same idempotency key.
func (l *Local) deleteStreamClaim(stream string) {
	e, ok := l.registry.FindByStream(stream)
	if !ok || e.ClaimVersion == 0 {
		return
	}
	record := claim.Record{Customer: e.Customer, Request: e.Request, Stream: stream}
	l.deleteClaim(record, e.ClaimVersion)
	l.registry.Remove(e.Customer, e.Request)
}

// deleteClaim deletes a claim row if it has not changed since version.
func (l *Local) deleteClaim(record claim.Record, version uint64) {
	key := claim.Key(record.Customer, record.Request)
	l.opts.Committer.Submit(commit.Op{
		Conditions: []storage.Condition{{Key: key, Version: version}},
		Deletes:    []string{key},
		Done:       func(commit.Result) {},
	})
}
