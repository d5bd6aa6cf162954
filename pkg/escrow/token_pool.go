package escrow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/peppertrail/peppertrail/pkg/pause"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// accountKey is the key of an account row. The partition of the row
// (RowKey.Part) is the name of the customer.
const accountKey = "account"

// tokenPool manages this process's share of one customer's budget and the
// reservations from it. Its goroutine changes the share in the table. The
// manager's mutex protects its fields. Times are on the local clock.
type tokenPool struct {
	manager        *Manager
	ledger         ledger
	wake           chan struct{} // wakes run to check whether the share must change
	sharesReturned chan struct{} // closed when all shares are returned on leave

	prepaid           int64               // prepaid total in tokens
	waiting           waitingReservations // reservations that wait for a larger share or spending limit
	expiredShares     map[string]int64    // tokens used from own shares whose lease has expired, by Share.key
	unmetAt           time.Duration       // when a waiting reservation was last found to lack tokens that this host cannot get
	unmetTokens       int64               // tokens of the reservation at unmetAt
	returnChecks      int                 // checks of the account since other hosts were asked to return tokens
	lastReturnCheckAt time.Duration       // when the last of returnChecks was made
	peerShortageAt    time.Duration       // when another host last announced a shortage
	// repeatedShortageAt is when another host last announced a shortage again.
	repeatedShortageAt time.Duration
	account            Account         // account as last read or written
	accountVersion     storage.Version // version of the account row; number 0: no row
	loaded             bool            // the account or a reply of its broker was received
	loadedAt           time.Duration   // when the account or the reply was last received
	lastCallAt         time.Duration   // when the last call to the table or a broker ended
	reachable          bool            // the last call for the account succeeded
	late               bool            // while it is not reachable: the response of the last call was late
	conflicted         bool            // the last change was not applied, because the row had another version
	recovery           poolRecovery    // of the account, after a return of the store from an older copy

	queue         []*queuedRequest       // share requests of other hosts
	holderUsage   map[string]holderUsage // usage that holders have sent to this host as the broker, by Share.key
	brokerReply   *ShareReply            // broker's reply at loadedAt; nil while this host changes the account itself
	lastSeq       int64                  // sequence number of the last change of the own share
	confirmedSeq  int64                  // sequence number of the last change known to be applied; 0: no share
	inDoubt       bool                   // an earlier change of the own share may still be applied
	noBroker      bool                   // this host changes the account because no broker answers
	reportedEnded map[string]bool        // ended processes of this host that the broker knows of, by incarnation

	// The fields below are used in a large fleet, where a host without a share of its own
	// spends from that of the broker.
	lentMeter    demandMeter   // demand of other hosts that spend from this host's share
	lendingUntil time.Duration // until then this host acts as the broker, as another host has asked it
	wantsListing bool          // the next usage report must list the customer, as a share is needed
}

func newTokenPool(m *Manager, customer string) *tokenPool {
	return &tokenPool{
		manager: m, ledger: ledger{customer: customer}, reachable: true, waiting: make(waitingReservations),
		wake: make(chan struct{}, 1), sharesReturned: make(chan struct{}),
	}
}

// trigger wakes run to check whether the share must change.
func (p *tokenPool) trigger() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// expireLease gives up the current share after its lease has expired.
func (p *tokenPool) expireLease() {
	key := p.ownShare().key()
	used := p.ledger.expireLease()
	p.confirmedSeq, p.inDoubt = 0, false
	if p.expiredShares == nil {
		p.expiredShares = make(map[string]int64)
	}
	p.expiredShares[key] = used
	p.trigger()
}

func (p *tokenPool) now() time.Duration { return p.manager.options.Clock() }

// ownShare returns a Share without amount that identifies this process's share
// in the account.
func (p *tokenPool) ownShare() Share {
	o := p.manager.options
	return Share{Host: o.Host, Incarnation: o.Incarnation, Epoch: p.ledger.epoch}
}

