package escrow

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/peppertrail/peppertrail/pkg/pause"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// accountKey is the key of an account row. Its part is the customer.
const accountKey = "account"

// purse is this host's share of one customer's budget, with the goroutine that
// changes it in the table. The keeper's mutex protects its fields.
type purse struct {
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
	summary   *summary        // nil while this host changes the account itself
	seq       int64           // of the last change of this host's share
	confirmed int64           // of the last one that is known to be applied; 0: no share
	unsure    bool            // an earlier change may still be applied
	stranded  bool            // this host changes the account for want of a broker
	cleared   map[string]bool // ended processes of this host that the broker knows of
}

func newPurse(k *Keeper, customer string) *purse {
	return &purse{
		keeper: k, ledger: ledger{customer: customer}, reachable: true,
		wake: make(chan struct{}, 1), left: make(chan struct{}),
	}
}

func (p *purse) kick() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// lapse gives up the present share.
func (p *purse) lapse() {
	key := p.share().key()
	used := p.ledger.lapse()
	p.confirmed, p.unsure = 0, false
	if p.lapsed == nil {
		p.lapsed = make(map[string]int64)
	}
	p.lapsed[key] = used
	p.kick()
}

func (p *purse) now() time.Duration { return p.keeper.options.Clock() }

// share returns the key under which the account has this process's share.
func (p *purse) share() Share {
	o := p.keeper.options
	return Share{Host: o.Host, Incarnation: o.Incarnation, Epoch: p.ledger.epoch}
}

// position collects what is known of the budget if the account is as given.
func (p *purse) position(account Account) position {
	now := p.now()
	pos := position{
		prepaid: p.prepaid, settled: account.Settled, amount: p.ledger.amount, used: p.ledger.used(),
		demand: p.ledger.meter.rate(now), usual: p.ledger.meter.usualRate(), square: p.ledger.meter.usualSquare(), peak: int64(p.ledger.meter.peak), typical: p.ledger.meter.typical,
		need: p.need, hosts: p.keeper.options.Hosts(),
	}
	if p.summary != nil {
		pos.settled, pos.others = p.summary.settled, p.summary.others
	} else {
		pos.others = account.others(p.ledger.customer, p.share().key(), p.keeper.peers)
	}
	pos.others.Lack = pos.others.Lack || p.heardLack()
	return pos
}

func (p *purse) heardLack() bool {
	return p.heardLackAt > 0 && p.now()-p.heardLackAt < heardTerm
}

// usage returns the entry of the next report.
func (p *purse) usage() Usage {
	u := p.position(p.account).usage(p.ledger.epoch)
	if p.vainAt > 0 && p.now()-p.vainAt < lackTerm {
		u.Lacking = p.vainNeed
	}
	return u
}

// needsCeiling reports whether most of what the last report allows is used, or a
// reservation waits for more.
func (p *purse) needsCeiling() bool {
	acked := p.keeper.reports.acked
	if acked == nil {
		return false
	}
	u, named := acked.report.Customers[p.ledger.customer]
	if !named || u.Epoch != p.ledger.epoch || p.ledger.held() <= u.Ceiling {
		return false
	}
	return 3*(p.ledger.used()-u.Spent) > 2*(u.Ceiling-u.Spent) || p.ledger.used()+p.need > u.Ceiling
}

// isSpending reports whether the last report is out of date.
func (p *purse) isSpending() bool {
	acked := p.keeper.reports.acked
	return acked != nil && acked.report.Customers[p.ledger.customer].Spent != p.ledger.used()
}

// reserve takes tokens, or asks the table for them and waits for its decision.
func (p *purse) reserve(ctx context.Context, tokens int64) (*Reservation, error) {
	k := p.keeper
	timer := time.NewTimer(reserveWait)
	defer timer.Stop()
	k.mu.Lock()
	start := p.now()
	for {
		now := p.now()
		if p.ledger.reserve(now, k.reports, tokens) {
			r := &Reservation{purse: p, epoch: p.ledger.epoch, tokens: tokens}
			p.need, p.asks = 0, 0 // others that wait ask again
			p.kickAfterReserve()
			k.mu.Unlock()
			return r, nil
		}
		if wait, ok := p.ceilingWait(ctx, now, start, tokens); ok {
			k.mu.Unlock()
			pause.For(ctx, wait)
			k.mu.Lock()
			continue
		}
		if err := p.refusal(now, start, tokens); err != nil {
			k.mu.Unlock()
			return nil, err
		}
		p.need = max(p.need, tokens)
		decided := k.decided
		p.kick()
		k.reporter.kick()
		k.mu.Unlock()
		select {
		case <-decided:
		case <-timer.C:
			return nil, &UnreachableError{Why: "the table has not answered in time", RetryAfter: afterSlowTable}
		case <-ctx.Done():
			return nil, &UnreachableError{Why: "the request has ended"}
		}
		k.mu.Lock()
	}
}

