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

// position collects what is known of the budget.
func (p *purse) position() position {
	now := p.now()
	pos := position{
		prepaid: p.prepaid, settled: p.account.Settled, amount: p.ledger.amount, used: p.ledger.used(),
		demand: p.ledger.meter.rate(now), usual: p.ledger.meter.usualRate(), peak: int64(p.ledger.meter.peak), typical: p.ledger.meter.typical,
		need: p.need, hosts: p.keeper.options.Hosts(),
	}
	pos.others.lack = p.heardLackAt > 0 && now-p.heardLackAt < heardTerm
	own := p.share().key()
	for key, s := range p.account.Shares {
		if key == own {
			continue
		}
		pos.others.amount += s.Amount
		report, known := p.keeper.peers[s.Incarnation]
		u, named := report.Customers[p.ledger.customer]
		if !known || !named || u.Epoch != s.Epoch {
			pos.others.unknown += s.Amount
			continue
		}
		pos.others.spent += u.Spent
		pos.others.usual += float64(u.Usual)
		pos.others.peak = max(pos.others.peak, u.Peak)
		pos.others.lack = pos.others.lack || u.Lacking > 0
	}
	return pos
}

// usage returns the entry of the next report.
func (p *purse) usage() Usage {
	u := p.position().usage(p.ledger.epoch)
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

// ceilingWait returns how long to wait for the ceiling if that takes no large
// part of the request's time. The wait ends with the tokens in hand, so that the
// caller need not come back for them.
func (p *purse) ceilingWait(ctx context.Context, now, start time.Duration, tokens int64) (time.Duration, bool) {
	if p.keeper.leaving || (p.reachable && p.keeper.reporter.reachable) || ctx.Err() != nil {
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
	pos := p.position()
	left := pos.prepaid - pos.settled - pos.used - pos.others.spent
	if p.seen && now-p.seenAt <= freshView && tokens > left {
		return fmt.Errorf("%w: %d of %d tokens are left, %d are asked for", ErrExhausted, max(0, left), pos.prepaid, tokens)
	}
	switch {
	case p.keeper.leaving:
		return &UnreachableError{Why: "the host is leaving", RetryAfter: afterSlowTable}
	case !p.reachable || !p.keeper.reporter.reachable:
		if wait, ok := p.ledger.available(now, p.keeper.reports, tokens); ok {
			return &UnreachableError{Why: "the table does not answer, the ceiling will rise", RetryAfter: wait}
		}
		return &UnreachableError{Why: "the table does not answer and the share is used up", RetryAfter: afterShare}
	case p.vainAt >= start && p.vainNeed >= tokens:
		why := fmt.Sprintf("other hosts hold %d of %d unspent tokens, %d are free, this host has %d of %d", pos.others.amount-pos.others.spent, pos.unspent(), pos.free(), pos.amount-pos.used, pos.amount)
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
	if p.collided {
		gap = rand.N(minGap) // hosts that collided do not meet again
	}
	return p.triedAt + gap - p.now()
}

// step reads or changes the account if needed. It returns true once everything
// was given back.
func (p *purse) step(ctx context.Context) (left bool) {
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

// change is a new state of the account row.
type change struct {
	account Account
	version uint64 // that the row must have
	share   Share  // of this process; Amount 0: closed
	held    bool   // the account has the share
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
	account, closed := p.closeEnded()
	pos := p.position()
	pos.settled, pos.others = account.Settled, p.othersWithout(pos.others, account)
	share := p.share()
	amount := pos.nextAmount()
	if p.keeper.leaving {
		amount = 0
	}
	_, held := account.Shares[share.key()]
	if amount == p.ledger.amount && !closed && (held || amount == 0) && !(p.keeper.leaving && held) {
		return nil, p.needUnmet(pos)
	}
	share.Amount = amount
	if p.keeper.leaving {
		account.close(share.key(), p.ledger.used())
	} else {
		account.Shares[share.key()] = share
	}
	p.ledger.offered = &share.Amount
	return &change{account: account, version: p.version, share: share, held: !p.keeper.leaving}, false
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
	return pos.others.amount-pos.others.spent-pos.others.unknown >= p.need
}

// closeEnded returns the account without the shares of processes that have
// ended, and whether there were any.
func (p *purse) closeEnded() (Account, bool) {
	account := p.account.clone()
	closed := false
	for key, s := range p.account.Shares {
		if used, lapsed := p.lapsed[key]; lapsed {
			account.close(key, used)
			closed = true
		} else if process, ended := p.keeper.ended[s.Incarnation]; ended {
			account.close(key, process.maxSpent(p.ledger.customer, s))
			closed = true
		}
	}
	return account, closed
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

// othersWithout corrects what other shares hold by those that are closed.
func (p *purse) othersWithout(o others, account Account) others {
	for key, s := range p.account.Shares {
		if _, open := account.Shares[key]; open {
			continue
		}
		o.amount -= s.Amount
		if u, named := p.keeper.peers[s.Incarnation].Customers[p.ledger.customer]; named && u.Epoch == s.Epoch {
			o.spent -= u.Spent
			o.usual -= float64(u.Usual)
		} else {
			o.unknown -= s.Amount
		}
	}
	return o
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
		p.ledger.amount = own.Amount
	} else if p.ledger.amount > 0 {
		p.keeper.options.Log.Warn().Str("customer", p.ledger.customer).Int64("held", p.ledger.amount).Int64("used", p.ledger.used()).Msg("Share was closed by another host.")
		p.ledger.lose()
	}
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
		if !unknown {
			p.ledger.offered = nil
		}
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
	p.ledger.offered = nil
	p.collided = !outcome.Applied
	if outcome.Applied {
		p.logClosed(p.account, c.account)
		p.account, p.version, p.seenAt = c.account, outcome.Version, p.now()
		p.ledger.amount = c.share.Amount
	} else {
		p.conflict(outcome.Current, c)
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
	s := Status{
		Customer: p.ledger.customer, Prepaid: p.prepaid, Held: p.ledger.amount,
		Spent: p.ledger.spent, Reserved: p.ledger.reserved, Limit: p.ledger.limit(now, p.keeper.reports),
		Settled: p.account.Settled, Allotted: p.account.Allotted(), Shares: len(p.account.Shares),
		Demand: int64(p.ledger.meter.rate(now)), Reachable: p.reachable,
		Unknown: p.ledger.offered != nil || p.keeper.reports.pending != nil,
	}
	if acked := p.keeper.reports.acked; acked != nil {
		s.ReportAge = now - acked.sentAt
	}
	return s
}
