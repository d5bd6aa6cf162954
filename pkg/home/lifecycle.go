package home

import (
	"context"
	"time"
)

// leaveMessage makes the authority refuse new reservations.
type leaveMessage struct{}

func (leaveMessage) handle(l *Local, _ time.Time) {
	l.leaving = true
}

// statusMessage asks the control goroutine for the Status.
type statusMessage struct {
	reply chan Status // capacity 1
}

// Status counts what a Local holds at one moment.
type Status struct {
	Holder     string `json:"holder"` // incarnation under which the authority acts
	OpenGrants int    `json:"open_grants"`
	Running    int    `json:"running"`  // number of open reservations
	Requests   int    `json:"requests"` // number of requests that the registry knows
}

func (m *statusMessage) handle(l *Local, _ time.Time) {
	m.reply <- Status{Holder: l.opts.Holder, OpenGrants: len(l.grants), Running: l.ledger.OpenReservations(), Requests: l.registry.Len()}
}

// Status returns the counts of grants, reservations and requests.
func (l *Local) Status(ctx context.Context) (Status, error) {
	m := &statusMessage{reply: make(chan Status, 1)}
	if err := l.send(ctx, m); err != nil {
		return Status{}, err
	}
	select {
	case s := <-m.reply:
		return s, nil
	case <-l.done:
		return Status{}, ErrStopped
	case <-ctx.Done():
		return Status{}, ctx.Err()
	}
}

// AwaitAttempts refuses new reservations with ErrLeaving and waits until every
// attempt on this daemon's grants is settled, also those of other entry daemons.
// It returns ctx's error if that takes longer.
func (l *Local) AwaitAttempts(ctx context.Context) error {
	return l.leaveUntil(ctx, func(s Status) bool { return s.Running == 0 })
}

// Leave refuses new reservations with ErrLeaving and waits until all grants are
// closed. It returns ctx's error if that takes longer; the repair role then
// recovers the remaining grants.
func (l *Local) Leave(ctx context.Context) error {
	return l.leaveUntil(ctx, func(s Status) bool { return s.OpenGrants == 0 })
}

func (l *Local) leaveUntil(ctx context.Context, done func(Status) bool) error {
	l.post(leaveMessage{})
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		s, err := l.Status(ctx)
		if err != nil {
			return err
		}
		if done(s) {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// resetMessage drops all control state and sets a new incarnation.
type resetMessage struct {
	holder    string
	committer Committer
}

func (m resetMessage) handle(l *Local, _ time.Time) {
	for _, s := range l.settled {
		s.resolve(false) // the entry daemons send the settlements again
	}
	for _, w := range l.waiters {
		w.message.reply <- reserveResult{err: ErrLeaving}
	}
	for _, p := range l.claims {
		p.message.refuse(claimUnavailable())
	}
	l.opts.Holder = m.holder
	l.opts.Committer = m.committer
	l.nextGrant = 0
	l.clear()
}

// Reset drops all control state after the incarnation was fenced and continues
// under a new incarnation with the committer of that incarnation. The repair role
// recovers the grants of the old one. Until the control goroutine has handled the
// reset, operations of the old incarnation go to the old committer, which refuses
// them as fenced.
func (l *Local) Reset(holder string, committer Committer) {
	l.post(resetMessage{holder: holder, committer: committer})
}