// view collects what is known of the budget, given a state of the account.
func (p *tokenPool) view(account Account) budgetView {
	now := p.now()
	view := budgetView{
		prepaid: p.prepaid, settled: account.Settled, amount: p.ledger.amount, used: p.ledger.used(),
		recentDemand: p.ledger.meter.recentDemand(now), longTermDemand: p.ledger.meter.longTermDemand(), demandSquare: p.ledger.meter.longTermDemandSquare(), peakRequest: int64(p.ledger.meter.peakRequest), meanRequest: p.ledger.meter.meanRequest,
		largestWaiting: p.waiting.largest(), totalWaiting: p.waiting.total(), hosts: p.manager.options.Hosts(),
	}
	if p.brokerReply != nil {
		view.settled, view.others, view.brokered = p.brokerReply.Settled, p.brokerReply.Others, true
	} else {
		view.others = account.summarizeOthers(p.ownShare().key(), p.usageOf)
	}
	view.others.Shortage = view.others.Shortage || p.peerShortage()
	view.shortageRepeated = p.repeatedShortageAt > 0 && now-p.repeatedShortageAt < repeatedShortageTerm
	view.smallestWaiting, _ = p.waiting.smallest()
	if p.pooled() {
		view.pooled, view.holds = true, p.holdsShare(now)
		view.hosts = view.others.Holders + 1
		view.lentDemand = p.lentMeter.recentDemand(now)
	}
	return view
}

// peerShortage reports whether another host has announced a shortage within
// peerShortageTerm.
func (p *tokenPool) peerShortage() bool {
	return p.peerShortageAt > 0 && p.now()-p.peerShortageAt < peerShortageTerm
}

// plannedAmount returns the share that the process should hold, in tokens. It takes none
// before a usage report of it is stored: without one nothing would bound what it may have
// spent, and no other host could close the share after its end.
func (p *tokenPool) plannedAmount(view budgetView) int64 {
	switch {
	case p.manager.leaving:
		return 0
	case p.manager.ownReports.confirmed == nil:
		return min(view.nextAmount(), p.ledger.amount)
	}
	amount := view.nextAmount()
	if amount > p.ledger.amount && p.pooled() && !p.listed() {
		p.wantsListing = true
		p.manager.reporter.trigger()
		return p.ledger.amount
	}
	return amount
}

// usage returns the customer's entry in the next usage report.
func (p *tokenPool) usage() Usage {
	u := p.view(p.account).usage(p.ledger.epoch)
	switch {
	case p.unmetAt > 0 && p.now()-p.unmetAt < shortageReportTerm:
		u.ShortageTokens = p.unmetTokens
	case p.returnChecks > 0 && p.brokerReply != nil:
		// The broker tells the holders with its replies, also if the announcement is lost.
		u.ShortageTokens = p.waiting.largest()
	}
	return u
}

// needsHigherCeiling reports whether more than two thirds of the headroom of
// the last confirmed report is used, or a waiting reservation would exceed its
// ceiling.
func (p *tokenPool) needsHigherCeiling() bool {
	confirmed := p.manager.ownReports.confirmed
	if confirmed == nil {
		return false
	}
	u, listed := confirmed.report.Customers[p.ledger.customer]
	if !listed || u.Epoch != p.ledger.epoch {
		return p.ledger.amount > 0 // nothing can be spent from a share that is not listed
	}
	if p.ledger.guaranteed() <= u.Ceiling {
		return false
	}
	return 3*(p.ledger.used()-u.Used) > 2*(u.Ceiling-u.Used) || p.ledger.used()+p.waiting.largest() > u.Ceiling
}

// usageChanged reports whether the tokens used differ from the last confirmed
// report.
func (p *tokenPool) usageChanged() bool {
	confirmed := p.manager.ownReports.confirmed
	return confirmed != nil && confirmed.report.Customers[p.ledger.customer].Used != p.ledger.used()
}

