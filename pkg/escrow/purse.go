package escrow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/peppertrail/peppertrail/pkg/pause"
)

// accountKey is the key of an account row. Its part is the customer.
const accountKey = "account"

// tokenPool is this host's share of one customer's budget, with the goroutine that
// changes it in the table. The keeper's mutex protects its fields.
type tokenPool struct {
	keeper         *Keeper
	ledger         ledger
	wake           chan struct{}
	sharesReturned chan struct{} // closed when everything was given back

	prepaid           int64
	largestWaiting    int64            // largest reservation that waits
	expiredShares     map[string]int64 // used tokens by key of own shares whose lease had ended
	unmetAt           time.Duration    // when a reservation was last known to be in vain
	unmetTokens       int64
	returnChecks      int           // looks at the account since other hosts were asked
	lastReturnCheckAt time.Duration // of the last one
	peerShortageAt    time.Duration // when another host last lacked tokens
	account           Account       // as last seen
	accountVersion    uint64        // of the row; 0: absent
	loaded            bool
	loadedAt          time.Duration
	lastCallAt        time.Duration
	reachable         bool
	conflicted        bool

	queue         []*queuedRequest // changes of other hosts' shares that wait
	brokerReply   *ShareAnswer     // of the broker at seenAt; nil while this host changes the account itself
	lastSeq       int64            // of the last change of this host's share
	confirmedSeq  int64            // of the last one that is known to be applied; 0: no share
	inDoubt       bool             // an earlier change may still be applied
	noBroker      bool             // this host changes the account for want of a broker
	reportedEnded map[string]bool  // ended processes of this host that the broker knows of
}

func newTokenPool(k *Keeper, customer string) *tokenPool {
	return &tokenPool{
		keeper: k, ledger: ledger{customer: customer}, reachable: true,
		wake: make(chan struct{}, 1), sharesReturned: make(chan struct{}),
	}
}

func (p *tokenPool) trigger() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// expireLease gives up the present share.
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

func (p *tokenPool) now() time.Duration { return p.keeper.options.Clock() }

// ownShare returns the key under which the account has this process's ownShare.
func (p *tokenPool) ownShare() Share {
	o := p.keeper.options
	return Share{Host: o.Host, Incarnation: o.Incarnation, Epoch: p.ledger.epoch}
}

// view collects what is known of the budget if the account is as given.
func (p *tokenPool) view(account Account) budgetView {
	now := p.now()
	view := budgetView{
		prepaid: p.prepaid, settled: account.Settled, amount: p.ledger.amount, used: p.ledger.used(),
		recentDemand: p.ledger.meter.recentDemand(now), longTermDemand: p.ledger.meter.longTermDemand(), demandSquare: p.ledger.meter.longTermDemandSquare(), peakRequest: int64(p.ledger.meter.peakRequest), meanRequest: p.ledger.meter.meanRequest,
		largestWaiting: p.largestWaiting, hosts: p.keeper.options.Hosts(),
	}
	if p.brokerReply != nil {
		view.settled, view.others = p.brokerReply.Settled, p.brokerReply.Others
	} else {
		view.others = account.summarizeOthers(p.ledger.customer, p.ownShare().key(), p.keeper.peerReports)
	}
	view.others.Shortage = view.others.Shortage || p.peerShortage()
	return view
}

func (p *tokenPool) peerShortage() bool {
	return p.peerShortageAt > 0 && p.now()-p.peerShortageAt < peerShortageTerm
}

// usage returns the entry of the next report.
func (p *tokenPool) usage() Usage {
	u := p.view(p.account).usage(p.ledger.epoch)
	if p.unmetAt > 0 && p.now()-p.unmetAt < shortageReportTerm {
		u.Shortage = p.unmetTokens
	}
	return u
}

// needsHigherCeiling reports whether most of what the last report allows is used, or a
// reservation waits for more.
func (p *tokenPool) needsHigherCeiling() bool {
	confirmed := p.keeper.reports.confirmed
	if confirmed == nil {
		return false
	}
	u, named := confirmed.report.Customers[p.ledger.customer]
	if !named || u.Epoch != p.ledger.epoch || p.ledger.guaranteed() <= u.Ceiling {
		return false
	}
	return 3*(p.ledger.used()-u.Spent) > 2*(u.Ceiling-u.Spent) || p.ledger.used()+p.largestWaiting > u.Ceiling
}

// usageChanged reports whether the last report is out of date.
func (p *tokenPool) usageChanged() bool {
	confirmed := p.keeper.reports.confirmed
	return confirmed != nil && confirmed.report.Customers[p.ledger.customer].Spent != p.ledger.used()
}

// run changes the share as needed until everything was given back or ctx ends.
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
	p.keeper.mu.Lock()
	defer p.keeper.mu.Unlock()
	if p.conflicted || !p.loaded || p.keeper.leaving {
		return minCallInterval / 4
	}
	if p.returnChecks > 0 {
		return max(minCallInterval/4, p.lastReturnCheckAt+returnCheckInterval-p.now())
	}
	return reviewInterval
}

