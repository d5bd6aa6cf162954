package escrow

import (
	"context"
	"errors"
	"time"

	"github.com/peppertrail/peppertrail/pkg/pause"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// reportPartSuffixes are the suffixes of the parts to which a host writes its
// usage reports. The second and third part are used while the store's
// partition of the first is down.
var reportPartSuffixes = []string{"/0", "/1", "/2"}

// reporter writes the usage reports of a process, one at a time.
type reporter struct {
	manager     *Manager
	wake        chan struct{}     // wakes run to check whether a report is due
	partIndex   int               // index in reportPartSuffixes of the part in use
	rowVersions []storage.Version // version of the report row in each part
	lastNumber  int64             // number of the last report
	sentAt      time.Duration     // when the last report was first sent
	failures    int               // number of consecutive failures
	reachable   bool              // false once the last submissions, at least one per part, have all failed
	late        bool              // the response to the last submission that has failed was late
}

func newReporter(m *Manager) *reporter {
	return &reporter{manager: m, wake: make(chan struct{}, 1), rowVersions: make([]storage.Version, len(reportPartSuffixes)), reachable: true}
}

// trigger wakes run to check whether a report is due.
func (r *reporter) trigger() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *reporter) run(ctx context.Context) {
	r.awaitStoreTime(ctx)
	for ctx.Err() == nil {
		if r.due() {
			r.send(ctx)
		}
		timer := time.NewTimer(r.nextCheckDelay())
		select {
		case <-r.wake:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		pause.For(ctx, r.sentAt+r.manager.options.minReportInterval()-r.manager.options.Clock())
	}
}

// awaitStoreTime waits until the store's clock is known: other hosts would
// take a report without a store time for a very old one.
func (r *reporter) awaitStoreTime(ctx context.Context) {
	for ctx.Err() == nil {
		_, err := r.manager.currentFeedVersion(ctx)
		if err == nil {
			return
		}
		r.recordFailure(err)
		pause.For(ctx, firstResendDelay)
	}
}

// due reports whether a usage report is needed now.
func (r *reporter) due() bool {
	m := r.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	sinceLast := m.options.Clock() - r.sentAt
	if m.ownReports.confirmed == nil || sinceLast >= idleReportInterval {
		return true
	}
	for _, p := range m.pools {
		if p.needsHigherCeiling() || p.awaitsListing() || (p.usageChanged() && sinceLast >= reportInterval) {
			return true
		}
	}
	return false
}

func (r *reporter) nextCheckDelay() time.Duration {
	if wait := r.sentAt + reportInterval - r.manager.options.Clock(); wait > 0 {
		return wait
	}
	return reportInterval / 2 // nothing was spent since the last report
}

// send writes the next report and resends it, to any part, until the table has
// stored it. The content stays the same, since the earlier submissions may be
// applied at any time.
func (r *reporter) send(ctx context.Context) {
	report := r.prepare()
	value := report.encode()
	resendDelay := firstResendDelay
	witnessed := make(chan struct{})
	go func() {
		defer close(witnessed)
		r.manager.witness(ctx, report)
	}()
	for ctx.Err() == nil {
		stored, err := r.submit(ctx, value)
		if stored {
			if r.awaitWitnesses(ctx, witnessed) {
				r.confirm(report)
			}
			return
		}
		if err == nil {
			continue // the row had another version; retry with the current one
		}
		r.recordFailure(err)
		r.partIndex = (r.partIndex + 1) % len(reportPartSuffixes)
		if r.failures < len(reportPartSuffixes) {
			continue // another part may be up
		}
		pause.For(ctx, resendDelay)
		resendDelay = min(2*resendDelay, maxResendDelay)
	}
}

// awaitWitnesses waits until enough other hosts know a report that is stored. It returns false
// if ctx ends first.
func (r *reporter) awaitWitnesses(ctx context.Context, witnessed <-chan struct{}) bool {
	for {
		select {
		case <-witnessed:
			return ctx.Err() == nil
		case <-time.After(callTimeout):
			r.recordFailure(errNoWitness)
		}
	}
}

// prepare builds the next report, which limits what the process may spend from
// now on.
func (r *reporter) prepare() UsageReport {
	m := r.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	r.lastNumber++
	r.sentAt = m.options.Clock()
	report := UsageReport{
		Host: m.options.Host, Incarnation: m.options.Incarnation, Addr: m.options.Addr, Number: r.lastNumber,
		StoreTimeMs: m.estimatedStoreTime().Milliseconds(), Customers: make(map[string]Usage, len(m.pools)), Complete: true, Era: m.returns.era,
	}
	for customer, p := range m.pools {
		// A share can be spent from only once a stored report lists its epoch, so
		// customers of which a share may be needed are listed too.
		if p.mustBeListed() {
			report.Customers[customer] = p.usage()
		}
		// A share of an earlier epoch may still be open.
		report.Complete = report.Complete && p.ledger.epoch == 0
	}
	m.ownReports.pending = &sentReport{report: report, sentAt: r.sentAt}
	return report
}

// submit writes the report to the part in use. It returns false and no error
// if the row had another version than expected.
func (r *reporter) submit(ctx context.Context, value []byte) (stored bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := r.key(r.partIndex)
	sentAt := r.manager.options.Clock()
	outcome, err := r.manager.options.Rows.Transact(ctx, storage.RowTxn{
		Preconditions: []storage.Precondition{{RowKey: key, Version: r.rowVersions[r.partIndex]}},
		Puts:          []storage.PartRow{{RowKey: key, Value: value}},
	})
	if err != nil {
		return false, err
	}
	r.manager.mu.Lock()
	r.manager.recordStoreTime(outcome.Now, sentAt, outcome.Era)
	r.manager.mu.Unlock()
	if outcome.Applied {
		r.rowVersions[r.partIndex] = outcome.Version
		return true, nil
	}
	r.rowVersions[r.partIndex] = storage.Version{Era: outcome.Era}
	for _, row := range outcome.Current {
		if row.RowKey == key {
			r.noteCopied(row)
			r.rowVersions[r.partIndex] = row.Version
			// Only this process writes the row, so an equal value is this
			// report.
			stored = string(row.Value) == string(value)
		}
	}
	return stored, nil
}

// noteCopied records that the store has a report of this process that was written in an
// earlier era.
func (r *reporter) noteCopied(row storage.PartRow) {
	report, err := decodeUsage(row.Value)
	if err != nil {
		r.manager.options.Log.Error().Err(err).Msg("Usage report of this process cannot be decoded. It is replaced.")
		return
	}
	r.manager.mu.Lock()
	defer r.manager.mu.Unlock()
	r.manager.noteCopiedReport(report)
}

func (r *reporter) key(partIndex int) storage.RowKey {
	o := r.manager.options
	return storage.RowKey{Table: o.UsageTable, Part: o.Host + reportPartSuffixes[partIndex], Key: o.Incarnation}
}

// confirm records that the table has stored the pending report. If the report
// before it is already older than the lease, other hosts may have closed the
// shares of this process, so it gives them up.
func (r *reporter) confirm(report UsageReport) {
	m := r.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	if !r.reachable {
		m.options.Log.Info().Int64("report", report.Number).Msg("Usage reports are stored again.")
	}
	r.reachable, r.late, r.failures = true, false, 0
	if last := m.ownReports.confirmed; last != nil && m.options.Clock()-last.sentAt > leaseDuration {
		m.options.Log.Warn().Dur("silent", m.options.Clock()-last.sentAt).Msg("Lease expired before the usage report was stored. Giving up all shares.")
		for _, p := range m.pools {
			p.expireLease()
		}
	}
	for _, p := range m.pools {
		if m.ownReports.confirmed == nil || p.wantsListing {
			p.trigger() // shares may be taken from now on
		}
	}
	m.ownReports.confirmed, m.ownReports.pending = m.ownReports.pending, nil
	m.notifyWaiters()
}

func (r *reporter) recordFailure(err error) {
	m := r.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	r.failures++
	r.late = isLate(err, r.late)
	if r.failures < len(reportPartSuffixes) {
		return
	}
	if r.reachable {
		m.options.Log.Warn().Err(err).Bool("not_applied", errors.Is(err, storage.ErrNotApplied)).Msg("Usage report could not be stored. Retrying.")
	}
	r.reachable = false
	m.notifyWaiters()
}
