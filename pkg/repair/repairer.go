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

// Role is the name of the role that repairs.
const Role = "repair"

const (
	// Interval is the time between two scans of the holder rows.
	Interval = 2 * time.Second
	// page is the number of rows read at a time.
	page = 500
)

// Report tells of one repair: what was repaired, what was seen and what was done.
type Report struct {
	Kind    Kind
	Subject string
	Text    string
}

// Kind tells what a repair did.
type Kind string

// Kinds of repairs.
const (
	HolderFenced  Kind = "holder_fenced"
	GrantClosed   Kind = "grant_closed"
	GrantRefunded Kind = "grant_refunded"
	GrantKept     Kind = "grant_kept"
	BadRow        Kind = "bad_row"
)

// Options set up a Repairer.
type Options struct {
	Table    storage.Table
	Lessor   lease.Lessor  // holds Role
	Self     string        // incarnation of this daemon
	TTL      time.Duration // a holder row unchanged for this long is fenced
	Report   func(Report)  // called after each repair is durable
	TxnID    func() string // returns a fresh transaction id
	Evidence Evidence      // nil: written-off tokens are never returned
}

// Repairer fences holders that stopped renewing and closes their grants. It
// runs on the daemon that holds Role.
type Repairer struct {
	opts    Options
	seen    map[string]sighting
	closed  map[string]bool      // fenced holders without open grants
	pending map[string]*recovery // fenced holders whose written-off tokens may be returned
}

// sighting is when a holder row was last seen to change.
type sighting struct {
	version uint64
	since   time.Time // monotonic
}

// New returns a repairer for one term of the role.
func New(opts Options) *Repairer {
	return &Repairer{
		opts:    opts,
		seen:    make(map[string]sighting),
		closed:  make(map[string]bool),
		pending: make(map[string]*recovery),
	}
}

// Run repairs until ctx ends.
func (r *Repairer) Run(ctx context.Context) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		_ = r.Pass(ctx, time.Now()) // the table is tried again at the next tick
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// Pass scans the holder rows once and repairs what it finds. It returns the
// error of the table; what was not done is done by a later pass.
func (r *Repairer) Pass(ctx context.Context, now time.Time) error {
	var daemons []lease.HolderRecord
	err := r.scan(ctx, lease.HolderPrefix, func(row storage.Row) error {
		var holder lease.HolderRecord
		if err := json.Unmarshal(row.Value, &holder); err != nil {
			r.badRow(row.Key, err)
			return nil
		}
		daemons = append(daemons, holder)
		return r.inspect(ctx, now, row, holder)
	})
	if err != nil {
		return err
	}
	r.recoverPending(ctx, now, daemons)
	return nil
}

// inspect decides about one holder.
func (r *Repairer) inspect(ctx context.Context, now time.Time, row storage.Row, holder lease.HolderRecord) error {
	if holder.Stopped || r.closed[holder.Incarnation] {
		return r.prune(ctx, now, row, holder.Incarnation)
	}
	if holder.Fenced {
		return r.closeGrants(ctx, holder)
	}
	last, ok := r.seen[holder.Incarnation]
	if !ok || last.version != row.Version {
		r.seen[holder.Incarnation] = sighting{version: row.Version, since: now}
		return nil
	}
	silent := now.Sub(last.since)
	if silent < r.opts.TTL {
		return nil
	}
	return r.fence(ctx, row, holder, silent)
}

// fence forbids the holder further writes.
func (r *Repairer) fence(ctx context.Context, row storage.Row, holder lease.HolderRecord, silent time.Duration) error {
	holder.Fenced = true
	done, err := r.commit(ctx, []storage.Condition{{Key: row.Key, Version: row.Version}}, row.Key, holder)
	if err != nil || !done {
		return err
	}
	text := fmt.Sprintf("Holder row did not change for %s. The holder was fenced.", silent.Round(time.Millisecond))
	r.report(ctx, HolderFenced, holder.Incarnation, text)
	return r.closeGrants(ctx, holder)
}

// closeGrants writes off the open grants of a fenced holder.
func (r *Repairer) closeGrants(ctx context.Context, holder lease.HolderRecord) error {
	open := 0
	err := r.scan(ctx, budget.GrantPrefix(holder.Incarnation), func(row storage.Row) error {
		var grant budget.GrantRecord
		if err := json.Unmarshal(row.Value, &grant); err != nil {
			r.badRow(row.Key, err)
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
		r.closed[holder.Incarnation] = true
		if r.opts.Evidence != nil {
			r.pending[holder.Incarnation] = &recovery{holder: holder}
		}
	}
	return err
}

// closeGrant writes off one grant. It returns false if another write came first.
func (r *Repairer) closeGrant(ctx context.Context, row storage.Row, grant budget.GrantRecord) (bool, error) {
	key := budget.BudgetKey(grant.Budget)
	rows, err := r.opts.Table.Get(ctx, key)
	if err != nil {
		return false, fmt.Errorf("read budget %s: %w", grant.Budget, err)
	}
	var record budget.Record
	if err := json.Unmarshal(rows[0].Value, &record); err != nil {
		r.badRow(key, err)
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
	if txn.Puts, err = puts(write{key, record}, write{row.Key, grant}); err != nil {
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
		rows, err := r.opts.Table.Scan(ctx, prefix, after, page)
		if err != nil {
			return fmt.Errorf("scan %s: %w", prefix, err)
		}
		for _, row := range rows {
			if err := visit(row); err != nil {
				return err
			}
		}
		if len(rows) < page {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}

// commit writes one row under conditions.
func (r *Repairer) commit(ctx context.Context, conditions []storage.Condition, key string, value any) (bool, error) {
	txn := storage.Txn{ID: r.opts.TxnID(), Conditions: conditions}
	var err error
	if txn.Puts, err = puts(write{key, value}); err != nil {
		return false, err
	}
	return r.submit(ctx, txn)
}

// submit commits a transaction if this daemon still holds the role. A lost
// reply leaves the outcome to the next pass, which reads the rows again.
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

// write is a record with the key that it goes to.
type write struct {
	key    string
	record any
}

// puts encodes writes.
func puts(writes ...write) ([]storage.Put, error) {
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

// report records a repair in the table, for operators, and passes it on.
func (r *Repairer) report(ctx context.Context, kind Kind, subject, text string) {
	now := time.Now()
	r.opts.Report(Report{Kind: kind, Subject: subject, Text: text})
	record := Record{At: now.UnixMilli(), By: r.opts.Self, Kind: kind, Subject: subject, Text: text}
	id := r.opts.TxnID()
	_, _ = r.commit(ctx, nil, RecordKey(now, id), record) // the log line and the counter remain
}

func (r *Repairer) badRow(key string, err error) {
	r.opts.Report(Report{Kind: BadRow, Subject: key, Text: "Row cannot be decoded and is skipped: " + err.Error()})
}
