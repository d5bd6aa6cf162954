package escrow

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/peppertrail/peppertrail/pkg/pause"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

const (
	// brokerCallTimeout is the time limit of one share request. The table
	// needs about 10 ms to apply a change.
	brokerCallTimeout = 400 * time.Millisecond
	// maxBrokerReplyAge is the age at which a host renews a broker's reply by
	// another share request, even if it needs no change.
	maxBrokerReplyAge = 2500 * time.Millisecond
	// maxNoBrokerDelay is the upper bound of the random delay between account
	// changes of a host that reaches no broker. The random delay keeps such
	// hosts from writing at the same time.
	maxNoBrokerDelay = time.Second
)

// changeThroughBroker sends the broker a share request if one is needed. It
// returns true once all shares are returned.
func (p *tokenPool) changeThroughBroker(ctx context.Context, broker string) (returned bool) {
	request, needed := p.planShareRequest()
	if !needed {
		return p.doneLeaving()
	}
	callCtx, cancel := context.WithTimeout(ctx, brokerCallTimeout)
	defer cancel()
	reply, err := p.manager.options.RequestShare(callCtx, broker, request)
	if ctx.Err() != nil {
		return false
	}
	if err != nil {
		p.brokerCallFailed(ctx, broker, request, err)
		return false
	}
	return p.applyReply(broker, request, reply)
}

// planShareRequest returns the next share request, and whether one is needed.
func (p *tokenPool) planShareRequest() (request ShareRequest, needed bool) {
	m := p.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	now := p.now()
	if m.leaving && p.ledger.reserved > 0 {
		return request, false
	}
	recent := (p.brokerReply != nil && now-p.loadedAt <= maxBrokerReplyAge) || (p.pooled() && p.ledger.amount == 0)
	amount := p.ledger.amount
	if p.brokerReply != nil || m.leaving {
		amount = p.plannedAmount(p.view(p.account))
	}
	request = ShareRequest{
		Customer: p.ledger.customer, Share: p.ownShare(), Held: p.confirmedSeq > 0, LastAppliedSeq: p.confirmedSeq, ForceWrite: p.inDoubt,
		Close: m.leaving, Used: p.ledger.used(), ExpiredShares: maps.Clone(p.expiredShares),
	}
	request.Share.Amount = amount
	request.Waiting = p.ledger.amount-p.ledger.used() < p.waiting.largest()
	usage := p.usage()
	request.Usage = &usage
	for incarnation, e := range m.endedProcesses {
		if p.mayHoldShare(e) && !p.reportedEnded[incarnation] {
			request.EndedProcesses = append(request.EndedProcesses, EndedProcess{Report: e.Report.forCustomer(p.ledger.customer), EndedBy: e.EndedBy})
		}
	}
	needed = amount != p.ledger.amount || !recent || p.inDoubt || len(p.expiredShares) > 0 || len(request.EndedProcesses) > 0 ||
		(m.leaving && request.Held)
	if !needed && !m.leaving {
		needed = p.handleUnmetReservation(p.view(p.account))
	}
	if !needed {
		return request, false
	}
	p.lastSeq++
	request.Share.Seq = p.lastSeq
	p.setPendingAmount(amount)
	p.inDoubt = true // until the broker replies
	return request, true
}

// applyReply updates the account summary and the share from the broker's reply.
// It returns true once all shares are returned.
func (p *tokenPool) applyReply(broker string, request ShareRequest, reply ShareReply) (returned bool) {
	p.manager.mu.Lock()
	defer p.manager.mu.Unlock()
	p.lastCallAt = p.now()
	p.manager.noteEra(reply.Era)
	if p.manager.isLost(reply.Era) {
		return false
	}
	p.loaded, p.loadedAt, p.conflicted = true, p.lastCallAt, false
	delete(p.manager.brokerRetryAt, broker)
	p.brokerReply = &reply
	p.recovery = poolRecovery{} // the broker rejects requests until the account is recovered
	for _, e := range request.EndedProcesses {
		p.markReportedEnded(e.Report.Incarnation)
	}
	for key := range request.ExpiredShares {
		delete(p.expiredShares, key)
	}
	if request.Share.Epoch == p.ledger.epoch {
		p.applyReplyShare(request, reply)
	}
	p.markReachable()
	return request.Close && !reply.Held
}

// applyReplyShare updates the share from the broker's reply. A request that
// was written decides all earlier requests of this host, since their sequence
// numbers are lower. If a forced write did not take place, the share stays in
// doubt and the next request forces a write again.
func (p *tokenPool) applyReplyShare(request ShareRequest, reply ShareReply) {
	if reply.Held && reply.Share.Seq < p.confirmedSeq {
		return // the reply is older than the last confirmed change
	}
	switch {
	case reply.Held:
		p.confirmShare(reply.Share)
	case p.ledger.amount > 0 && !request.Close:
		p.dropShare()
	default:
		p.ledger.confirmShare(0)
		p.confirmedSeq = 0
	}
	if !request.ForceWrite || reply.Share.Seq == request.Share.Seq || !reply.Held {
		p.inDoubt, p.ledger.pendingAmount = reply.Held && p.ledger.amount < reply.Share.Amount, nil
	}
}

// brokerCallFailed records that a share request failed, and waits before the
// next one. If err is storage.ErrNotApplied, the broker has not applied the
// request. It stays the broker, since this host is unlikely to reach the table
// if the broker cannot. With any other error the broker may have applied the
// request, and it is not asked again for brokerRetryDelay.
func (p *tokenPool) brokerCallFailed(ctx context.Context, broker string, request ShareRequest, err error) {
	m := p.manager
	m.mu.Lock()
	p.lastCallAt = p.now()
	if errors.Is(err, storage.ErrNotApplied) {
		p.inDoubt = request.ForceWrite
		if !p.inDoubt {
			p.ledger.pendingAmount = nil
		}
	} else {
		m.recordBrokerFailure(broker, p.ledger.customer, err)
	}
	p.markUnreachable(err)
	m.mu.Unlock()
	pause.For(ctx, firstResendDelay)
}

// markReportedEnded records that the broker knows of an ended process of this
// host.
func (p *tokenPool) markReportedEnded(incarnation string) {
	if p.reportedEnded == nil {
		p.reportedEnded = make(map[string]bool)
	}
	p.reportedEnded[incarnation] = true
}