func (p *tokenPool) nextCallDelay() time.Duration {
	p.keeper.mu.Lock()
	defer p.keeper.mu.Unlock()
	interval := minCallInterval
	if p.brokerReply == nil && p.keeper.options.Hosts() > maxDirectHosts {
		interval = minChangeInterval(len(p.keeper.pools))
	}
	if p.noBroker {
		interval = rand.N(maxNoBrokerDelay)
	} else if p.conflicted {
		interval = rand.N(minCallInterval) // hosts that collided do not meet again
	}
	return p.lastCallAt + interval - p.now()
}

// step reads or changes the account if needed. It returns true once everything
// was given back.
func (p *tokenPool) step(ctx context.Context) (returned bool) {
	if broker := p.chooseBroker(); broker != "" {
		return p.changeThroughBroker(ctx, broker)
	}
	change, mustRead := p.planChange()
	switch {
	case mustRead:
		p.readAccount(ctx)
		change, _ = p.planChange()
	case change == nil:
		return p.doneLeaving()
	}
	if change == nil {
		return p.doneLeaving()
	}
	return p.submit(ctx, *change)
}

// chooseBroker returns the broker of the account. Without one the account itself
// is read again. A host that others ask is the broker, whatever it knows of them.
func (p *tokenPool) chooseBroker() (broker string) {
	p.keeper.mu.Lock()
	defer p.keeper.mu.Unlock()
	broker, p.noBroker = p.keeper.brokerOf(p.ledger.customer)
	if len(p.queue) > 0 {
		broker, p.noBroker = "", false
	}
	if broker == "" && p.brokerReply != nil {
		p.brokerReply, p.loaded = nil, false
	}
	return broker
}

func (p *tokenPool) doneLeaving() bool {
	p.keeper.mu.Lock()
	defer p.keeper.mu.Unlock()
	return p.keeper.leaving && p.ledger.reserved == 0
}

// readAccount takes over the account row.
func (p *tokenPool) readAccount(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := p.now()
	page, err := p.keeper.options.Rows.Range(ctx, p.keeper.options.AccountTable, p.ledger.customer, "")
	p.keeper.mu.Lock()
	defer p.keeper.mu.Unlock()
	p.lastCallAt = p.now()
	if err != nil {
		p.markUnreachable(err)
		return
	}
	p.keeper.recordStoreTime(page.Now, sentAt)
	var value []byte
	var version uint64
	for _, row := range page.Rows {
		if row.Key == accountKey {
			value, version = row.Value, row.Version
		}
	}
	p.setAccount(value, version)
	p.markReachable()
}

// setAccount sets the account as seen now. A row that cannot be read leaves it as it was.
func (p *tokenPool) setAccount(value []byte, version uint64) {
	account, err := decodeAccount(value)
	if err != nil {
		p.keeper.options.Log.Error().Err(err).Str("customer", p.ledger.customer).Msg("Account row unreadable. The share stays as it was.")
		return
	}
	p.account, p.accountVersion = account, version
	p.loaded, p.loadedAt = true, p.now()
	if own, held := account.Shares[p.ownShare().key()]; held {
		p.ledger.amount, p.confirmedSeq = own.Amount, own.Seq
	} else if p.ledger.amount > 0 {
		p.dropShare()
	}
}

// dropShare gives up a share that another host has closed.
func (p *tokenPool) dropShare() {
	p.keeper.options.Log.Warn().Str("customer", p.ledger.customer).Int64("held", p.ledger.amount).Int64("used", p.ledger.used()).Msg("Share was closed by another host.")
	p.ledger.reset()
	p.confirmedSeq, p.inDoubt = 0, false
}

// markReachable notes that the table answers for this account.
func (p *tokenPool) markReachable() {
	if !p.reachable {
		p.keeper.options.Log.Info().Str("customer", p.ledger.customer).Msg("Account answers again.")
	}
	p.reachable = true
	p.keeper.notifyWaiters()
}

// markUnreachable wakes the reservations that wait: they are refused at once while the
// table does not answer.
func (p *tokenPool) markUnreachable(err error) {
	if p.reachable {
		p.keeper.options.Log.Warn().Err(err).Str("customer", p.ledger.customer).Int64("held", p.ledger.amount).Int64("used", p.ledger.used()).Msg("Account does not answer.")
	}
	p.reachable = false
	p.keeper.notifyWaiters()
}

func (p *tokenPool) status() Status {
	now := p.now()
	view := p.view(p.account)
	s := Status{
		Customer: p.ledger.customer, Prepaid: p.prepaid, Held: p.ledger.amount,
		Spent: p.ledger.spent, Reserved: p.ledger.reserved, Limit: p.ledger.limit(now, p.keeper.reports),
		Settled: view.settled, Allotted: view.settled + view.amount + view.others.Amount, Brokered: p.brokerReply != nil,
		Demand: int64(p.ledger.meter.recentDemand(now)), Reachable: p.reachable,
		OutcomeUnknown: p.ledger.pendingAmount != nil || p.keeper.reports.pending != nil,
	}
	if confirmed := p.keeper.reports.confirmed; confirmed != nil {
		s.ReportAge = now - confirmed.sentAt
	}
	return s
}
