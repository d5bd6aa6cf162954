package escrow

import "time"

const (
	// minHeldRequests is the number of recent requests of a customer at a host from which
	// the host asks for a share of its own, with which it also serves when it is cut off.
	// Below it, the host spends from the share of the account's broker.
	minHeldRequests = 3
	// idleReviewInterval replaces reviewInterval for an account that this host neither
	// spends from nor changes.
	idleReviewInterval = 10 * time.Second
)

// pooled reports whether hosts with little demand spend from the broker's share.
func (p *tokenPool) pooled() bool {
	return p.manager.options.RequestReservation != nil && p.manager.hostCount() > maxDirectHosts
}

// lending reports whether another host has recently asked this one for tokens.
func (p *tokenPool) lending() bool { return p.lendingUntil > 0 && p.now() < p.lendingUntil }

// wantsShare reports whether the callers of this host send enough requests of the customer
// for a share of its own.
func (p *tokenPool) wantsShare() bool {
	return p.ledger.meter.recentRequests(p.now()) >= minHeldRequests
}

// holdsShare reports whether this host should hold unspent tokens: for its own callers, or
// for other hosts that spend from its share.
func (p *tokenPool) holdsShare(now time.Duration) bool {
	return p.lending() || p.lentMeter.recentRequests(now) >= 1 || p.wantsShare()
}

// listed reports whether the last confirmed usage report lists the customer. Of a share
// that a report does not list, an ended process counts as having spent nothing.
func (p *tokenPool) listed() bool {
	confirmed := p.manager.ownReports.confirmed
	if confirmed == nil {
		return false
	}
	_, listed := confirmed.report.Customers[p.ledger.customer]
	return listed
}

// mustBeListed reports whether usage reports must list the customer: always in a small
// fleet, otherwise once this process needs a share.
func (p *tokenPool) mustBeListed() bool {
	return p.wantsListing || p.lastSeq > 0 || p.ledger.amount > 0 || !p.pooled()
}

// awaitsListing reports whether a share is needed that can be taken only once a stored
// usage report lists the customer.
func (p *tokenPool) awaitsListing() bool { return p.wantsListing && !p.listed() }

// mayHoldShare reports whether an ended process of this host may have an open share of the
// account.
func (p *tokenPool) mayHoldShare(e EndedProcess) bool {
	if e.Report.Host != p.manager.options.Host {
		return false
	}
	_, listed := e.Report.Customers[p.ledger.customer]
	return listed || !e.Report.Complete || !p.pooled()
}

// hasOpenPredecessor reports whether a share of an ended process of this host may be open.
func (p *tokenPool) hasOpenPredecessor() bool {
	for incarnation, e := range p.manager.endedProcesses {
		if p.mayHoldShare(e) && !p.closedHere(incarnation) {
			return true
		}
	}
	return false
}

// closedHere reports whether the shares of an ended process of this host are closed, or
// their broker knows of the end of the process.
func (p *tokenPool) closedHere(incarnation string) bool {
	if p.reportedEnded[incarnation] {
		return true
	}
	if !p.loaded || p.brokerReply != nil {
		return false
	}
	for _, s := range p.account.Shares {
		if s.Incarnation == incarnation {
			return false
		}
	}
	return true
}

// idle reports whether this host has nothing to do for the account: it neither holds nor
// needs a share, and changes the account for nobody.
func (p *tokenPool) idle() bool {
	switch {
	case !p.pooled() || p.manager.leaving || p.ledger.amount > 0 || p.inDoubt || p.lending() || p.wantsShare():
		return false
	case len(p.waiting)+len(p.queue)+len(p.expiredShares) > 0 || p.hasOpenPredecessor():
		return false
	}
	changesAccount := p.loaded && p.brokerReply == nil
	return !changesAccount || len(p.account.Shares) == 0
}

// isIdle is idle for a caller that does not hold the manager's mutex.
func (p *tokenPool) isIdle() bool {
	p.manager.mu.Lock()
	defer p.manager.mu.Unlock()
	return p.idle()
}
