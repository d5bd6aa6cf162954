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
	abandonedAfter = 30 * time.Second
	// leavingAfter replaces abandonedAfter when the home leaves, since one such
	// attempt would hold up the stop.
	leavingAfter = 2 * time.Second
	// askInterval is the time between two rounds of questions.
	askInterval = 2 * time.Second
)

// askEntries asks the entry daemons of old attempts whether they still have
// attempts here.
func (l *Local) askEntries(now time.Time) {
	if l.opts.Entries == nil || now.Sub(l.askedAt) < askInterval {
		return
	}
	l.askedAt = now
	age := abandonedAfter
	if l.leaving {
		age = leavingAfter
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
				l.post(&entryAnswered{entry: entry, holder: holder, before: now.Add(-age), open: open, gone: gone})
			}
		})
	}
}

// entryAnswered carries the answer of an entry daemon to the control goroutine.
type entryAnswered struct {
	entry  string
	holder string
	before time.Time // attempts granted until then were old when the question was asked
	open   int
	gone   bool
}

func (m *entryAnswered) handle(l *Local, now time.Time) {
	if m.holder != l.opts.Holder || (m.open > 0 && !m.gone) || (m.gone && !l.leaving) {
		return // the attempts of a dead entry daemon stay readable for retries
	}
	for _, stream := range slices.Sorted(maps.Keys(l.attempts)) {
		a := l.attempts[stream]
		r, ok := l.ledger.Reservation(stream)
		if !ok || a.settle.Entry != m.entry || a.granted.After(m.before) {
			continue
		}
		s := a.settle
		if !m.gone {
			s.Outcome = NotDispatched
			s.Tokens = 0
			s.UsageKnown = true
		}
		l.settleOwn(now, &settleMessage{req: s}, r)
	}
}
