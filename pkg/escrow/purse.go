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
	keeper *Keeper
	ledger ledger
	wake   chan struct{}
	left   chan struct{} // closed when everything was given back

	prepaid     int64
	need        int64            // largest reservation that waits
	lapsed      map[string]int64 // used tokens by key of own shares whose lease had ended
	vainAt      time.Duration    // when a reservation was last known to be in vain
	vainNeed    int64
	asks        int           // looks at the account since other hosts were asked
	askedAt     time.Duration // of the last one
	heardLackAt time.Duration // when another host last lacked tokens
	account     Account       // as last seen
	version     uint64        // of the row; 0: absent
	seen        bool
	seenAt      time.Duration
	triedAt     time.Duration
	reachable   bool
	collided    bool

	queue     []*brokered     // changes of other hosts' shares that wait
	summary   *ShareAnswer    // of the broker at seenAt; nil while this host changes the account itself
	seq       int64           // of the last change of this host's share
	confirmed int64           // of the last one that is known to be applied; 0: no share
	unsure    bool            // an earlier change may still be applied
	stranded  bool            // this host changes the account for want of a broker
	cleared   map[string]bool // ended processes of this host that the broker knows of
}

func newTokenPool(k *Keeper, customer string) *tokenPool {
	return &tokenPool{
		keeper: k, ledger: ledger{customer: customer}, reachable: true,
		wake: make(chan struct{}, 1), left: make(chan struct{}),
	}
}

func (p *tokenPool) kick() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// lapse gives up the present share.
func (p *tokenPool) lapse() {
	key := p.share().key()
	used := p.ledger.expireLease()
	p.confirmed, p.unsure = 0, false
	if p.lapsed == nil {
		p.lapsed = make(map[string]int64)
	}
	p.lapsed[key] = used
	p.kick()
}

func (p *tokenPool) now() time.Duration { return p.keeper.options.Clock() }

// share returns the key under which the account has this process's share.
func (p *tokenPool) share() Share {
	o := p.keeper.options
	return Share{Host: o.Host, Incarnation: o.Incarnation, Epoch: p.ledger.epoch}
}

// position collects what is known of the budget if the account is as given.
func (p *tokenPool) position(account Account) budgetView {
	now := p.now()
	pos := budgetView{
		prepaid: p.prepaid, settled: account.Settled, amount: p.ledger.amount, used: p.ledger.used(),
		recentDemand: p.ledger.meter.recentDemand(now), longTermDemand: p.ledger.meter.longTermDemand(), demandSquare: p.ledger.meter.longTermDemandSquare(), peakRequest: int64(p.ledger.meter.peakRequest), meanRequest: p.ledger.meter.meanRequest,
		largestWaiting: p.need, hosts: p.keeper.options.Hosts(),
	}
	if p.summary != nil {
		pos.settled, pos.others = p.summary.Settled, p.summary.Others
	} else {
		pos.others = account.summarizeOthers(p.ledger.customer, p.share().key(), p.keeper.peers)
	}
	pos.others.Shortage = pos.others.Shortage || p.heardLack()
	return pos
}

func (p *tokenPool) heardLack() bool {
	return p.heardLackAt > 0 && p.now()-p.heardLackAt < peerShortageTerm
}

// usage returns the entry of the next report.
func (p *tokenPool) usage() Usage {
	u := p.position(p.account).usage(p.ledger.epoch)
	if p.vainAt > 0 && p.now()-p.vainAt < shortageReportTerm {
		u.Shortage = p.vainNeed
	}
	return u
}

// needsCeiling reports whether most of what the last report allows is used, or a
// reservation waits for more.
func (p *tokenPool) needsCeiling() bool {
	acked := p.keeper.reports.confirmed
	if acked == nil {
		return false
	}
	u, named := acked.report.Customers[p.ledger.customer]
	if !named || u.Epoch != p.ledger.epoch || p.ledger.guaranteed() <= u.Ceiling {
		return false
	}
	return 3*(p.ledger.used()-u.Spent) > 2*(u.Ceiling-u.Spent) || p.ledger.used()+p.need > u.Ceiling
}

// isSpending reports whether the last report is out of date.
func (p *tokenPool) isSpending() bool {
	acked := p.keeper.reports.confirmed
	return acked != nil && acked.report.Customers[p.ledger.customer].Spent != p.ledger.used()
}

