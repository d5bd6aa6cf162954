package home

import (
	"maps"
	"slices"
	"time"
)

// openAttempt is an attempt that was granted and is not settled.
type openAttempt struct {
	settle  SettleRequest // settlement to apply if the entry daemon sends none
	granted time.Time
}

// expireAttempts charges the full bound of attempts that were not settled within
// MaxAttempt, for example because their entry daemon crashed. Until then a retry
// may attach to their streams and settle them by the tokens used.
func (l *Local) expireAttempts(now time.Time) {
	for _, stream := range slices.Sorted(maps.Keys(l.attempts)) {
		a := l.attempts[stream]
		if now.Sub(a.granted) < l.opts.MaxAttempt {
			continue
		}
		delete(l.attempts, stream)
		r, ok := l.ledger.Reservation(stream)
		if !ok {
			continue
		}
		l.opts.Observer.AttemptExpired(stream, r.Bound)
		l.settleReservation(now, &settleMessage{req: a.settle}, r)
	}
}

// trackAttempt records a granted attempt until it is settled.
func (l *Local) trackAttempt(now time.Time, req ReserveRequest, stream string) {
	s := req.undispatched(stream)
	s.Outcome = Failed
	s.UsageKnown = false
	s.Tokens = req.Bound
	l.attempts[stream] = openAttempt{settle: s, granted: now}
}