const (
	// Times after which a refused reservation may succeed.
	afterSlowTable = 300 * time.Millisecond
	afterShare     = time.Second // other hosts have reported and given back by then
)

// maxCeilingWait is the longest time that a reservation waits for its host's
// ceiling to rise while the table does not answer.
const maxCeilingWait = shortTerm

// tableAnswers reports whether waiting for the table may help a request.
func (p *purse) tableAnswers(now time.Duration) bool {
	pending := p.keeper.reports.pending
	overdue := pending != nil && now-pending.sentAt > answerLimit
	return p.reachable && p.keeper.reporter.reachable && !overdue
}

// ceilingWait returns how long to wait for the ceiling if that takes no large
// part of the request's time. The wait ends with the tokens in hand, so that the
// caller need not come back for them.
func (p *purse) ceilingWait(ctx context.Context, now, start time.Duration, tokens int64) (time.Duration, bool) {
	if p.keeper.leaving || p.tableAnswers(now) || ctx.Err() != nil {
		return 0, false
	}
	wait, ok := p.ledger.available(now, p.keeper.reports, tokens)
	if !ok || now-start+wait > maxCeilingWait {
		return 0, false
	}
	if deadline, bounded := ctx.Deadline(); bounded && time.Until(deadline) < 3*wait {
		return 0, false
	}
	return max(wait, availableStep), true
}

// kickAfterReserve asks for more in time.
func (p *purse) kickAfterReserve() {
	if p.needsCeiling() {
		p.keeper.reporter.kick()
	}
	if p.ledger.amount-p.ledger.used() < int64(peaks*p.ledger.meter.peak) && p.now()-p.triedAt > freshView {
		p.kick()
	}
}

// refusal decides whether a reservation that is above the limit can succeed by
// waiting.
func (p *purse) refusal(now, start time.Duration, tokens int64) error {
	pos := p.position(p.account)
	left := pos.prepaid - pos.settled - pos.used - pos.others.Spent
	if p.seen && now-p.seenAt <= freshView && tokens > left {
		return fmt.Errorf("%w: %d of %d tokens are left, %d are asked for", ErrExhausted, max(0, left), pos.prepaid, tokens)
	}
	switch {
	case p.keeper.leaving:
		return &UnreachableError{Why: "the host is leaving", RetryAfter: afterSlowTable}
	case !p.tableAnswers(now):
		if wait, ok := p.ledger.available(now, p.keeper.reports, tokens); ok {
			return &UnreachableError{Why: "the table does not answer, the ceiling will rise", RetryAfter: wait}
		}
		return &UnreachableError{Why: "the table does not answer and the share is used up", RetryAfter: afterShare}
	case p.vainAt >= start && p.vainNeed >= tokens:
		why := fmt.Sprintf("other hosts hold %d of %d unspent tokens, %d are free, this host has %d of %d", pos.others.Amount-pos.others.Spent, pos.unspent(), pos.free(), pos.amount-pos.used, pos.amount)
		return &UnreachableError{Why: why, RetryAfter: afterShare}
	}
	return nil
}

func (p *purse) settle(r *Reservation, spent int64) {
	p.keeper.mu.Lock()
	defer p.keeper.mu.Unlock()
	p.ledger.settle(p.now(), r.epoch, r.tokens, spent)
}

