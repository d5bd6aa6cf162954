package escrow

import (
	"context"
	"errors"
	"time"

	"github.com/peppertrail/peppertrail/pkg/pause"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// reportPlaces are the suffixes of the parts to which a host's reports go. The
// others serve while the store's partition of the first is down.
var reportPlaces = []string{"/0", "/1", "/2"}

// reporter writes the usage reports of a process, one after the other.
type reporter struct {
	keeper    *Keeper
	wake      chan struct{}
	place     int      // index in reportPlaces
	versions  []uint64 // of the row in each place
	number    int64
	sentAt    time.Duration
	failures  int  // in a row
	reachable bool // a place has answered lately
}

func newReporter(k *Keeper) *reporter {
	return &reporter{keeper: k, wake: make(chan struct{}, 1), versions: make([]uint64, len(reportPlaces)), reachable: true}
}

func (r *reporter) kick() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *reporter) run(ctx context.Context) {
	r.learnClock(ctx)
	for ctx.Err() == nil {
		if r.due() {
			r.send(ctx)
		}
		timer := time.NewTimer(r.untilDue())
		select {
		case <-r.wake:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		pause.For(ctx, r.sentAt+reportGap(r.keeper.options.Hosts())-r.keeper.options.Clock())
	}
}

// learnClock waits for an answer of the store, since a report without a time on
// its clock would look as old as the store to other hosts.
func (r *reporter) learnClock(ctx context.Context) {
	for ctx.Err() == nil {
		_, err := r.keeper.newestVersion(ctx)
		if err == nil {
			return
		}
		r.failed(err)
		pause.For(ctx, firstResendDelay)
	}
}

// due reports whether a report is needed now.
func (r *reporter) due() bool {
	k := r.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	since := k.options.Clock() - r.sentAt
	if k.reports.confirmed == nil || since >= idleReportInterval {
		return true
	}
	for _, p := range k.pools {
		if p.needsCeiling() || (p.isSpending() && since >= reportInterval) {
			return true
		}
	}
	return false
}

func (r *reporter) untilDue() time.Duration {
	if wait := r.sentAt + reportInterval - r.keeper.options.Clock(); wait > 0 {
		return wait
	}
	return reportInterval / 2 // nothing was spent since the last report
}

// send writes the next report and resends it, to any place, until the table
// has taken it. Its content stays the same, as the earlier submissions may be
// applied at any time.
func (r *reporter) send(ctx context.Context) {
	report := r.prepare()
	value := report.encode()
	resend := firstResendDelay
	for ctx.Err() == nil {
		taken, err := r.submit(ctx, value)
		if taken {
			r.confirm(report)
			return
		}
		if err == nil {
			continue // an earlier report had changed the row
		}
		r.failed(err)
		r.place = (r.place + 1) % len(reportPlaces)
		if r.failures < len(reportPlaces) {
			continue // the other place may be up
		}
		pause.For(ctx, resend)
		resend = min(2*resend, maxResendDelay)
	}
}

// prepare builds the next report, which bounds the process from now on.
func (r *reporter) prepare() UsageReport {
	k := r.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	r.number++
	r.sentAt = k.options.Clock()
	report := UsageReport{
		Host: k.options.Host, Incarnation: k.options.Incarnation, Addr: k.options.Addr, Number: r.number,
		StoreTimeMs: k.estimate().Milliseconds(), Customers: make(map[string]Usage, len(k.pools)),
	}
	for customer, p := range k.pools {
		if p.seen && p.ledger.amount > 0 {
			report.Customers[customer] = p.usage()
		}
	}
	k.reports.pending = &sentReport{report: report, sentAt: r.sentAt}
	return report
}

// submit writes the report to the current place. It returns neither if the row
// had another version than expected.
func (r *reporter) submit(ctx context.Context, value []byte) (taken bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := r.key(r.place)
	sentAt := r.keeper.options.Clock()
	outcome, err := r.keeper.options.Rows.Transact(ctx, storage.RowTxn{
		Preconditions: []storage.Precondition{{RowKey: key, Version: r.versions[r.place]}},
		Puts:          []storage.PartRow{{RowKey: key, Value: value}},
	})
	if err != nil {
		return false, err
	}
	r.keeper.mu.Lock()
	r.keeper.setClock(outcome.Now, sentAt)
	r.keeper.mu.Unlock()
	if outcome.Applied {
		r.versions[r.place] = outcome.Version
		return true, nil
	}
	r.versions[r.place] = 0
	for _, row := range outcome.Current {
		if row.RowKey == key {
			r.versions[r.place] = row.Version
			// Only this process writes the row, so that an equal value is this report.
			taken = string(row.Value) == string(value)
		}
	}
	return taken, nil
}

func (r *reporter) key(place int) storage.RowKey {
	o := r.keeper.options
	return storage.RowKey{Table: o.UsageTable, Part: o.Host + reportPlaces[place], Key: o.Incarnation}
}

func (r *reporter) confirm(report UsageReport) {
	k := r.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	if !r.reachable {
		k.options.Log.Info().Int64("report", report.Number).Msg("Usage reported again.")
	}
	r.reachable, r.failures = true, 0
	if last := k.reports.confirmed; last != nil && k.options.Clock()-last.sentAt > leaseDuration {
		k.options.Log.Warn().Dur("silent", k.options.Clock()-last.sentAt).Msg("Lease had ended. Shares start anew.")
		for _, p := range k.pools {
			p.lapse()
		}
	}
	k.reports.confirmed, k.reports.pending = k.reports.pending, nil
	k.wake()
}

func (r *reporter) failed(err error) {
	k := r.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	r.failures++
	if r.failures < len(reportPlaces) {
		return
	}
	if r.reachable {
		k.options.Log.Warn().Err(err).Bool("not_applied", errors.Is(err, storage.ErrNotApplied)).Msg("Usage not reported.")
	}
	r.reachable = false
	k.wake()
}
