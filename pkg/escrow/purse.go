package escrow

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// accountKey is the key of an account row. Its part is the customer.
const accountKey = "account"

// purse is this host's part of one customer's budget, with the goroutine that
// reports it to the table.
type purse struct {
	options  Options
	customer string
	wake     chan struct{}
	left     chan struct{} // closed when everything was given back

	mu      sync.Mutex
	ledger  ledger
	prepaid int64
	need    int64         // largest reservation that waits
	decided chan struct{} // closed when a report was decided, then replaced
	leaving bool

	account   Account // as last seen
	version   uint64  // of the row; 0: absent
	seen      bool
	seenAt    time.Duration
	storeNow  time.Duration // at clockAt
	clockAt   time.Duration
	reports   int64
	applied   int           // reports that the table has taken
	reportAt  time.Duration // of the last one sent
	reported  int64         // ledger.used() in it
	undecided bool          // the last report is not in the table
	reachable bool
}

func newPurse(o Options, customer string) *purse {
	return &purse{
		options: o, customer: customer,
		wake: make(chan struct{}, 1), left: make(chan struct{}), decided: make(chan struct{}),
		reachable: true,
	}
}

func (p *purse) setPrepaid(total int64) {
	p.mu.Lock()
	changed := p.prepaid != total
	p.prepaid = total
	p.mu.Unlock()
	if changed {
		p.kick()
	}
}

func (p *purse) kick() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *purse) loaded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.seen
}

func (p *purse) startLeaving() {
	p.mu.Lock()
	p.leaving = true
	p.mu.Unlock()
	p.kick()
}

// reserve takes tokens, or asks the table for them and waits for its decision.
func (p *purse) reserve(ctx context.Context, tokens int64) (*Reservation, error) {
	timer := time.NewTimer(reserveWait)
	defer timer.Stop()
	first := true
	enough := 0 // number of applied reports after which waiting is of no use
	for {
		p.mu.Lock()
		now := p.options.Clock()
		if p.ledger.reserve(now, tokens) {
			r := &Reservation{purse: p, epoch: p.ledger.epoch, tokens: tokens}
			early := p.isNearCeiling()
			p.mu.Unlock()
			if early {
				p.kick()
			}
			return r, nil
		}
		if first {
			first, enough = false, p.applied+waitReports
		}
		if err := p.refusal(now, tokens, p.applied >= enough); err != nil {
			p.mu.Unlock()
			return nil, err
		}
		p.need = max(p.need, tokens)
		decided := p.decided
		p.mu.Unlock()
		p.kick()
		select {
		case <-decided:
		case <-timer.C:
			return nil, &UnreachableError{Why: "the table has not answered in time", RetryAfter: afterSlowTable}
		case <-ctx.Done():
			return nil, &UnreachableError{Why: "the request has ended"}
		}
	}
}

const (
	// waitReports is how many reports a reservation waits for: one that may have
	// been under way, and one that names what it needs.
	waitReports = 2
	// Times after which a refused reservation may succeed.
	afterSlowTable = 300 * time.Millisecond
	afterShare     = time.Second // other hosts have reported and given back by then
)

// isNearCeiling reports whether two thirds of the ceiling's slice are used.
func (p *purse) isNearCeiling() bool {
	acked := p.ledger.acked.holding
	return 3*(p.ledger.used()-acked.Spent) > 2*(acked.Ceiling-acked.Spent)
}

// refusal decides whether a reservation that is above the limit can succeed by
// waiting. asked says that a report has asked for it in vain.
func (p *purse) refusal(now time.Duration, tokens int64, asked bool) error {
	unspent := p.prepaid - p.account.Spent()
	if asked && now-p.seenAt < freshView && tokens > unspent {
		return fmt.Errorf("%w: %d of %d tokens are left, %d are asked for", ErrExhausted, max(0, unspent), p.prepaid, tokens)
	}
	if p.leaving {
		return &UnreachableError{Why: "the host is leaving", RetryAfter: afterSlowTable}
	}
	if !p.reachable {
		if wait, ok := p.ledger.available(now, tokens); ok {
			return &UnreachableError{Why: "the table does not answer, the ceiling will rise", RetryAfter: wait}
		}
		return &UnreachableError{Why: "the table does not answer and the holding is used up", RetryAfter: afterShare}
	}
	if asked {
		return &UnreachableError{Why: "other hosts hold the rest", RetryAfter: afterShare}
	}
	return nil
}

