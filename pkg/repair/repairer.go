package repair

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/lease"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// Role is the name of the role whose holder runs the Repairer.
const Role = "repair"

const (
	// Interval is the time between two scans of the holder rows.
	Interval = 2 * time.Second
	// scanPageSize is the number of rows read at a time.
	scanPageSize = 500
)

// Report describes one repair.
type Report struct {
	Kind    Kind
	Subject string // incarnation, grant id or table key that the repair concerns
	Text    string // description of the cause and of what was changed
}

// Kind is the kind of a repair.
type Kind string

// Kinds of repairs.
const (
	HolderFenced  Kind = "holder_fenced"  // a holder whose row did not change for the TTL was fenced
	GrantClosed   Kind = "grant_closed"   // a grant of a fenced holder was closed and its remainder written off
	GrantRefunded Kind = "grant_refunded" // unspent written-off tokens were returned to the budget
	GrantKept     Kind = "grant_kept"     // written-off tokens stay charged because it is unknown whether they were spent
	BadRow        Kind = "bad_row"        // a row that cannot be decoded was skipped
)

// Options configure a Repairer.
type Options struct {
	Table    storage.Table
	Lessor   lease.Lessor  // has the lease of Role
	Self     string        // incarnation of this daemon
	TTL      time.Duration // a holder row unchanged for this long is fenced
	Report   func(Report)  // called after each repair is durable
	TxnID    func() string // returns a fresh transaction id
	Evidence Evidence      // if nil, written-off tokens are never returned
}

// Repairer fences holders that stopped renewing and closes their grants. It
// runs on the daemon that holds Role.
type Repairer struct {
	opts              Options
	lastVersions      map[string]rowVersion // last version read of each holder row, by incarnation
	grantsClosed      map[string]bool       // incarnations of fenced holders without open grants
	pendingRecoveries map[string]*recovery  // fenced holders whose written-off tokens may be returned, by incarnation
}

// rowVersion is the last version read of a holder row.
type rowVersion struct {
	version        uint64
	unchangedSince time.Time // when the version was first read, with a monotonic clock reading
}

// New returns a repairer. A daemon must create a new one each time it acquires
// Role.
func New(opts Options) *Repairer {
	return &Repairer{
		opts:              opts,
		lastVersions:      make(map[string]rowVersion),
		grantsClosed:      make(map[string]bool),
		pendingRecoveries: make(map[string]*recovery),
	}
}

// Run calls Pass every Interval until ctx ends.
func (r *Repairer) Run(ctx context.Context) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		_ = r.Pass(ctx, time.Now()) // after an error the next pass tries again
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// Pass scans the holder rows once, fences holders that did not renew their row in
// time, closes their grants and tries pending recoveries. It returns the first
// error; the next pass continues with the remaining work.
func (r *Repairer) Pass(ctx context.Context, now time.Time) error {
	var daemons []lease.HolderRecord
	err := r.scan(ctx, lease.HolderPrefix, func(row storage.Row) error {
		var holder lease.HolderRecord
		if err := json.Unmarshal(row.Value, &holder); err != nil {
			r.reportBadRow(row.Key, err)
			return nil
		}
		daemons = append(daemons, holder)
		return r.processHolder(ctx, now, row, holder)
	})
	if err != nil {
		return err
	}
	r.recoverPending(ctx, now, daemons)
	return nil
}

// processHolder handles one holder row according to its state: it deletes the
// row of an ended holder, closes the grants of a fenced one, or fences a holder
// whose row was unchanged for the TTL.
func (r *Repairer) processHolder(ctx context.Context, now time.Time, row storage.Row, holder lease.HolderRecord) error {
	if holder.Stopped || r.grantsClosed[holder.Incarnation] {
		return r.deleteEndedRow(ctx, now, row, holder.Incarnation)
	}
	if holder.Fenced {
		return r.closeGrants(ctx, holder)
	}
	last, ok := r.lastVersions[holder.Incarnation]
	if !ok || last.version != row.Version {
		r.lastVersions[holder.Incarnation] = rowVersion{version: row.Version, unchangedSince: now}
		return nil
	}
	unchangedFor := now.Sub(last.unchangedSince)
	if unchangedFor < r.opts.TTL {
		return nil
	}
	return r.fenceHolder(ctx, row, holder, unchangedFor)
}

// fenceHolder marks the holder as fenced, which prevents further writes by it,
// and closes its grants.
func (r *Repairer) fenceHolder(ctx context.Context, row storage.Row, holder lease.HolderRecord, unchangedFor time.Duration) error {
	holder.Fenced = true
	done, err := r.commit(ctx, []storage.Condition{{Key: row.Key, Version: row.Version}}, row.Key, holder)
	if err != nil || !done {
		return err
	}
	text := fmt.Sprintf("Holder row did not change for %s. The holder was fenced.", unchangedFor.Round(time.Millisecond))
	r.report(ctx, HolderFenced, holder.Incarnation, text)
	return r.closeGrants(ctx, holder)
}

