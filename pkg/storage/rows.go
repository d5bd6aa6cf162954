package storage

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// ErrHistoryGone means that a feed no longer has the changes since the asked
// version. The reader scans the table again.
var ErrHistoryGone = errors.New("history no longer available")

// ErrNotApplied means that the store refused a call and has not performed it.
var ErrNotApplied = errors.New("call not performed")

// ErrThrottled is an ErrNotApplied for the number of calls.
var ErrThrottled = fmt.Errorf("too many calls: %w", ErrNotApplied)

// RowKey names a row. Rows of one part can change in one transaction.
type RowKey struct {
	Table string
	Part  string
	Key   string
}

// PartRow is a row of a partitioned table. Version 0 means absent.
type PartRow struct {
	RowKey
	Value   []byte
	Version uint64
	Deleted bool
}

// Precondition requires that a row has exactly this version; 0 requires that it is absent.
type Precondition struct {
	RowKey
	Version uint64
}

// RowTxn is an atomic change. All entries share one part.
type RowTxn struct {
	Preconditions []Precondition
	Puts          []PartRow
	Removes       []RowKey
}

// RowOutcome is the decision on a RowTxn.
type RowOutcome struct {
	Applied bool
	Version uint64        // newest version of the store
	Now     time.Duration // the store's steady clock
	Current []PartRow     // rows named in the preconditions, if not applied
}

// RowPage is a part of a table at one moment, or the changes of a feed.
type RowPage struct {
	Rows    []PartRow
	More    bool
	Version uint64        // newest version of the store
	Now     time.Duration // the store's steady clock
}

// Rows is a partitioned transactional table service with change feeds.
type Rows interface {
	// Transact applies txn if its preconditions hold. ErrNotApplied (wrapped)
	// means that nothing was done; ErrUnavailable (wrapped) that the outcome is
	// unknown and that txn may still be applied later.
	Transact(ctx context.Context, txn RowTxn) (RowOutcome, error)
	// Range returns rows of one part with a key of at least from, in key order.
	Range(ctx context.Context, table, part, from string) (RowPage, error)
	// Parts lists the parts of a table.
	Parts(ctx context.Context, table string) ([]string, error)
	// Feed returns the changes of a table after since, waiting up to wait for
	// the first. It returns ErrHistoryGone (wrapped) if they are not kept.
	Feed(ctx context.Context, table string, since uint64, wait time.Duration) (RowPage, error)
}