func (p *purse) settle(r *Reservation, spent int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ledger.settle(p.options.Clock(), r.epoch, r.tokens, spent)
}

// run reports to the table until everything was given back or ctx ends.
func (p *purse) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !p.seen {
			if err := p.read(ctx); err != nil {
				p.fail(err)
				pause(ctx, firstResend)
				continue
			}
		}
		if p.due() {
			if done := p.report(ctx); done {
				close(p.left)
				return
			}
		}
		timer := time.NewTimer(p.untilDue())
		select {
		case <-p.wake:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		pause(ctx, p.untilGap())
	}
}

// due reports whether a report is needed now.
func (p *purse) due() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leaving {
		return p.ledger.reserved == 0
	}
	now := p.options.Clock()
	used := p.ledger.used()
	switch {
	case p.prepaid == 0:
		return false
	case p.need > 0 || p.undecided || p.ledger.acked.sentAt == 0:
		return true
	case p.isNearCeiling():
		return true
	case used != p.reported && now-p.reportAt >= reportInterval:
		return true
	}
	return now-p.reportAt >= idleInterval
}

func (p *purse) untilDue() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	interval := idleInterval
	if p.ledger.used() != p.reported || p.ledger.reserved > 0 {
		interval = reportInterval
	}
	if p.leaving || p.undecided {
		interval = minGap
	}
	return max(minGap/4, p.reportAt+interval-p.options.Clock())
}

func (p *purse) untilGap() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	gap := minGap
	if p.undecided {
		gap = rand.N(minGap) // hosts that collided do not meet again
	}
	return p.reportAt + gap - p.options.Clock()
}

// read takes over the account row.
func (p *purse) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	page, err := p.options.Rows.Range(ctx, p.options.Table, p.customer, "")
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setClock(page.Now)
	for _, row := range page.Rows {
		if row.Key == accountKey {
			return p.take(row.Value, row.Version)
		}
	}
	return p.take(nil, 0)
}

// take sets the account as seen now.
func (p *purse) take(value []byte, version uint64) error {
	account, err := decodeAccount(value)
	if err != nil {
		return fmt.Errorf("customer %s: %w", p.customer, err)
	}
	p.account, p.version = account, version
	p.seen, p.seenAt = true, p.options.Clock()
	return nil
}

func (p *purse) setClock(storeNow time.Duration) {
	p.storeNow, p.clockAt = storeNow, p.options.Clock()
}

// report writes the next report and resends it until it is decided. It returns
// true once everything was given back.
func (p *purse) report(ctx context.Context) (left bool) {
	next, holding, version := p.prepare()
	resend := firstResend
	for ctx.Err() == nil {
		outcome, err := p.transact(ctx, next, version)
		if err == nil {
			return p.decide(outcome, next, holding)
		}
		if p.refused(err) {
			pause(ctx, resend)
			return false
		}
		pause(ctx, resend)
		resend = min(2*resend, maxResend)
	}
	return false
}

// prepare plans the next report and restricts the ledger to it.
func (p *purse) prepare() (next Account, holding Holding, version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock()
	p.reports++
	next = plan(p.account, position{
		host:        p.options.Host,
		incarnation: p.incarnation(),
		report:      p.reports,
		amount:      p.ledger.amount,
		used:        p.ledger.used(),
		demand:      p.ledger.meter.rate(now),
		usual:       p.ledger.meter.usual,
		peak:        int64(p.ledger.meter.peak),
		need:        p.need,
		prepaid:     p.prepaid,
		hosts:       p.options.Hosts(),
		storeNow:    p.storeNow + now - p.clockAt,
		leaving:     p.leaving,
	})
	holding = next.Holdings[p.options.Host]
	p.ledger.pending = &sentReport{holding: holding, sentAt: now}
	p.reportAt, p.reported, p.need, p.undecided = now, p.ledger.used(), 0, true
	return next, holding, p.version
}

// incarnation names this process and the epoch of its ledger.
func (p *purse) incarnation() string {
	return p.options.Incarnation + "." + strconv.Itoa(p.ledger.epoch)
}

