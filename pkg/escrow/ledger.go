package escrow

import "time"

// ledger is what this host may spend for one customer. The caller serialises
// access. Times are of a clock that counts suspension.
type ledger struct {
	amount   int64 // confirmed, less what an open report gives back
	spent    int64 // by ended reservations of this epoch
	reserved int64 // by open ones
	epoch    int   // goes up when the holding was lost to another host
	meter    meter

	acked   sentReport // last report that the table has taken
	pending *sentReport
}

// sentReport is a report and the time at which it was first sent.
type sentReport struct {
	holding Holding
	sentAt  time.Duration
	unknown bool // the table may or may not have taken it
}

func (l *ledger) used() int64 { return l.spent + l.reserved }

// limit returns what may be spent now. While the outcome of a report is
// unknown, both it and the one before bound the host.
func (l *ledger) limit(now time.Duration) int64 {
	if l.acked.holding.Incarnation == "" || now-l.acked.sentAt > leaseTerm {
		return 0
	}
	limit := min(l.amount, l.acked.holding.MaxSpent(now-l.acked.sentAt))
	if l.pending != nil {
		limit = min(limit, l.pending.holding.MaxSpent(now-l.pending.sentAt))
	}
	return limit
}

// reserve takes tokens if they are within the limit.
func (l *ledger) reserve(now time.Duration, tokens int64) bool {
	l.meter.reserved(now, tokens)
	if l.used()+tokens > l.limit(now) {
		return false
	}
	l.reserved += tokens
	return true
}

// available returns when the limit will allow for a reservation without a
// further report, as a time from now, and whether it will at all.
func (l *ledger) available(now time.Duration, tokens int64) (time.Duration, bool) {
	if l.acked.holding.Incarnation == "" {
		return 0, false
	}
	for wait := time.Duration(0); wait <= shortTerm; wait += availableStep {
		if l.used()+tokens <= l.limit(now+wait) {
			return wait, true
		}
	}
	return 0, false
}

// availableStep is the precision of available.
const availableStep = 100 * time.Millisecond

// settle ends a reservation with what was spent of it.
func (l *ledger) settle(now time.Duration, epoch int, tokens, spent int64) {
	if epoch != l.epoch {
		return // the holding was closed as if all of it was spent
	}
	l.reserved -= tokens
	l.spent += spent
	l.meter.add(now, spent)
}

// confirm takes over a report that is in the table.
func (l *ledger) confirm(r sentReport) {
	l.acked = r
	l.amount = r.holding.Amount
	l.pending = nil
}

// lose starts a new epoch without a holding.
func (l *ledger) lose() {
	l.epoch++
	l.amount, l.spent, l.reserved = 0, 0, 0
	l.acked, l.pending = sentReport{}, nil
}
