// Package commit groups the table writes of one daemon into transactions.
//
// Every transaction has a condition on the daemon's holder row and rewrites that
// row, so that a fenced daemon cannot write and each commit also renews the row.
package commit

import (
	"errors"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// Errors in a Result.
var (
	// ErrConflict means that a condition of the operation did not hold. Nothing of it was written.
	ErrConflict = errors.New("commit conflict")
	// ErrFenced means that the holder row was changed by another daemon. Nothing was written.
	ErrFenced = errors.New("holder fenced")
	// ErrStopped means that the committer stopped. The outcome is unknown if the operation was in flight.
	ErrStopped = errors.New("committer stopped")
)

// Op is an atomic set of writes with conditions. Ops in the same transaction are
// independent: a conflict of one does not affect the others.
type Op struct {
	Conditions []storage.Condition
	Puts       []storage.Put
	Deletes    []string
	// Done is called once with the result. It must not block, since it is called
	// from the committer's goroutine; it may be nil.
	Done func(Result)
}

// Result is the outcome of an Op.
type Result struct {
	Err       error
	Revision  uint64        // version of the rows written; set if Err is nil
	Conflicts []storage.Row // current rows of the failed conditions; set if Err is ErrConflict
}
