package home

import (
	"maps"
	"slices"
	"time"
)

const (
	// abandonedAfter is how old attempts are before their entry daemon is
	// asked. A reservation whose reply was lost in a partition can reach the
	// home after the message that releases it.
	entryQueryAge = 30 * time.Second
	// leavingAfter replaces abandonedAfter when the home leaves, since one such
	// attempt would hold up the stop.
	leavingEntryQueryAge = 2 * time.Second
	// askInterval is the time between two rounds of questions.
	entryQueryInterval = 2 * time.Second
)

// askEntries asks the entry daemons of old attempts whether they still have
// attempts here.
func (l *Local) queryEntryDaemons(now time.Time) {
	if l.opts.Entries == nil || now.Sub(l.entryQueriedAt) < entryQueryInterval {
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
			open, gone, err := l.opts.Entries(entry, holder)
			if err == nil {
				l.post(&entryStatusReceived{entry: entry, holder: holder, grantedBefore: now.Add(-age), open: open, gone: gone})
			}
		})
	}
}

// entryAnswered carries the answer of an entry daemon to the control goroutine.
type entryStatusReceived struct {
	entry         string
	holder        string
	grantedBefore time.Time // attempts granted until then were old when the question was asked
	open          int
	gone          bool
}

func (m *entryStatusReceived) handle(l *Local, now time.Time) {
	if m.holder != l.opts.Holder || (m.open > 0 && !m.gone) || (m.gone && !l.leaving) {
		return // the attempts of a dead entry daemon stay readable for retries
	}
	for _, stream := range slices.Sorted(maps.Keys(l.attempts)) {
		a := l.attempts[stream]
		r, ok := l.ledger.Reservation(stream)
		if !ok || a.settle.Entry != m.entry || a.granted.After(m.grantedBefore) {
			continue
		}
		s := a.settle
		if !m.gone {
			s.Outcome = NotDispatched
			s.Tokens = 0
			s.UsageKnown = true
		}
		l.settleReservation(now, &settleMessage{req: s}, r)
	}
}