// run changes the share as needed until everything was given back or ctx ends.
func (p *purse) run(ctx context.Context) {
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

func (p *purse) untilReview() time.Duration {
	p.keeper.mu.Lock()
	defer p.keeper.mu.Unlock()
	if p.collided || !p.seen || p.keeper.leaving {
		return minGap / 4
	}
	if p.asks > 0 {
		return max(minGap/4, p.askedAt+askPause-p.now())
	}
	return reviewInterval
}

func (p *purse) untilGap() time.Duration {
	p.keeper.mu.Lock()
	defer p.keeper.mu.Unlock()
	gap := minGap
	if p.summary == nil && p.keeper.options.Hosts() > directHosts {
		gap = changeGap(len(p.keeper.purses))
	}
	if p.stranded {
		gap = rand.N(strandedGap)
	} else if p.collided {
		gap = rand.N(minGap) // hosts that collided do not meet again
	}
	return p.triedAt + gap - p.now()
}

// step reads or changes the account if needed. It returns true once everything
// was given back.
func (p *purse) step(ctx context.Context) (left bool) {
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
func (p *purse) chooseBroker() (broker string) {
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

// change is a new state of the account row.
type change struct {
	account Account
	version uint64 // that the row must have
	share   Share  // of this process; Amount 0: closed
	held    bool   // the account has the share
	served  []*brokered
}

// offer notes that the share may become the given amount.
func (p *purse) offer(amount int64) {
	if p.unsure && p.ledger.offered != nil {
		amount = min(amount, *p.ledger.offered)
	}
	p.ledger.offered = &amount
}

// decide plans the next change of the account, if one is needed, or whether the
// account must be read first.
func (p *purse) decide() (next *change, read bool) {
	p.keeper.mu.Lock()
	defer p.keeper.mu.Unlock()
	if !p.seen {
		return nil, true
	}
	if p.keeper.leaving && p.ledger.reserved > 0 {
		return nil, false
	}
	account := p.account.clone()
	closed := account.closeEnded(p.ledger.customer, p.keeper.ended, p.lapsed)
	served, changed, read := p.serveQueue(&account)
	if read {
		return nil, true
	}
	pos := p.position(account)
	share := p.share()
	amount := pos.nextAmount()
	if p.keeper.leaving {
		amount = 0
	}
	_, held := account.Shares[share.key()]
	if amount == p.ledger.amount && !closed && !changed && !p.unsure && (held || amount == 0) && !(p.keeper.leaving && held) {
		p.answer(served)
		return nil, p.needUnmet(pos)
	}
	p.seq++
	share.Amount, share.Seq = amount, p.seq
	switch {
	case p.keeper.leaving:
		account.close(share.key(), p.ledger.used())
	case held || amount > 0 || p.unsure:
		account.Shares[share.key()] = share
	}
	p.offer(share.Amount)
	return &change{account: account, version: p.version, share: share, held: !p.keeper.leaving, served: served}, false
}

// needUnmet handles a reservation that waits although no change helps. It
// returns true if the account must be read, as another host may have given back.
func (p *purse) needUnmet(pos position) (read bool) {
	if p.need == 0 || pos.amount-pos.used >= p.need {
		p.asks = 0
		return false
	}
	now := p.now()
	if now-p.seenAt > freshView || (p.asks > 0 && now-p.askedAt >= askPause && p.seenAt < p.askedAt+askPause) {
		return true
	}
	if p.mayAskOthers(pos) {
		if p.asks == 0 {
			p.keeper.options.Announce(p.ledger.customer)
		}
		p.asks++
		p.askedAt = now
		return false
	}
	p.asks = 0
	p.vainAt, p.vainNeed, p.need = p.now(), p.need, 0
	p.keeper.wake()
	p.keeper.reporter.kick()
	return false
}

// mayAskOthers reports whether other hosts hold what a request waits for, and
// may still give it back in time.
func (p *purse) mayAskOthers(pos position) bool {
	if p.keeper.options.Announce == nil || p.asks >= maxAsks {
		return false
	}
	return pos.others.Amount-pos.others.Spent-pos.others.Unknown >= p.need
}

// logClosed says what became of the shares of ended processes.
func (p *purse) logClosed(before, after Account) {
	for key, s := range before.Shares {
		process, ended := p.keeper.ended[s.Incarnation]
		if _, open := after.Shares[key]; open || !ended {
			continue
		}
		p.keeper.options.Log.Info().Str("customer", p.ledger.customer).Str("holder", s.Host).Int64("held", s.Amount).
			Int64("reported_spent", process.report.Customers[p.ledger.customer].Spent).
			Int64("counted_as_spent", process.maxSpent(p.ledger.customer, s)).Dur("report_age", process.report.age(process.by)).
			Msg("Share of an ended process is closed.")
	}
}

func (p *purse) hasLeft() bool {
	p.keeper.mu.Lock()
	defer p.keeper.mu.Unlock()
	return p.keeper.leaving && p.ledger.reserved == 0
}

// read takes over the account row.
func (p *purse) read(ctx context.Context) {
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
func (p *purse) take(value []byte, version uint64) {
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
func (p *purse) lose() {
	p.keeper.options.Log.Warn().Str("customer", p.ledger.customer).Int64("held", p.ledger.amount).Int64("used", p.ledger.used()).Msg("Share was closed by another host.")
	p.ledger.lose()
	p.confirmed, p.unsure = 0, false
}

// submit writes a change and resends it until it is decided. It returns true
// once everything was given back.
func (p *purse) submit(ctx context.Context, c change) (left bool) {
	unknown := false
	resend := firstResend
	for ctx.Err() == nil {
		sentAt := p.now()
		outcome, err := p.transact(ctx, c)
		if err == nil {
			return p.decided(outcome, c, sentAt)
		}
		unknown = unknown || !errors.Is(err, storage.ErrNotApplied)
		p.keeper.mu.Lock()
		p.triedAt = p.now()
		p.fail(err)
		if !unknown && !p.unsure {
			p.ledger.offered = nil
		}
		p.refuse(c.served, err)
		c.served = nil
		p.keeper.forgiveBrokers()
		p.keeper.mu.Unlock()
		pause.For(ctx, resend)
		if !unknown {
			return false
		}
		resend = min(2*resend, maxResend)
	}
	return false
}

func (p *purse) transact(ctx context.Context, c change) (storage.RowOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := storage.RowKey{Table: p.keeper.options.AccountTable, Part: p.ledger.customer, Key: accountKey}
	return p.keeper.options.Rows.Transact(ctx, storage.RowTxn{
		Preconditions: []storage.Precondition{{RowKey: key, Version: c.version}},
		Puts:          []storage.PartRow{{RowKey: key, Value: c.account.encode()}},
	})
}

// decided takes over the outcome of a change.
func (p *purse) decided(outcome storage.RowOutcome, c change, sentAt time.Duration) (left bool) {
	p.keeper.mu.Lock()
	defer p.keeper.mu.Unlock()
	p.triedAt = p.now()
	p.keeper.setClock(outcome.Now, sentAt)
	p.collided = !outcome.Applied
	if outcome.Applied {
		p.unsure = false
	}
	if !p.unsure {
		p.ledger.offered = nil
	}
	if outcome.Applied {
		p.logClosed(p.account, c.account)
		p.account, p.version, p.seenAt = c.account, outcome.Version, p.now()
		p.ledger.amount, p.confirmed = c.share.Amount, c.share.Seq
		p.answer(c.served)
	} else {
		p.conflict(outcome.Current, c)
		p.queue = append(c.served, p.queue...)
	}
	p.answered()
	if c.held {
		return false
	}
	_, still := p.account.Shares[c.share.key()]
	return !still
}

// conflict takes over the row that another host, or an earlier submission of
// the change, has written.
func (p *purse) conflict(current []storage.PartRow, c change) {
	var value []byte
	var version uint64
	for _, row := range current {
		if row.Key == accountKey {
			value, version = row.Value, row.Version
		}
	}
	if !c.held {
		p.ledger.amount = 0 // the share may be closed already
		if account, err := decodeAccount(value); err == nil {
			p.ledger.amount = account.Shares[c.share.key()].Amount
		}
	}
	p.take(value, version)
}

// answered notes that the table answers for this account.
func (p *purse) answered() {
	if !p.reachable {
		p.keeper.options.Log.Info().Str("customer", p.ledger.customer).Msg("Account answers again.")
	}
	p.reachable = true
	p.keeper.wake()
}

// fail wakes the reservations that wait: they are refused at once while the
// table does not answer.
func (p *purse) fail(err error) {
	if p.reachable {
		p.keeper.options.Log.Warn().Err(err).Str("customer", p.ledger.customer).Int64("held", p.ledger.amount).Int64("used", p.ledger.used()).Msg("Account does not answer.")
	}
	p.reachable = false
	p.keeper.wake()
}

func (p *purse) status() Status {
	now := p.now()
	pos := p.position(p.account)
	s := Status{
		Customer: p.ledger.customer, Prepaid: p.prepaid, Held: p.ledger.amount,
		Spent: p.ledger.spent, Reserved: p.ledger.reserved, Limit: p.ledger.limit(now, p.keeper.reports),
		Settled: pos.settled, Allotted: pos.settled + pos.amount + pos.others.Amount, Brokered: p.summary != nil,
		Demand: int64(p.ledger.meter.rate(now)), Reachable: p.reachable,
		Unknown: p.ledger.offered != nil || p.keeper.reports.pending != nil,
	}
	if acked := p.keeper.reports.acked; acked != nil {
		s.ReportAge = now - acked.sentAt
	}
	return s
}
