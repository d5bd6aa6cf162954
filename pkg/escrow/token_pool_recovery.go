package escrow

import (
	"context"
	"errors"
	"time"

	"github.com/peppertrail/peppertrail/pkg/pause"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

const (
	// recoveryPoll is the time between two looks whether another host has recovered the account,
	// which usually takes less than recoveryUsualTime, and slowRecoveryPoll the time after it.
	// Then reservations are refused at once.
	recoveryPoll      = 200 * time.Millisecond
	slowRecoveryPoll  = time.Second
	recoveryUsualTime = 1500 * time.Millisecond
	// recoveryReadsPerWrite is the rate at which all hosts together read the accounts that are
	// being recovered, as a fraction of the store's write rate. The store takes 2.5 to 4 times as
	// many reads as writes, and the same return makes all hosts read the other tables again.
	recoveryReadsPerWrite = 0.5
	// recoveryRetryDelay is the time between two attempts while too many hosts are missing.
	recoveryRetryDelay = 500 * time.Millisecond
	// recoveryTurn is the time after which the next host in the order of the broker candidates
	// recovers the account, and maxRecoveryTurns bounds the wait of the hosts after them.
	recoveryTurn     = time.Second
	maxRecoveryTurns = 3
)

// poolRecovery is the recovery of an account after a return of the store.
type poolRecovery struct {
	running  bool
	since    time.Duration // when this host began to wait for it or to do it
	read     bool          // the account was read since then
	readAt   time.Duration // when it was last read, if it was
	reported bool          // a line has said which hosts are missing
}

// enterEra prepares for a new era of the store. It reports whether an account that this host
// knows must be recovered. The caller holds the manager's mutex.
func (p *tokenPool) enterEra() bool {
	p.ledger.enterEra(p.manager.ownReports)
	p.inDoubt = false
	known := p.loaded && p.brokerReply == nil
	if known {
		p.startRecovery()
	}
	if p.brokerReply != nil {
		p.loadedAt = p.now() - maxBrokerReplyAge - 1 // asks the broker at once
	}
	p.trigger()
	return known
}

// startRecovery makes the pool recover the account before it changes it.
func (p *tokenPool) startRecovery() {
	if !p.recovery.running {
		p.recovery = poolRecovery{running: true, since: p.now()}
	}
}

// recoveryDelayed reports whether the recovery takes longer than usual.
func (p *tokenPool) recoveryDelayed(now time.Duration) bool {
	return p.recovery.running && now-p.recovery.since > recoveryUsualTime
}

// recoveryReadInterval returns the minimum time between two reads of an account that is being
// recovered. It grows with the number of hosts that may read accounts and of accounts, so that
// they do not exceed the reads that the store takes.
func (p *tokenPool) recoveryReadInterval() time.Duration {
	m := p.manager
	readers := maxBrokers
	if m.options.RequestShare == nil || m.hostCount() <= maxDirectHosts {
		readers = m.hostCount()
	}
	return max(recoveryPoll, interval(readers*len(m.pools), m.options.writesPerSecond()*recoveryReadsPerWrite))
}

// recoveryReadDelay returns how long to wait before the account that is being recovered is read
// again. Waiting reservations wake the pool more often than that.
func (p *tokenPool) recoveryReadDelay() time.Duration {
	if !p.recovery.running || !p.recovery.read {
		return 0
	}
	return p.recovery.readAt + p.recoveryReadInterval() - p.now()
}

// recovering reports whether the account must be recovered before it is changed.
func (p *tokenPool) recovering() bool {
	p.manager.mu.Lock()
	defer p.manager.mu.Unlock()
	return p.recovery.running
}

// recover recovers the account, or waits for another host to do so.
func (p *tokenPool) recover(ctx context.Context) {
	p.refuseRequests()
	copied, version, ok := p.readCopiedAccount(ctx)
	if !ok || !p.itsTurn() {
		return
	}
	err := p.manager.completeMembership(ctx)
	r := p.collect(ctx, copied, version.Era)
	overdue := p.recoveryOverdue()
	if err == nil && (overdue || r.isComplete()) { // reports of the copy never make a recovery complete
		err = p.readMissingReports(ctx, &r)
	}
	account, lost, ok := p.settleRecovery(r, overdue, err)
	if !ok {
		pause.For(ctx, recoveryRetryDelay)
		return
	}
	p.writeRecovered(ctx, account, lost, version, len(r.replies))
}

// refuseRequests rejects the share requests of other hosts, which keep what they hold.
func (p *tokenPool) refuseRequests() {
	p.manager.mu.Lock()
	defer p.manager.mu.Unlock()
	p.rejectRequests(p.queue, errRecovering)
	p.queue = nil
}

// errRecovering is the reply to share requests while the account is recovered.
var errRecovering = errors.Join(storage.ErrNotApplied, errors.New("the account is recovered after a return of the store"))

// readCopiedAccount reads the account row. It returns false if the account is complete, as
// another host has recovered it, or could not be read.
func (p *tokenPool) readCopiedAccount(ctx context.Context) (copied Account, version storage.Version, ok bool) {
	value, version, err := p.readAccountRow(ctx)
	p.manager.mu.Lock()
	defer p.manager.mu.Unlock()
	p.recovery.read, p.recovery.readAt = true, p.now()
	if err != nil {
		p.markUnreachable(err)
		return copied, version, false
	}
	if copied, err = decodeAccount(value); err != nil {
		p.manager.options.Log.Error().Err(err).Str("customer", p.ledger.customer).Msg("Account row cannot be decoded. Its budget cannot be recovered.")
		return copied, version, false
	}
	if !p.manager.lacksShares(copied, version) {
		p.setAccount(value, version)
		p.markReachable()
		return copied, version, false
	}
	return copied, version, true
}

// itsTurn reports whether this host should recover the account now. The first broker candidate
// does so at once, and others if it does not.
func (p *tokenPool) itsTurn() bool {
	p.manager.mu.Lock()
	defer p.manager.mu.Unlock()
	_, position := p.manager.otherHosts(p.ledger.customer)
	return p.now()-p.recovery.since >= time.Duration(min(position, maxRecoveryTurns))*recoveryTurn
}

// collect asks all hosts what they know of the account.
func (p *tokenPool) collect(ctx context.Context, copied Account, era uint64) accountRecovery {
	m := p.manager
	m.mu.Lock()
	hosts, _ := m.otherHosts(p.ledger.customer)
	m.mu.Unlock()
	var replies []RecallReply
	if m.options.Recall != nil {
		replies = m.recallFrom(ctx, hosts, RecallRequest{Customer: p.ledger.customer, Era: era})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return accountRecovery{
		customer: p.ledger.customer, prepaid: p.prepaid, began: m.estimatedStoreTime() - (m.options.Clock() - m.returns.since), copied: copied, replies: append(replies, m.recall(p.ledger.customer)), hosts: m.membership.seen(),
	}
}

// readMissingReports reads the reports of missing hosts that are in the copy.
func (p *tokenPool) readMissingReports(ctx context.Context, r *accountRecovery) error {
	for _, host := range r.missing() {
		reports, err := p.manager.readStoredReports(ctx, host)
		if err != nil {
			return err
		}
		for _, report := range reports {
			r.reports = append(r.reports, report)
		}
	}
	return nil
}

// recoveryOverdue reports whether the leases of all hosts that are missing are over.
func (p *tokenPool) recoveryOverdue() bool {
	p.manager.mu.Lock()
	defer p.manager.mu.Unlock()
	return p.now()-p.recovery.since >= maxRecoveryTime
}

// settleRecovery returns the recovered account. It returns false while too many hosts are
// missing, or err says that their reports could not be read, until the recovery is overdue; then
// what they may have spent is lost.
func (p *tokenPool) settleRecovery(r accountRecovery, overdue bool, err error) (account Account, lost int64, ok bool) {
	if err == nil && r.isComplete() {
		return r.account(), 0, true
	}
	p.manager.mu.Lock()
	defer p.manager.mu.Unlock()
	if !p.recovery.reported {
		p.recovery.reported = true
		p.manager.options.Log.Warn().Err(err).Str("customer", p.ledger.customer).Strs("missing", r.missing()).
			Msg("Account cannot be recovered yet: these hosts may have got tokens that the store does not know of. It is tried again until their leases are over.")
	}
	if !overdue {
		return Account{}, 0, false
	}
	account, lost = r.exhausted()
	return account, lost, true
}

// writeRecovered writes the recovered account. If the row has changed meanwhile, it is
// recovered again.
func (p *tokenPool) writeRecovered(ctx context.Context, account Account, lost int64, version storage.Version, answered int) {
	account.Era, account.Base = version.Era, version.Number
	sentAt := p.now()
	outcome, err := p.transact(ctx, accountChange{account: account, expectedVersion: version})
	p.manager.mu.Lock()
	defer p.manager.mu.Unlock()
	p.lastCallAt = p.now()
	if err != nil {
		p.markUnreachable(err)
		return
	}
	p.manager.recordStoreTime(outcome.Now, sentAt, outcome.Era)
	if !outcome.Applied {
		return
	}
	p.manager.options.Log.Warn().Str("customer", p.ledger.customer).Uint64("era", account.Era).Int("hosts", answered).Int("shares", len(account.Shares)).
		Int64("settled", account.Settled).Int64("allotted", account.Allotted()).Int64("prepaid", p.prepaid).Int64("counted_as_spent", lost).Dur("after", p.now()-p.recovery.since).
		Msg("Account was recovered and grants again.")
	if count := p.manager.options.CountWrittenOff; count != nil {
		count(WriteOffReturn, lost)
	}
	p.setAccount(account.encode(), outcome.Version)
	p.markReachable()
}
