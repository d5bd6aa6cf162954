package escrow

import "time"

// ledger is what this process may spend for one customer. The caller serialises
// access. Times are of a clock that counts suspension.
type ledger struct {
	customer      string
	amount        int64  // share that the table has confirmed
	pendingAmount *int64 // share in a transaction whose outcome is not known
	spent         int64  // by ended reservations of this epoch
	reserved      int64  // by open ones
	epoch         int    // goes up when the share was closed by another host
	meter         demandMeter
}

func (l *ledger) used() int64 { return l.spent + l.reserved }

// guaranteed returns the share that is certain.
func (l *ledger) guaranteed() int64 {
	if l.pendingAmount != nil {
		return min(l.amount, *l.pendingAmount)
	}
	return l.amount
}

// limit returns what may be spent at a time. While the outcome of a report is
// unknown, both it and the one before bound the process.
func (l *ledger) limit(now time.Duration, r reports) int64 {
	if r.confirmed == nil || now-r.confirmed.sentAt > leaseDuration {
		return 0
	}
	limit := r.confirmed.maxSpent(l, now)
	if r.pending != nil {
		limit = min(limit, r.pending.maxSpent(l, now))
	}
	return limit
}

// reports are the usage reports that bound the process.
type reports struct {
	confirmed *sentReport // last one that the table has taken
	pending   *sentReport // one whose outcome is not known
}

// sentReport is a report and the time at which it was first sent.
type sentReport struct {
	report UsageReport
	sentAt time.Duration
}

func (s *sentReport) maxSpent(l *ledger, now time.Duration) int64 {
	return s.report.MaxSpent(l.customer, l.epoch, l.guaranteed(), now-s.sentAt)
}

// reserve takes tokens if they are within the limit.
func (l *ledger) reserve(now time.Duration, r reports, tokens int64) bool {
	l.meter.recordReservation(now, tokens)
	if l.used()+tokens > l.limit(now, r) {
		return false
	}
	l.reserved += tokens
	return true
}

// timeUntilAllowed returns after which time the limit will allow for a reservation
// without another report, and whether it will at all.
func (l *ledger) timeUntilAllowed(now time.Duration, r reports, tokens int64) (time.Duration, bool) {
	for wait := time.Duration(0); wait <= 2*ceilingTerm; wait += limitSearchStep {
		if l.used()+tokens <= l.limit(now+wait, r) {
			return wait, true
		}
	}
	return 0, false
}

// limitSearchStep is the precision of available.
const limitSearchStep = 100 * time.Millisecond

// settle ends a reservation with what was spent of it.
func (l *ledger) settle(now time.Duration, epoch int, tokens, spent int64) {
	if epoch != l.epoch {
		return // the share was closed as if all of it was spent
	}
	l.reserved -= tokens
	l.spent += spent
	l.meter.recordSpent(now, spent)
}

// expireLease ends the epoch of a process that did not report for a whole lease: other
// hosts may have closed the share, or are about to. It returns what was used of
// the share, which is final.
func (l *ledger) expireLease() (used int64) {
	used = l.used()
	l.reset()
	return used
}

// reset starts a new epoch without a share.
func (l *ledger) reset() {
	l.epoch++
	l.amount, l.spent, l.reserved, l.pendingAmount = 0, 0, 0, nil
}