// run changes the share as needed until all shares are returned or ctx ends.
func (p *tokenPool) run(ctx context.Context) {
	p.awaitPeers(ctx)
	for ctx.Err() == nil {
		if returned := p.step(ctx); returned {
			close(p.sharesReturned)
			return
		}
		timer := time.NewTimer(p.nextReviewDelay())
		select {
		case <-p.wake:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		pause.For(ctx, p.nextCallDelay())
	}
}

func (p *tokenPool) nextReviewDelay() time.Duration {
	p.manager.mu.Lock()
	defer p.manager.mu.Unlock()
	if p.idle() {
		return idleReviewInterval
	}
	if p.recovery.running {
		if p.recoveryDelayed(p.now()) {
			return slowRecoveryPoll
		}
		return p.recoveryReadInterval()
	}
	if p.conflicted || !p.loaded || p.manager.leaving {
		return minCallInterval / 4
	}
	if p.returnChecks > 0 {
		return max(minCallInterval/4, p.lastReturnCheckAt+returnCheckInterval-p.now())
	}
	return reviewInterval
}

func (p *tokenPool) nextCallDelay() time.Duration {
	p.manager.mu.Lock()
	defer p.manager.mu.Unlock()
	interval := minCallInterval
	if p.brokerReply == nil && p.manager.options.Hosts() > maxDirectHosts {
		interval = p.manager.options.minChangeInterval(len(p.manager.pools))
	}
	if p.noBroker {
		interval = rand.N(maxNoBrokerDelay)
	} else if p.conflicted {
		interval = rand.N(minCallInterval) // a random delay keeps hosts from conflicting again
	}
	return max(p.lastCallAt+interval-p.now(), p.recoveryReadDelay())
}

// step reads or changes the account if needed. It returns true once all shares
// are returned.
func (p *tokenPool) step(ctx context.Context) (returned bool) {
	if p.isIdle() {
		return false
	}
	if broker := p.chooseBroker(); broker != "" {
		return p.changeThroughBroker(ctx, broker)
	}
	if p.recovering() {
		p.recover(ctx)
		return false
	}
	change, mustRead := p.planChange()
	if mustRead {
		p.readAccount(ctx)
		if p.recovering() {
			return false
		}
		change, _ = p.planChange()
	}
	if change == nil {
		return p.doneLeaving()
	}
	return p.submit(ctx, *change)
}

// chooseBroker returns the address of the account's broker, or "" if this host
// changes the account itself. When this host replaces a broker, the account
// is read again. A host that has share requests queued acts as the
// broker, whatever it knows of other hosts.
func (p *tokenPool) chooseBroker() (broker string) {
	p.manager.mu.Lock()
	defer p.manager.mu.Unlock()
	broker, p.noBroker = p.manager.brokerOf(p.ledger.customer)
	if len(p.queue) > 0 || p.lending() {
		broker, p.noBroker = "", false
	}
	if broker == "" && p.brokerReply != nil {
		p.brokerReply, p.loaded = nil, false
	}
	if broker != "" {
		p.holderUsage = nil // the holders send their usage to the other broker
	}
	return broker
}

// doneLeaving reports whether this host is leaving and has no open
// reservations. Callers that have planned no change of the account conclude
// from true that all shares are returned.
func (p *tokenPool) doneLeaving() bool {
	p.manager.mu.Lock()
	defer p.manager.mu.Unlock()
	return p.manager.leaving && p.ledger.reserved == 0
}

// readAccount reads the account row from the table.
func (p *tokenPool) readAccount(ctx context.Context) {
	value, version, err := p.readAccountRow(ctx)
	p.manager.mu.Lock()
	defer p.manager.mu.Unlock()
	if err != nil {
		p.markUnreachable(err)
		return
	}
	p.setAccount(value, version)
	p.markReachable()
}

// readAccountRow reads the account row. Its number is 0 if it is absent.
func (p *tokenPool) readAccountRow(ctx context.Context) (value []byte, version storage.Version, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := p.now()
	page, err := p.manager.options.Rows.Range(ctx, p.manager.options.AccountTable, p.ledger.customer, "")
	p.manager.mu.Lock()
	defer p.manager.mu.Unlock()
	p.lastCallAt = p.now()
	if err != nil {
		return nil, version, err
	}
	p.manager.recordStoreTime(page.Now, sentAt, page.Era)
	version.Era = page.Era
	for _, row := range page.Rows {
		if row.Key == accountKey {
			value, version = row.Value, row.Version
		}
	}
	return value, version, nil
}

// setAccount stores the current value of the account row and sets the own share
// from it. If the row cannot be decoded, the pool keeps the last account. If it may lack
// shares, as the store has returned from an older copy, the account is recovered first.
func (p *tokenPool) setAccount(value []byte, version storage.Version) {
	account, err := decodeAccount(value)
	if err != nil {
		p.manager.options.Log.Error().Err(err).Str("customer", p.ledger.customer).Msg("Account row cannot be decoded. Keeping the share as last read.")
		return
	}
	p.loaded, p.brokerReply = true, nil
	if p.manager.lacksShares(account, version) {
		p.startRecovery()
		return
	}
	p.recovery = poolRecovery{}
	p.account, p.accountVersion, p.loadedAt = account, version, p.now()
	if own, held := account.Shares[p.ownShare().key()]; held {
		p.confirmShare(own)
	} else if p.ledger.amount > 0 {
		p.dropShare()
	} else {
		p.ledger.confirmShare(0)
	}
}

// confirmShare sets the own share as the account has it. If this process holds less, the share
// is written again.
func (p *tokenPool) confirmShare(own Share) {
	if p.ledger.confirmShare(own.Amount) {
		p.inDoubt = true
	}
	p.confirmedSeq, p.lastSeq = own.Seq, max(p.lastSeq, own.Seq)
}

// dropShare gives up a share that another host has closed.
func (p *tokenPool) dropShare() {
	p.manager.options.Log.Warn().Str("customer", p.ledger.customer).Int64("held", p.ledger.amount).Int64("used", p.ledger.used()).Msg("Share was closed by another host. Starting again without a share.")
	p.ledger.reset()
	p.confirmedSeq, p.inDoubt = 0, false
}

// markReachable records that the account can be read or changed, and notifies
// the waiting reservations.
func (p *tokenPool) markReachable() {
	if !p.reachable {
		p.manager.options.Log.Info().Str("customer", p.ledger.customer).Msg("Budget account is reachable again.")
	}
	p.reachable, p.late = true, false
	p.manager.notifyWaiters()
}

// markUnreachable records that the account cannot be read or changed. It
// notifies the waiting reservations, which are refused at once while the table
// does not answer.
func (p *tokenPool) markUnreachable(err error) {
	if p.reachable {
		p.manager.options.Log.Warn().Err(err).Str("customer", p.ledger.customer).Int64("held", p.ledger.amount).Int64("used", p.ledger.used()).Msg("Budget account is unreachable. Only tokens already held can be spent.")
	}
	p.reachable, p.late = false, isLate(err, p.late)
	p.manager.notifyWaiters()
}

func (p *tokenPool) status() Status {
	now := p.now()
	view := p.view(p.account)
	s := Status{
		Customer: p.ledger.customer, Prepaid: p.prepaid, Held: p.ledger.amount,
		Spent: p.ledger.spent, Reserved: p.ledger.reserved, Limit: p.ledger.limit(now, p.manager.ownReports),
		Settled: view.settled, Allotted: view.settled + view.amount + view.others.Amount, Brokered: p.brokerReply != nil,
		Demand: int64(p.ledger.meter.recentDemand(now)), Reachable: p.reachable, Era: p.accountVersion.Era, Recovering: p.recovery.running,
		OutcomeUnknown: p.ledger.pendingAmount != nil || p.manager.ownReports.pending != nil,
	}
	if p.brokerReply != nil {
		s.Era = p.brokerReply.Era
	}
	if confirmed := p.manager.ownReports.confirmed; confirmed != nil {
		s.ReportAge = now - confirmed.sentAt
	}
	return s
}