// closeGrants writes off the open grants of a fenced holder.
func (r *Repairer) closeGrants(ctx context.Context, holder lease.HolderRecord) error {
	open := 0
	err := r.scan(ctx, budget.GrantPrefix(holder.Incarnation), func(row storage.Row) error {
		var grant budget.GrantRecord
		if err := json.Unmarshal(row.Value, &grant); err != nil {
			r.reportBadRow(row.Key, err)
			return nil
		}
		if grant.State == budget.GrantClosed {
			return nil
		}
		open++
		closed, err := r.closeGrant(ctx, row, grant)
		if closed {
			open--
		}
		return err
	})
	if err == nil && open == 0 {
		r.grantsClosed[holder.Incarnation] = true
		if r.opts.Evidence != nil {
			r.pendingRecoveries[holder.Incarnation] = &recovery{holder: holder}
		}
	}
	return err
}

// closeGrant closes one grant and writes off its remainder. It returns false if
// a concurrent write changed one of the rows. A grant whose budget row cannot be
// decoded is skipped: closeGrant reports the row and returns true.
func (r *Repairer) closeGrant(ctx context.Context, row storage.Row, grant budget.GrantRecord) (bool, error) {
	key := budget.BudgetKey(grant.Budget)
	rows, err := r.opts.Table.Get(ctx, key)
	if err != nil {
		return false, fmt.Errorf("read budget %s: %w", grant.Budget, err)
	}
	var record budget.Record
	if err := json.Unmarshal(rows[0].Value, &record); err != nil {
		r.reportBadRow(key, err)
		return true, nil
	}
	record, grant = WriteOff(record, grant)
	txn := storage.Txn{
		ID: r.opts.TxnID(),
		Conditions: []storage.Condition{
			{Key: key, Version: rows[0].Version},
			{Key: row.Key, Version: row.Version},
		},
	}
	if txn.Puts, err = encodePuts(rowWrite{key, record}, rowWrite{row.Key, grant}); err != nil {
		return false, err
	}
	done, err := r.submit(ctx, txn)
	if done {
		text := fmt.Sprintf("Grant of budget %s over %d tokens closed: %d settled, %d written off, since its holder may have spent them without a line.", grant.Budget, grant.Amount, grant.Used, grant.WrittenOff)
		r.report(ctx, GrantClosed, grant.ID, text)
	}
	return done, err
}

// scan calls visit for each row with the prefix.
func (r *Repairer) scan(ctx context.Context, prefix string, visit func(storage.Row) error) error {
	after := ""
	for {
		rows, err := r.opts.Table.Scan(ctx, prefix, after, scanPageSize)
		if err != nil {
			return fmt.Errorf("scan %s: %w", prefix, err)
		}
		for _, row := range rows {
			if err := visit(row); err != nil {
				return err
			}
		}
		if len(rows) < scanPageSize {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}

// commit writes one row if the conditions hold.
func (r *Repairer) commit(ctx context.Context, conditions []storage.Condition, key string, value any) (bool, error) {
	txn := storage.Txn{ID: r.opts.TxnID(), Conditions: conditions}
	var err error
	if txn.Puts, err = encodePuts(rowWrite{key, value}); err != nil {
		return false, err
	}
	return r.submit(ctx, txn)
}

// submit commits a transaction if this daemon still holds the role. After a lost
// reply the outcome is unknown; the next pass reads the rows again.
func (r *Repairer) submit(ctx context.Context, txn storage.Txn) (bool, error) {
	held, ok := r.opts.Lessor.Held(Role)
	if !ok {
		return false, lease.ErrNotHeld
	}
	txn.Conditions = append(txn.Conditions, held.Condition())
	outcome, err := r.opts.Table.Commit(ctx, txn)
	if err != nil {
		return false, fmt.Errorf("commit repair: %w", err)
	}
	return outcome.Committed, nil
}

// rowWrite is a record and the table key to write it to.
type rowWrite struct {
	key    string
	record any
}

// encodePuts encodes the records as JSON.
func encodePuts(writes ...rowWrite) ([]storage.Put, error) {
	all := make([]storage.Put, 0, len(writes))
	for _, w := range writes {
		value, err := json.Marshal(w.record)
		if err != nil {
			return nil, fmt.Errorf("encode %s: %w", w.key, err)
		}
		all = append(all, storage.Put{Key: w.key, Value: value})
	}
	return all, nil
}

// report passes a repair to Options.Report and records it in the table for
// operators.
func (r *Repairer) report(ctx context.Context, kind Kind, subject, text string) {
	now := time.Now()
	r.opts.Report(Report{Kind: kind, Subject: subject, Text: text})
	record := Record{At: now.UnixMilli(), By: r.opts.Self, Kind: kind, Subject: subject, Text: text}
	id := r.opts.TxnID()
	_, _ = r.commit(ctx, nil, RecordKey(now, id), record) // if this fails, the log line and the counter still show the repair
}

func (r *Repairer) reportBadRow(key string, err error) {
	r.opts.Report(Report{Kind: BadRow, Subject: key, Text: "Row cannot be decoded and is skipped: " + err.Error()})
}