// run changes the share as needed until everything was given back or ctx ends.
func (p *tokenPool) run(ctx context.Context) {
	p.awaitPeers(ctx)
	for ctx.Err() == nil {
		if left := p.step(ctx); left {
			close(p.left)
			return
		}
		timer := time.NewTimer(p.untilReview())
		select {
		case <-p.wake:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		pause.For(ctx, p.untilGap())
	}
}

func (p *tokenPool) untilReview() time.Duration {
	p.keeper.mu.Lock()
	defer p.keeper.mu.Unlock()
	if p.collided || !p.seen || p.keeper.leaving {
		return minCallInterval / 4
	}
	if p.asks > 0 {
		return max(minCallInterval/4, p.askedAt+returnCheckInterval-p.now())
	}
	return reviewInterval
}

func (p *tokenPool) untilGap() time.Duration {
	p.keeper.mu.Lock()
	defer p.keeper.mu.Unlock()
	gap := minCallInterval
	if p.summary == nil && p.keeper.options.Hosts() > directHosts {
		gap = changeGap(len(p.keeper.pools))
	}
	if p.stranded {
		gap = rand.N(strandedGap)
	} else if p.collided {
		gap = rand.N(minCallInterval) // hosts that collided do not meet again
	}
	return p.triedAt + gap - p.now()
}

// step reads or changes the account if needed. It returns true once everything
// was given back.
func (p *tokenPool) step(ctx context.Context) (left bool) {
	if broker := p.chooseBroker(); broker != "" {
		return p.stepByBroker(ctx, broker)
	}
	change, read := p.decide()
	switch {
	case read:
		p.read(ctx)
		change, _ = p.decide()
	case change == nil:
		return p.hasLeft()
	}
	if change == nil {
		return p.hasLeft()
	}
	return p.submit(ctx, *change)
}

// chooseBroker returns the broker of the account. Without one the account itself
// is read again. A host that others ask is the broker, whatever it knows of them.
func (p *tokenPool) chooseBroker() (broker string) {
	p.keeper.mu.Lock()
	defer p.keeper.mu.Unlock()
	broker, p.stranded = p.keeper.brokerOf(p.ledger.customer)
	if len(p.queue) > 0 {
		broker, p.stranded = "", false
	}
	if broker == "" && p.summary != nil {
		p.summary, p.seen = nil, false
	}
	return broker
}

func (p *tokenPool) hasLeft() bool {
	p.keeper.mu.Lock()
	defer p.keeper.mu.Unlock()
	return p.keeper.leaving && p.ledger.reserved == 0
}

// read takes over the account row.
func (p *tokenPool) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := p.now()
	page, err := p.keeper.options.Rows.Range(ctx, p.keeper.options.AccountTable, p.ledger.customer, "")
	p.keeper.mu.Lock()
	defer p.keeper.mu.Unlock()
	p.triedAt = p.now()
	if err != nil {
		p.fail(err)
		return
	}
	p.keeper.setClock(page.Now, sentAt)
	var value []byte
	var version uint64
	for _, row := range page.Rows {
		if row.Key == accountKey {
			value, version = row.Value, row.Version
		}
	}
	p.take(value, version)
	p.answered()
}

// take sets the account as seen now. A row that cannot be read leaves it as it was.
func (p *tokenPool) take(value []byte, version uint64) {
	account, err := decodeAccount(value)
	if err != nil {
		p.keeper.options.Log.Error().Err(err).Str("customer", p.ledger.customer).Msg("Account row unreadable. The share stays as it was.")
		return
	}
	p.account, p.version = account, version
	p.seen, p.seenAt = true, p.now()
	if own, held := account.Shares[p.share().key()]; held {
		p.ledger.amount, p.confirmed = own.Amount, own.Seq
	} else if p.ledger.amount > 0 {
		p.lose()
	}
}

// lose gives up a share that another host has closed.
func (p *tokenPool) lose() {
	p.keeper.options.Log.Warn().Str("customer", p.ledger.customer).Int64("held", p.ledger.amount).Int64("used", p.ledger.used()).Msg("Share was closed by another host.")
	p.ledger.reset()
	p.confirmed, p.unsure = 0, false
}

// answered notes that the table answers for this account.
func (p *tokenPool) answered() {
	if !p.reachable {
		p.keeper.options.Log.Info().Str("customer", p.ledger.customer).Msg("Account answers again.")
	}
	p.reachable = true
	p.keeper.wake()
}

// fail wakes the reservations that wait: they are refused at once while the
// table does not answer.
func (p *tokenPool) fail(err error) {
	if p.reachable {
		p.keeper.options.Log.Warn().Err(err).Str("customer", p.ledger.customer).Int64("held", p.ledger.amount).Int64("used", p.ledger.used()).Msg("Account does not answer.")
	}
	p.reachable = false
	p.keeper.wake()
}

func (p *tokenPool) status() Status {
	now := p.now()
	pos := p.position(p.account)
	s := Status{
		Customer: p.ledger.customer, Prepaid: p.prepaid, Held: p.ledger.amount,
		Spent: p.ledger.spent, Reserved: p.ledger.reserved, Limit: p.ledger.limit(now, p.keeper.reports),
		Settled: pos.settled, Allotted: pos.settled + pos.amount + pos.others.Amount, Brokered: p.summary != nil,
		Demand: int64(p.ledger.meter.recentDemand(now)), Reachable: p.reachable,
		Unknown: p.ledger.pendingAmount != nil || p.keeper.reports.pending != nil,
	}
	if acked := p.keeper.reports.confirmed; acked != nil {
		s.ReportAge = now - acked.sentAt
	}
	return s
}
