package escrow

import "time"

// ledger counts what this process may spend and has spent for one customer.
// The caller serialises access. All times are from a clock that also counts
// while the machine is suspended.
type ledger struct {
	customer      string
	amount        int64  // tokens of the share, as confirmed by the table
	pendingAmount *int64 // tokens of the share after a change whose outcome is unknown, the smallest of several; nil: no such change
	spent         int64  // tokens spent by settled reservations of this epoch
	reserved      int64  // tokens of open reservations
	epoch         int    // incremented when the share is lost: its lease expired, or another host closed it
	// returnLimit is the number of tokens that may be used until the share is confirmed in the
	// era of the store that has begun; nil: it is confirmed.
	returnLimit *int64
	meter       demandMeter
}

// used returns the tokens that are spent or in open reservations.
func (l *ledger) used() int64 { return l.spent + l.reserved }

// guaranteed returns the tokens that the process holds whatever the outcome of
// a pending transaction.
func (l *ledger) guaranteed() int64 {
	if l.pendingAmount != nil {
		return min(l.amount, *l.pendingAmount)
	}
	return l.amount
}

// limit returns the number of tokens that the process may have used by the time
// now. While the outcome of a report is unknown, both that report and the
// last confirmed one limit the process.
func (l *ledger) limit(now time.Duration, r ownReports) int64 {
	if r.confirmed == nil || now-r.confirmed.sentAt > leaseDuration {
		return 0
	}
	limit := r.confirmed.maxSpent(l, now)
	if r.pending != nil {
		limit = min(limit, r.pending.maxSpent(l, now))
	}
	if l.returnLimit != nil {
		limit = min(limit, *l.returnLimit)
	}
	return limit
}

// enterEra gives up changes whose outcome is unknown, as the store has returned from an older
// copy. Until the share is confirmed, it limits what may be used to what the reports of the
// era before allowed: other hosts, which know these reports, may have to assume that much.
func (l *ledger) enterEra(r ownReports) {
	l.amount, l.pendingAmount = max(l.guaranteed(), l.used()), nil
	if l.returnLimit != nil {
		return // the share was not confirmed in the era before either
	}
	limit := int64(0)
	if r.confirmed != nil {
		limit = r.confirmed.report.MaxSpent(l.customer, l.epoch, l.amount, leaseDuration)
	}
	if r.pending != nil {
		limit = min(limit, r.pending.report.MaxSpent(l.customer, l.epoch, l.amount, leaseDuration))
	}
	l.returnLimit = &limit
}

// confirmShare sets the share as confirmed by the table. It reports whether the process holds
// less: others had to assume more of it when the account was recovered.
func (l *ledger) confirmShare(amount int64) (holdsLess bool) {
	holdsLess = l.returnLimit != nil && l.amount < amount
	if !holdsLess {
		l.amount = amount
	}
	l.returnLimit = nil
	return holdsLess
}

// ownReports are the usage reports that limit what the process may spend.
type ownReports struct {
	confirmed *sentReport // last report that the table has stored
	pending   *sentReport // report whose outcome is unknown; nil: none
}

// sentReport is a report with the time at which it was first sent.
type sentReport struct {
	report UsageReport
	sentAt time.Duration
}

func (s *sentReport) maxSpent(l *ledger, now time.Duration) int64 {
	return s.report.MaxSpent(l.customer, l.epoch, l.guaranteed(), now-s.sentAt)
}

// reserve takes tokens if the limit covers them.
func (l *ledger) reserve(now time.Duration, r ownReports, tokens int64) bool {
	l.meter.recordReservation(now, tokens)
	if l.used()+tokens > l.limit(now, r) {
		return false
	}
	l.reserved += tokens
	l.meter.recordSpent(now, tokens)
	return true
}

// timeUntilAllowed returns how long it takes until the limit covers a
// reservation without another report, and false if it does not within twice
// the ceiling term.
func (l *ledger) timeUntilAllowed(now time.Duration, r ownReports, tokens int64) (time.Duration, bool) {
	for wait := time.Duration(0); wait <= 2*ceilingTerm; wait += limitSearchStep {
		if l.used()+tokens <= l.limit(now+wait, r) {
			return wait, true
		}
	}
	return 0, false
}

// limitSearchStep is the resolution of timeUntilAllowed.
const limitSearchStep = 100 * time.Millisecond

// settle closes a reservation of the given tokens and counts those that its
// request has spent.
func (l *ledger) settle(now time.Duration, epoch int, tokens, spent int64) {
	if epoch != l.epoch {
		return // the share was closed with all open reservations counted as spent
	}
	l.reserved -= tokens
	l.spent += spent
	l.meter.correctSpent(now, tokens, spent)
}

// expireLease ends the epoch of a process that did not report for a whole
// lease: other hosts may have closed the share or may close it at any time. It
// returns the tokens used from the share. That number is final, since open
// reservations count as spent.
func (l *ledger) expireLease() (used int64) {
	used = l.used()
	l.reset()
	return used
}

// reset starts a new epoch without a share.
func (l *ledger) reset() {
	l.epoch++
	l.amount, l.spent, l.reserved, l.pendingAmount, l.returnLimit = 0, 0, 0, nil, nil
}
