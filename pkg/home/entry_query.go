package home

import (
	"maps"
	"slices"
	"time"
)

const (
	// entryQueryAge is the age of an attempt after which its entry daemon is
	// asked whether the attempt is still open there. The home may hold an attempt
	// that the entry daemon never started: in a network partition a reservation
	// whose reply was lost can reach the home after the message that releases it.
	entryQueryAge = 30 * time.Second
	// leavingEntryQueryAge replaces entryQueryAge while the home is leaving,
	// because the graceful stop would wait for an attempt that is no longer open at
	// its entry daemon.
	leavingEntryQueryAge = 2 * time.Second
	// entryQueryInterval is the minimum time between two rounds of queries.
	entryQueryInterval = 2 * time.Second
)

// queryEntryDaemons asks the entry daemons of old attempts how many attempts
// they have open on the grants of this holder.
func (l *Local) queryEntryDaemons(now time.Time) {
	if l.opts.QueryOpenAttempts == nil || now.Sub(l.entryQueriedAt) < entryQueryInterval {
		return
	}
	l.entryQueriedAt = now
	age := entryQueryAge
	if l.leaving {
		age = leavingEntryQueryAge
	}
	entries := make(map[string]struct{})
	for _, a := range l.attempts {
		if now.Sub(a.granted) >= age {
			entries[a.settle.Entry] = struct{}{}
		}
	}
	for _, entry := range slices.Sorted(maps.Keys(entries)) {
		holder := l.opts.Holder
		l.async(func() {
			open, ended, err := l.opts.QueryOpenAttempts(entry, holder)
			if err == nil {
				l.post(&entryStatusReceived{entry: entry, holder: holder, grantedBefore: now.Add(-age), open: open, ended: ended})
			}
		})
	}
}

// entryStatusReceived carries the reply of an entry daemon to the control goroutine.
type entryStatusReceived struct {
	entry         string
	holder        string
	grantedBefore time.Time // the reply covers only attempts granted at or before this time
	open          int       // attempts that the entry daemon has open on the holder's grants
	ended         bool      // the entry daemon's process has ended
}

// handle settles the attempts of the entry daemon that the reply covers. If the
// entry daemon has none open, they were not dispatched. If its process has ended
// and the home is leaving, they are charged their full bound.
func (m *entryStatusReceived) handle(l *Local, now time.Time) {
	if m.holder != l.opts.Holder || (m.open > 0 && !m.ended) || (m.ended && !l.leaving) {
		// While the home is not leaving, attempts of an entry daemon that has ended
		// stay open, so that retries can attach to their streams.
		return
	}
	for _, stream := range slices.Sorted(maps.Keys(l.attempts)) {
		a := l.attempts[stream]
		r, ok := l.ledger.Reservation(stream)
		if !ok || a.settle.Entry != m.entry || a.granted.After(m.grantedBefore) {
			continue
		}
		s := a.settle
		if !m.ended {
			s.Outcome = NotDispatched
			s.Tokens = 0
			s.UsageKnown = true
		}
		l.settleReservation(now, &settleMessage{req: s}, r)
	}
}
