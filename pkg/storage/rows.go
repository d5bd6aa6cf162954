package storage

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// ErrHistoryGone means that a feed no longer has the changes since the requested
// version. The reader must scan the table again.
var ErrHistoryGone = errors.New("history no longer available")

// ErrInvalidEra means that an answer of the store names its era in a form that cannot be read.
// It wraps ErrUnavailable.
var ErrInvalidEra = fmt.Errorf("invalid era: %w", ErrUnavailable)

// ErrNotApplied means that the store refused a call and did not perform it.
var ErrNotApplied = errors.New("call not performed")

// ErrThrottled means that the store refused a call because of its rate limit. It
// wraps ErrNotApplied.
var ErrThrottled = fmt.Errorf("too many calls: %w", ErrNotApplied)

// RowKey identifies a row. Rows of the same partition can be changed in one
// transaction.
type RowKey struct {
	Table string
	Part  string // partition of the table
	Key   string
}

// PartRow is a row of a partitioned table.
type PartRow struct {
	RowKey
	Value []byte
	Version
	Deleted bool // whether the row was deleted; only in changes of a feed
}

// Precondition requires that a row has exactly this version; number 0 requires that it is
// absent.
type Precondition struct {
	RowKey
	Version
}

// RowTxn is a transaction. All its rows must be in the same partition.
type RowTxn struct {
	Preconditions []Precondition
	Puts          []PartRow
	Removes       []RowKey
}

// RowOutcome is the decision on a RowTxn.
type RowOutcome struct {
	Applied bool          // whether the preconditions held and the changes were made
	Version               // newest version of the store
	Now     time.Duration // reading of the store's monotonic clock
	Current []PartRow     // rows of the preconditions, if the transaction was not applied
}

// RowPage is a page of rows of a table, or of changes of a feed.
type RowPage struct {
	Rows    []PartRow     // rows in key order, or changes
	More    bool          // whether more rows follow
	Version               // newest version of the store
	Now     time.Duration // reading of the store's monotonic clock; 0: not known, as another host has passed the rows on
}

// Rows is a partitioned transactional table service with change feeds.
type Rows interface {
	// Transact applies txn if its preconditions hold. ErrNotApplied (wrapped)
	// means that nothing was changed. ErrUnavailable (wrapped) means that the
	// outcome is unknown and that txn may still be applied later.
	Transact(ctx context.Context, txn RowTxn) (RowOutcome, error)
	// Range returns a page of the rows of one partition with keys greater than or
	// equal to from, in key order.
	Range(ctx context.Context, table, part, from string) (RowPage, error)
	// Parts returns the names of the partitions of a table.
	Parts(ctx context.Context, table string) ([]string, error)
	// Feed returns the changes of a table after version since. It waits up to wait
	// for the first change. It returns ErrHistoryGone (wrapped) if the store no
	// longer has these changes, or since is of another era.
	Feed(ctx context.Context, table string, since Version, wait time.Duration) (RowPage, error)
}