func (p *purse) transact(ctx context.Context, next Account, version uint64) (storage.RowOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := storage.RowKey{Table: p.options.Table, Part: p.customer, Key: accountKey}
	return p.options.Rows.Transact(ctx, storage.RowTxn{
		Preconditions: []storage.Precondition{{RowKey: key, Version: version}},
		Puts:          []storage.PartRow{{RowKey: key, Value: next.encode()}},
	})
}

// refused handles a failed call and reports whether the report is certainly not
// in the table. Once an outcome was unknown it stays so until the row is seen.
func (p *purse) refused(err error) bool {
	p.fail(err)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !errors.Is(err, storage.ErrNotApplied) {
		p.ledger.pending.unknown = true
	}
	if p.ledger.pending.unknown {
		return false
	}
	p.ledger.pending = nil
	return true
}

// fail wakes the reservations that wait: they are refused at once while the
// table does not answer.
func (p *purse) fail(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reachable {
		p.options.Log.Warn().Err(err).Str("customer", p.customer).Int64("held", p.ledger.amount).Int64("used", p.ledger.used()).Msg("Account not reported.")
	}
	p.reachable = false
	p.wakeWaiters()
}

func (p *purse) wakeWaiters() {
	close(p.decided)
	p.decided = make(chan struct{})
}

// decide takes over the outcome of a report.
func (p *purse) decide(outcome storage.RowOutcome, next Account, holding Holding) (left bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.wakeWaiters()
	if !p.reachable {
		p.options.Log.Info().Str("customer", p.customer).Msg("Account reported again.")
	}
	p.reachable = true
	p.setClock(outcome.Now)
	if outcome.Applied {
		before := p.account
		p.account, p.version = next, outcome.Version
		p.seenAt = p.options.Clock()
		p.applied++
		p.undecided = false
		p.logClosed(before, next)
		p.ledger.confirm(*p.ledger.pending)
		return p.leaving && holding.Incarnation == ""
	}
	return p.conflict(outcome.Current, holding)
}

// logClosed says what became of the holdings of processes that have ended.
func (p *purse) logClosed(before, after Account) {
	counted := after.Settled - before.Settled
	for host, h := range before.Holdings {
		if now, held := after.Holdings[host]; held && now.Incarnation == h.Incarnation || p.leaving {
			continue
		}
		p.options.Log.Info().Str("customer", p.customer).Str("holder", host).Int64("held", h.Amount).Int64("reported_spent", h.Spent).
			Int64("ceiling", h.Ceiling).Int64("counted_as_spent", counted).Dur("report_age", h.age(p.storeNow)).Msg("Holding of an ended process closed.")
	}
}

// conflict takes over the row that another host has written. An earlier
// submission of the report may be in it.
func (p *purse) conflict(current []storage.PartRow, holding Holding) (left bool) {
	var value []byte
	var version uint64
	for _, row := range current {
		if row.Key == accountKey {
			value, version = row.Value, row.Version
		}
	}
	if err := p.take(value, version); err != nil {
		p.options.Log.Error().Err(err).Msg("Account row unreadable. Holding stays as it was.")
		p.ledger.pending = nil
		return false
	}
	own, held := p.account.Holdings[p.options.Host]
	mine := held && own.Incarnation == p.incarnation()
	switch {
	case mine && own.Report == holding.Report:
		p.applied++
		p.undecided = false
		p.ledger.confirm(*p.ledger.pending)
	case mine:
		p.ledger.pending = nil
	case holding.Incarnation == "" && !held:
		return true // the account was given back by the submission before
	case p.ledger.acked.holding.Incarnation != "":
		p.options.Log.Warn().Str("customer", p.customer).Int64("held", p.ledger.amount).Int64("used", p.ledger.used()).Msg("Holding was taken back by another host.")
		p.ledger.lose()
	default:
		p.ledger.pending = nil
	}
	p.kick()
	return false
}

func (p *purse) status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock()
	return Status{
		Customer: p.customer, Prepaid: p.prepaid, Held: p.ledger.amount,
		Spent: p.ledger.spent, Reserved: p.ledger.reserved, Limit: p.ledger.limit(now),
		Allotted: p.account.Allotted(), Demand: int64(p.ledger.meter.rate(now)),
		Holders: len(p.account.Holdings), ReportAge: now - p.ledger.acked.sentAt,
		Unknown: p.ledger.pending != nil,
	}
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
