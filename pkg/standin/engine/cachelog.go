package engine

import "time"

// cacheLogSize is the largest number of events kept. When the log is full, the
// older half is dropped, and a reader that is further behind sees a gap.
const cacheLogSize = 4096

// cacheLog keeps the latest cache events.
type cacheLog struct {
	lag    time.Duration // delay until an event is published
	gap    int           // every gap-th event is dropped; 0: none
	now    func() time.Time
	seq    int // sequence number of the last event; 0: none
	events []CacheEvent
}

// add records an event unless it is one of those dropped as gaps.
func (l *cacheLog) add(change BlockChange, block string) {
	l.seq++
	if l.gap > 0 && l.seq%l.gap == 0 {
		return
	}
	if len(l.events) == cacheLogSize {
		l.events = append(l.events[:0], l.events[cacheLogSize/2:]...)
	}
	l.events = append(l.events, CacheEvent{Seq: l.seq, Type: change, Block: block, At: l.now()})
}

// after returns the events with a sequence number above seq that are at least lag
// old.
func (l *cacheLog) after(seq int) CacheEvents {
	cutoff := l.now().Add(-l.lag)
	found := CacheEvents{Events: []CacheEvent{}}
	for _, e := range l.events {
		if e.Seq > seq && !e.At.After(cutoff) {
			found.Events = append(found.Events, e)
		}
	}
	return found
}
