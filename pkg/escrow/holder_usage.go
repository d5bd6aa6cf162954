package escrow

import "time"

// holderUsage is the usage of a share that its holder has sent to the broker.
type holderUsage struct {
	usage      Usage
	receivedAt time.Duration // on the store's clock
}

// recordHolderUsage stores the usage that holders sent with their requests, and drops
// that of closed shares.
func (p *tokenPool) recordHolderUsage(served []*queuedRequest) {
	if p.holderUsage == nil {
		p.holderUsage = make(map[string]holderUsage)
	}
	for _, q := range served {
		if q.request.Usage != nil {
			p.holderUsage[q.request.Share.key()] = holderUsage{usage: *q.request.Usage, receivedAt: p.manager.estimatedStoreTime()}
		}
	}
	for key := range p.holderUsage {
		if _, open := p.account.Shares[key]; !open {
			delete(p.holderUsage, key)
		}
	}
}

// usageOf returns the last known usage of a share: that of this process, the one that its
// holder sent to this broker, or the one in a usage report if that is newer.
func (p *tokenPool) usageOf(s Share) (Usage, bool) {
	if s.key() == p.ownShare().key() {
		m := &p.ledger.meter
		return Usage{Epoch: s.Epoch, Used: p.ledger.used(), LongTermDemand: int64(m.longTermDemand()), DemandSquare: int64(m.longTermDemandSquare()), PeakRequest: int64(m.peakRequest)}, true
	}
	sent, wasSent := p.holderUsage[s.key()]
	report, known := p.manager.peerReports[s.Incarnation]
	u, listed := report.Customers[p.ledger.customer]
	reported := known && listed && u.Epoch == s.Epoch
	if wasSent && (!reported || time.Duration(report.StoreTimeMs)*time.Millisecond < sent.receivedAt) {
		return sent.usage, true
	}
	return u, reported
}
